package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// Operation is what an order asks for.
type Operation int

const (
	// Load brings a model, or an adapter of a model that is there.
	Load Operation = iota + 1
	// Unload drops a model, or an adapter.
	Unload
)

// String names the operation in logs.
func (o Operation) String() string {
	if o == Load {
		return "load"
	}
	return "unload"
}

// Order is one order to a server.
type Order struct {
	ServerID string
	// StartedAtMs is that of the start of the server that is meant.
	StartedAtMs int64
	Address     string
	Operation   Operation
	Model       string
	Adapter     string
	// ExpectedSequence is the number of orders that the server must have taken.
	ExpectedSequence int64
	// Source is where the weights come from, for logs.
	Source Source
	Reason string
}

// Start is the start of the server that is ordered.
func (o Order) Start() inventory.Start {
	return inventory.Start{ID: o.ServerID, StartedAtMs: o.StartedAtMs}
}

// Source is where weights are loaded from.
type Source int

const (
	// SourceNone is an order that loads no weights.
	SourceNone Source = iota
	// SourceStore is the weight store, whose loads are bounded.
	SourceStore
	// SourceDisk is the server's disk.
	SourceDisk
	// SourceMemory is the server's memory.
	SourceMemory
)

// Result is how a server answered an order.
type Result int

const (
	// ResultTaken is an order that is being done.
	ResultTaken Result = iota + 1
	// ResultHeld is an order for what the server holds already.
	ResultHeld
	// ResultBusy is an order that another one, or another count, kept out.
	ResultBusy
	// ResultFenced is an order under a token that is too low.
	ResultFenced
	// ResultGone is an order at an address that another server has.
	ResultGone
	// ResultRefused is an order that the server can't do.
	ResultRefused
	// ResultUnknown is an order without an answer: it may be done now or later.
	ResultUnknown
	// ResultNotSent is an order that did not leave.
	ResultNotSent
)

// String names the result in logs and metrics.
func (r Result) String() string {
	names := map[Result]string{
		ResultTaken: "taken", ResultHeld: "held", ResultBusy: "busy", ResultFenced: "fenced", ResultGone: "gone",
		ResultRefused: "refused", ResultUnknown: "unknown", ResultNotSent: "not_sent",
	}
	return names[r]
}

// Report is what a server says of itself when asked.
type Report struct {
	Models  []inventory.HeldModel
	Pending []dispatch.Requirements
	Busy    bool
	// StartedAtMs is that of the start of the server; 0 where it is not told.
	StartedAtMs int64
	Sequence    int64
	// InMemory and OnDisk are the weights kept beside those held.
	InMemory []string
	OnDisk   []string
	// Hint is what the server told with the answer, also where the report cannot be had.
	Hint inventory.Hint
}

// String names the source in logs.
func (s Source) String() string {
	return [...]string{"none", "store", "disk", "memory"}[s]
}

// ReportRequest asks for a server's report.
type ReportRequest struct {
	ServerID string
	// StartedAtMs is that of the start of the server that is meant.
	StartedAtMs int64
	Address     string
}

// Start is the start of the server that is asked.
func (c ReportRequest) Start() inventory.Start {
	return inventory.Start{ID: c.ServerID, StartedAtMs: c.StartedAtMs}
}

// RequestCount is what one node counted of the requests for one thing wanted.
type RequestCount struct {
	Requirements dispatch.Requirements
	Requests     uint64
	Waiting      int
	PromptTokens uint64
	// Region is where the node stands; empty where that is not known.
	Region string
	// LatencyGoal is the tightest objective of those requests.
	LatencyGoal time.Duration
}

// Effects are what the core wants done.
type Effects struct {
	Orders         []Order
	ReportRequests []ReportRequest
	// ViewsChanged is set where Views returns something new.
	ViewsChanged bool
}

// Options set up a Core.
type Options struct {
	// Window and Overage bound the loads from the weight store: at most rate x
	// Window x Overage + Spare begin in any Window.
	Window  time.Duration
	Overage float64
	// LoadsAtOnce are the loads at full speed that earlier leaders learned of
	// each weight store, by service.
	LoadsAtOnce map[string]float64
	// Demand is what was wanted so far; nil is nothing.
	Demand *Demand
	// Topology are the zones and regions of the deployment.
	Topology locality.Map
}
