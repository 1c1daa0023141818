package queue

import (
	"cmp"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Ticket names one waiting request within a node.
type Ticket uint64

// Item is one request as the queue sees it.
type Item struct {
	Ticket  Ticket
	Model   fleet.ModelVersion
	Adapter fleet.AdapterName
	// Regions are those in which the request may run.
	Regions fleet.Regions
	// Priority orders items; larger goes first.
	Priority int
	// Deadline is when the first token must be there.
	Deadline time.Time
	// Bytes is the memory that the item holds while it waits.
	Bytes int64
	// ArrivedAt is when the request came to the node; zero for now. A request
	// that is put back keeps its place.
	ArrivedAt time.Time
	// Requeued is set for a request that was released before: it is not
	// estimated again and is no new arrival.
	Requeued bool
}

// Message is an input of the core.
type Message interface{ isMessage() }

// Arrive hands in a request.
type Arrive struct{ Item Item }

// Cancel takes a request out whose caller has gone.
type Cancel struct{ Ticket Ticket }

// Replica is one ready replica of a model with room for Free more requests.
type Replica struct {
	Name      fleet.BackendName
	FreeSlots int
	Adapters  []fleet.AdapterName
}

// Key names what waits together: requests for one model that may run in the same
// regions.
type Key struct {
	Model   fleet.ModelVersion
	Regions fleet.Regions
}

func compareLines(a, b Key) int {
	return cmp.Or(a.Model.Compare(b.Model), cmp.Compare(a.Regions, b.Regions))
}

// CapacityChanged tells the room of the replicas that a line's requests may go to; it replaces
// the offer before.
type CapacityChanged struct {
	Model   fleet.ModelVersion
	Regions fleet.Regions
	// Ready counts the replicas that have the model loaded and do not leave,
	// also those that cannot be sent to for the moment.
	Ready int
	// Replicas are those that may be sent to.
	Replicas []Replica
	// Slots is the number of requests that the replicas run at a time.
	Slots int
}

// FirstTokenReceived tells how long a released request waited for its first token.
type FirstTokenReceived struct {
	Model   fleet.ModelVersion
	Regions fleet.Regions
	Latency time.Duration
}

// Completed tells how long a released request took from its release to its end,
// so that later waits can be estimated.
type Completed struct {
	Model       fleet.ModelVersion
	Regions     fleet.Regions
	ServiceTime time.Duration
}

// LoadRefused says that a model cannot be loaded now.
type LoadRefused struct{ Refusals []fleet.LoadRefusal }

// Close refuses all that waits, and all that arrives until Open.
type Close struct {
	// Reason is ReasonStopping where it is empty.
	Reason     Reason
	RetryAfter time.Duration
}

// Open ends a Close.
type Open struct{}

// Tick is wanted at NextWake.
type Tick struct{}

func (Arrive) isMessage()             {}
func (Cancel) isMessage()             {}
func (CapacityChanged) isMessage()    {}
func (FirstTokenReceived) isMessage() {}
func (Completed) isMessage()          {}
func (LoadRefused) isMessage()        {}
func (Close) isMessage()              {}
func (Open) isMessage()               {}
func (Tick) isMessage()               {}

// Effect is an output of the core.
type Effect interface{ isEffect() }

// Release sends the request on: a ready replica has room for it.
type Release struct {
	Item Item
	// Waited is the time from arrival to release.
	Waited time.Duration
	// ColdStart is set when the request waited for a load.
	ColdStart bool
}

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonFull                Reason = "queue-full"
	ReasonDeadlineUnreachable Reason = "deadline-cannot-be-met"
	ReasonDeadlineExceeded    Reason = "deadline-reached"
	ReasonCannotLoad          Reason = "model-cannot-be-loaded"
	ReasonShed                Reason = "shed-for-higher-priority"
	ReasonStopping            Reason = "node-stopping"
	ReasonEvacuated           Reason = "all-zones-evacuated"
)

// Refuse is the final answer to a request that never ran.
type Refuse struct {
	Item       Item
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// ReportWants carries what waits to whoever decides on loads.
type ReportWants struct{ Wants []fleet.Want }

func (Release) isEffect()     {}
func (Refuse) isEffect()      {}
func (ReportWants) isEffect() {}
