package relay

import (
	"context"
	"math"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// Head is what a request's headers say of it.
type Head struct {
	RequestID string
	// Deadline is how long the caller waits; 0 where it does not say.
	Deadline time.Duration
	// Model is empty where the request asks for none.
	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int
	// HasTokenCounts is set where the request tells both numbers.
	HasTokenCounts bool
	PromptParts    []dispatch.PromptPart
	// LastEventID is the event behind which a stream goes on.
	LastEventID string
	// APIKey is the caller's API key; empty where it gives none, or several.
	APIKey string
}

// NodeHeaders is what the node adds to a request for a server.
type NodeHeaders struct {
	ServerID string
	// TimeLeft is the time that is left for the request.
	TimeLeft time.Duration
	// Urgency is 0 to 9, 0 first; below 0 it is not said.
	Urgency int
	// LastEventID is the event behind which a stream goes on; empty from the start.
	LastEventID string
	// Tenant is the owner of the caller's key; empty where none was needed.
	Tenant string
}

// ResponseHead is what the headers of a server's answer say.
type ResponseHead struct {
	// NotRun is set where the server did not run the request.
	NotRun bool
	// Load is nil where the server does not tell its load.
	Load *dispatch.Load
	// ColdRemaining is for how long the server is cold yet; nil where it does not tell.
	ColdRemaining *time.Duration
	// Hint is what the server tells of its own future.
	Hint inventory.Hint
	// ServerID is who answers; empty where the server does not say.
	ServerID string
}

// Dialect reads and writes the headers that callers, nodes and servers share.
type Dialect interface {
	// ReadHead reads a request's headers; the error is the caller's.
	ReadHead(header http.Header) (Head, error)
	// DropReserved takes out the fields that only nodes set; a caller's are not
	// passed on.
	DropReserved(header http.Header)
	// IsEndToEnd reports whether a field is meant for the other end, whatever the
	// sender says of its connection; the name is in canonical form.
	IsEndToEnd(name string) bool
	// SetNodeHeaders sets the headers that the node adds.
	SetNodeHeaders(header http.Header, send NodeHeaders)
	// ReadResponseHead reads the headers of an answer.
	ReadResponseHead(status int, header http.Header) ResponseHead
	// UnreadField is the first field of an answer by which servers tell of themselves and which nodes do
	// not read; empty where there is none.
	UnreadField(header http.Header) string
	// BelongsTo reports whether the answer is to the request of that identity.
	BelongsTo(header http.Header, requestID string) bool
}

// Options set up a Handler.
type Options struct {
	Dialect  Dialect
	Dispatch *dispatch.Shared
	Pool     *backendconn.Pool
	Budget   retrybudget.Options
	// Quotas keeps tenants below their quotas; nil lets all pass.
	Quotas Quotas
	// Admission keeps what is sent to servers below what they bear; nil lets all pass.
	Admission Admission
	// Suspects remembers requests under which servers ended; nil suspects none.
	Suspects Suspects
	Logger   *log.Logger
	// IsReady reports whether the node knows enough to send requests, and
	// AwaitKnowledge waits until it does, or ctx ends; nil is that it always does.
	IsReady    func() bool
	AwaitReady func(ctx context.Context)
	// OnWaiting is told when a request waits for something that is on no server.
	OnWaiting func()
	// OnHint is told what a start of a server told of its own future, where that is news.
	OnHint func(start inventory.Start, hint inventory.Hint)
	// OnUnreadField is told of a field by which a server tells of itself and which nodes do not read.
	OnUnreadField func(serverID, field string)
	// MaxWaiting bounds the requests that wait for a server at a time.
	MaxWaiting int
}

// Handler is the http.Handler for callers.
type Handler struct {
	options  Options
	table    atomic.Pointer[routetable.Table]
	draining atomic.Bool
	// drainUntil is when a node that stops refuses what waits; nil before.
	drainUntil atomic.Pointer[time.Time]
	started    time.Time
	active     atomic.Int64
	waiting    atomic.Int64
	// Metrics counts what led to answers.
	Metrics Metrics
	// OnFinished is told of each final answer, by the kind of its route; nil is
	// nobody.
	OnFinished func(route, outcome string, took time.Duration)

	mu       sync.Mutex
	splitter routetable.Splitter
	budget   *retrybudget.Budget
	lines    *waiting.RetrySchedule
	// longest is the longest deadline seen on a route: a caller that comes back
	// has less time left.
	longest map[string]time.Duration
}

// DefaultMaxWaiting bounds the requests that wait at a node.
const DefaultMaxWaiting = 512

// New returns a handler that refuses all until it has a table.
func New(options Options) *Handler {
	if options.MaxWaiting == 0 {
		options.MaxWaiting = DefaultMaxWaiting
	}
	if options.OnWaiting == nil {
		options.OnWaiting = func() {}
	}
	if options.OnHint == nil {
		options.OnHint = func(inventory.Start, inventory.Hint) {}
	}
	if options.OnUnreadField == nil {
		options.OnUnreadField = func(string, string) {}
	}
	return &Handler{
		options: options,
		started: clock.Now(),
		budget:  retrybudget.New(options.Budget),
		lines:   waiting.NewRetrySchedule(),
		longest: make(map[string]time.Duration),
	}
}

// SetTable puts a table in force.
func (h *Handler) SetTable(table *routetable.Table) { h.table.Store(table) }

// Table is the table in force, or nil.
func (h *Handler) Table() *routetable.Table { return h.table.Load() }

// SetDraining makes answers end their callers' connections, and refuses what
// still waits for a server at the time until.
func (h *Handler) SetDraining(until time.Time) {
	h.drainUntil.Store(&until)
	h.draining.Store(true)
}

// Active is the number of requests under way.
func (h *Handler) Active() int64 { return h.active.Load() }

// Waiting is the number of requests that wait for a server.
func (h *Handler) Waiting() int64 { return h.waiting.Load() }

// MinRetriesRemaining is the least number of repeats that a service has left.
func (h *Handler) MinRetriesRemaining() float64 {
	table := h.table.Load()
	if table == nil {
		return 0
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	least := math.Inf(1)
	for service := range table.Services {
		least = min(least, h.budget.Remaining(clock.Since(h.started), service))
	}
	return least
}

// SetNodes tells how many nodes share the budget of repeats.
func (h *Handler) SetNodes(nodes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.SetNodes(nodes)
}

// SetBudget changes the bound on repeats; what was counted stays counted.
func (h *Handler) SetBudget(options retrybudget.Options) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.SetOptions(options)
}

func (h *Handler) countRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.CountRequest(clock.Since(h.started), service)
}

func (h *Handler) takeRepeat(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget.Take(clock.Since(h.started), service)
}

func (h *Handler) part(route *routetable.Route) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.splitter.Next(route)
}

// returnedShare is the part of a route's longest deadline below which a request
// is taken for one that was refused before and came back.
const returnedShare = 0.95

// hasReturned guesses from the time left whether the caller was here before.
func (h *Handler) hasReturned(route *routetable.Route, deadline time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if deadline > h.longest[route.Name] {
		h.longest[route.Name] = deadline
	}
	return float64(deadline) < returnedShare*float64(h.longest[route.Name])
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	current := &exchange{handler: h, writer: writer, request: request, arrived: clock.Now()}
	current.serve()
}
