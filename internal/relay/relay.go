package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/eventstream"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/membudget"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// Head is what the headers of a caller's request say.
type Head struct {
	RequestID string
	// Deadline is how long the caller waits; 0 if it does not say.
	Deadline time.Duration
	// Model is empty where the request needs none.
	Model        string
	Adapter      string
	PromptTokens int
	OutputTokens int
	// HasTokenCounts is set where the request gives both token counts.
	HasTokenCounts bool
	PromptParts    []dispatch.PromptPart
	// LastEventID is the event after which a stream is to be resumed.
	LastEventID string
	// Resumes is the request ID of the caller's attempt that received the first event of the stream
	// to be resumed; empty if the caller resumes none.
	Resumes string
	// APIKey is the caller's API key; empty where it sends none, or several.
	APIKey string
}

// NodeHeaders are the headers that the node adds to a request for a server.
type NodeHeaders struct {
	// ServerID is the server that the request is for; empty for a peer.
	ServerID string
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Urgency is 0 to 9, 0 first; it is not sent if negative.
	Urgency int
	// LastEventID is the event after which the stream is to be resumed; empty for a whole stream.
	LastEventID string
	// Tenant is the owner of the caller's key; empty where no key is needed.
	Tenant string
}

// ResponseHead is what the headers of a server's response say.
type ResponseHead struct {
	// IsMarkedNotRun is set where the response says, apart from its status, that the server did not run the
	// request.
	IsMarkedNotRun bool
	// Load is nil where the server does not report its load.
	Load *dispatch.Load
	// ColdRemaining is how long the server stays cold; nil where it does not say.
	ColdRemaining *time.Duration
	// Hint is what the server announces about its own state.
	Hint inventory.Hint
	// ServerID is the responding server; empty where it does not say.
	ServerID string
}

// Dialect reads and writes the headers shared by callers, nodes and servers.
type Dialect interface {
	// ReadHead reads a request's headers; an error is the caller's fault.
	ReadHead(header http.Header) (Head, error)
	// DropReserved removes the fields that only nodes may set, so that a caller's are not forwarded.
	DropReserved(header http.Header)
	// IsEndToEnd reports whether a field is end-to-end even if the sender lists it in Connection; the
	// name is in canonical form.
	IsEndToEnd(name string) bool
	// SetNodeHeaders sets the headers that the node adds.
	SetNodeHeaders(header http.Header, added NodeHeaders)
	// ReadResponseHead reads the headers of a response.
	ReadResponseHead(status int, header http.Header) ResponseHead
	// UnreadField is the first field in which a server describes its state and which this node does not
	// understand; empty where there is none.
	UnreadField(header http.Header) string
	// BelongsTo reports whether the response is to the request with that ID.
	BelongsTo(header http.Header, requestID string) bool
}

// Options configure a Handler.
type Options struct {
	Dialect  Dialect
	Dispatch *dispatch.Shared
	Pool     *backendconn.Pool
	Budget   retrybudget.Options
	// Quotas enforces the quotas of tenants; nil disables it.
	Quotas Quotas
	// Admission limits what is sent to servers; nil disables it.
	Admission Admission
	// Reachability tracks which services this node can open connections to; nil disables it.
	Reachability Reachability
	// Forwarder passes requests to peers that reach servers which this node does not; nil disables it.
	Forwarder Forwarder
	// Suspects tracks requests that crash servers; nil disables it.
	Suspects Suspects
	// Origins remembers where streams began; nil disables it, and resumed streams then go on only
	// where one software version serves.
	Origins Origins
	// CurrentStart asks a model server for its current start. nil takes the known start for the current one.
	CurrentStart func(ctx context.Context, question StartQuestion) StartAnswer
	// LiveStarts knows which starts were seen alive, and so which of them answer on open connections; nil
	// asks about each stream.
	LiveStarts *origins.LiveStarts
	Logger     *log.Logger
	// IsReady reports whether the node knows enough to forward requests, and AwaitReady waits until it
	// does or ctx ends; nil means always ready.
	IsReady    func() bool
	AwaitReady func(ctx context.Context)
	// OnWaiting is called when a request begins to wait for a server.
	OnWaiting func()
	// OnHint is called when a start of a server announced something new about its own state.
	OnHint func(start inventory.Start, hint inventory.Hint)
	// OnUnreadField is called with a field that describes a server's state and that nodes do not read.
	OnUnreadField func(serverID, field string)
	// MaxWaiting bounds the requests that wait for a server at the same time.
	MaxWaiting int
	// MaxEventBytes bounds one event of a stream.
	MaxEventBytes int
	// Memory bounds what is kept for requests in flight; nil disables it.
	Memory *membudget.Budget
}

