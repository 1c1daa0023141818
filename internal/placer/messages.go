package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// Operation is the kind of an order.
type Operation int

const (
	// Load loads a model, or an adapter of a model that the server holds.
	Load Operation = iota + 1
	// Unload removes a model or an adapter.
	Unload
)

// String returns the name of the operation as it appears in logs.
func (o Operation) String() string {
	if o == Load {
		return "load"
	}
	return "unload"
}

// Order instructs a server to load or unload a model or an adapter.
type Order struct {
	ServerID string
	// StartedAtMs identifies the server start that the order is meant for.
	StartedAtMs int64
	Address     string
	Operation   Operation
	Model       string
	Adapter     string
	// ExpectedSequence is the number of orders that the server must have accepted so far for this
	// one to be valid.
	ExpectedSequence int64
	// Source is where the weights are loaded from.
	Source Source
	Reason string
}

// Start returns the server start that the order is meant for.
func (o Order) Start() inventory.Start {
	return inventory.Start{ID: o.ServerID, StartedAtMs: o.StartedAtMs}
}

// Source is where the weights of a model are loaded from.
type Source int

const (
	// SourceNone is the source of an order that loads no weights.
	SourceNone Source = iota
	// SourceStore is the weight store, whose load rate is limited.
	SourceStore
	// SourceDisk is the server's disk.
	SourceDisk
	// SourceMemory is the server's main memory.
	SourceMemory
)

// Result is the result of an order.
type Result int

const (
	// ResultTaken means that the server accepted the order and is executing it.
	ResultTaken Result = iota + 1
	// ResultHeld means that the server already holds what the order would load.
	ResultHeld
	// ResultBusy means that the server refused the order, because it is executing another one or
	// because the expected sequence number does not match.
	ResultBusy
	// ResultFenced means that the order's fencing token is too low.
	ResultFenced
	// ResultGone means that another server uses the address by now.
	ResultGone
	// ResultRefused means that the server cannot execute the order.
	ResultRefused
	// ResultUnknown means that no answer arrived: the order may have been executed, or may still
	// be.
	ResultUnknown
	// ResultNotSent means that the order was not sent.
	ResultNotSent
	// ResultUnreached means that the order was not sent, as no connection to the server came up.
	ResultUnreached
)

// IsUnsent reports whether nothing of the order left this node.
func (r Result) IsUnsent() bool { return r == ResultNotSent || r == ResultUnreached }

// String returns the name of the result as it appears in logs and metrics.
func (r Result) String() string {
	names := map[Result]string{
		ResultTaken: "taken", ResultHeld: "held", ResultBusy: "busy", ResultFenced: "fenced", ResultGone: "gone",
		ResultRefused: "refused", ResultUnknown: "unknown", ResultNotSent: "not_sent", ResultUnreached: "unreached",
	}
	return names[r]
}

// Report is the state of a server, as the server itself reports it.
type Report struct {
	Models  []inventory.HeldModel
	Pending []dispatch.Requirements
	Busy    bool
	// StartedAtMs identifies the server start that the report belongs to; 0 if unknown.
	StartedAtMs int64
	Sequence    int64
	// InMemory and OnDisk list the models whose weights the server caches in addition to those it
	// holds.
	InMemory []string
	OnDisk   []string
	// Hint is the announcement that came with the answer, which may be present even if the report
	// is not.
	Hint inventory.Hint
	// AliveFrom and AliveUntil are times between which the start was alive: when the connection of the
	// report was open, and when the report was asked for.
	AliveFrom, AliveUntil time.Time
}

// String returns the name of the source as it appears in logs.
func (s Source) String() string {
	return [...]string{"none", "store", "disk", "memory"}[s]
}

// ReportRequest asks a server for its report.
type ReportRequest struct {
	ServerID string
	// StartedAtMs identifies the server start that is asked.
	StartedAtMs int64
	Address     string
}

// Start returns the server start that is asked.
func (r ReportRequest) Start() inventory.Start {
	return inventory.Start{ID: r.ServerID, StartedAtMs: r.StartedAtMs}
}

// RequestCount is one node's cumulative count of the requests with the same requirements.
type RequestCount struct {
	Requirements dispatch.Requirements
	Requests     uint64
	Waiting      int
	PromptTokens uint64
	// Region is the region of the node; empty if unknown.
	Region string
	// LatencyGoal is the strictest goal among those requests.
	LatencyGoal time.Duration
}

// Effects are the calls that the core wants made.
type Effects struct {
	Orders         []Order
	ReportRequests []ReportRequest
	// ViewsChanged is set if Views returns something new.
	ViewsChanged bool
}

// Options configure a Core.
type Options struct {
	// Window and Overage limit the loads from the weight store: at most rate x Window x Overage +
	// burstLoads begin in any Window.
	Window  time.Duration
	Overage float64
	// LoadsAtOnce is the number of concurrent loads at full speed that earlier leaders learned
	// for each weight store, by service.
	LoadsAtOnce map[string]float64
	// Demand is the demand observed so far; nil means none.
	Demand *Demand
	// FormerOrders are the orders of earlier terms that may still be executed; nil means none.
	FormerOrders *FormerOrders
	// Topology maps the zones of the deployment to regions.
	Topology locality.Map
}