// Handler is the http.Handler for callers.
type Handler struct {
	options  Options
	table    atomic.Pointer[routetable.Table]
	draining atomic.Bool
	// stopSchedule is nil if the node is not stopping.
	stopSchedule atomic.Pointer[StopSchedule]
	// isClosed is set once a stopping node refuses all further requests.
	isClosed atomic.Bool
	// lifetime is done once EndRequests was called.
	lifetime    context.Context
	endRequests context.CancelFunc
	durations   durationEstimates
	started     time.Time
	active      atomic.Int64
	waiting     atomic.Int64
	// forwardedActive is the number of requests of peers in flight.
	forwardedActive atomic.Int64
	// eventLimit is Options.MaxEventBytes, which may change.
	eventLimit atomic.Int64
	// Metrics counts events on the way to responses.
	Metrics Metrics
	// OnFinished is called with each final response, by the kind of its route; nil disables it.
	OnFinished func(route, outcome string, took time.Duration)

	mu            sync.Mutex
	splitter      routetable.Splitter
	budget        *retrybudget.Budget
	retrySchedule *waiting.RetrySchedule
	// longestDeadline is the longest deadline seen on each route: a caller that retries has less time
	// left.
	longestDeadline map[string]time.Duration
	// steps is what is known of the IDs of events, by their writer.
	steps map[eventWriter]eventstream.StepCounter
	// budgetLogged is the last log line on each service's retry budget.
	budgetLogged map[string]loggedBudget
}

// DefaultMaxWaiting is the default of Options.MaxWaiting.
const DefaultMaxWaiting = 512

// New returns a handler that refuses all requests until it has a table.
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
	if options.LiveStarts == nil {
		options.LiveStarts = origins.NewLiveStarts()
	}
	handler := &Handler{
		options:         options,
		started:         clock.Now(),
		splitter:        routetable.NewSplitter(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		budget:          retrybudget.New(options.Budget),
		retrySchedule:   waiting.NewRetrySchedule(),
		longestDeadline: make(map[string]time.Duration),
		steps:           make(map[eventWriter]eventstream.StepCounter),
		budgetLogged:    make(map[string]loggedBudget),
		durations:       durationEstimates{routes: make(map[string]*durationEstimate)},
	}
	handler.lifetime, handler.endRequests = context.WithCancel(context.Background())
	handler.SetMaxEventBytes(options.MaxEventBytes)
	return handler
}

// SetMaxEventBytes changes the bound of one event of a stream; 0 is the default.
func (h *Handler) SetMaxEventBytes(count int) {
	h.eventLimit.Store(int64(bounded.Limits{EventBytes: count}.WithDefaults().EventBytes))
}

func (h *Handler) maxEventBytes() int { return int(h.eventLimit.Load()) }

// SetTable replaces the route table.
func (h *Handler) SetTable(table *routetable.Table) { h.table.Store(table) }

// Table is the current route table, or nil.
func (h *Handler) Table() *routetable.Table { return h.table.Load() }

// Active is the number of requests in flight.
func (h *Handler) Active() int64 { return h.active.Load() }

// Waiting is the number of requests that wait for a server.
func (h *Handler) Waiting() int64 { return h.waiting.Load() }

// nextService selects one of the route's services by weight.
func (h *Handler) nextService(route *routetable.Route) string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.splitter.Next(route)
}

// retryDeadlineShare is the fraction of a route's longest deadline below which a request is taken for a
// retry of a refused one.
const retryDeadlineShare = 0.95

// isLikelyRetry guesses from the time left whether the caller was refused before.
func (h *Handler) isLikelyRetry(route *routetable.Route, deadline time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if deadline > h.longestDeadline[route.Name] {
		h.longestDeadline[route.Name] = deadline
	}
	return float64(deadline) < retryDeadlineShare*float64(h.longestDeadline[route.Name])
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	if h.draining.Load() {
		writer.Header().Set("Connection", "close")
	}
	x := &exchange{handler: h, writer: writer, request: request, arrived: clock.Now()}
	x.serve()
}
