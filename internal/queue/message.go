package queue

import (
	"cmp"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Ticket identifies a waiting request within a node.
type Ticket uint64

// Item is one request as the queue sees it.
type Item struct {
	Ticket  Ticket
	Model   fleet.ModelVersion
	Adapter fleet.AdapterName
	// Regions are the regions in which the request may run.
	Regions fleet.Regions
	// Priority orders items; a larger value goes first.
	Priority int
	// Deadline is the time by which the first token must be received.
	Deadline time.Time
	// Bytes is the memory that the item occupies while it waits.
	Bytes int64
	// ArrivedAt is when the request arrived at the node; zero means now. A requeued
	// request sets it to keep its place.
	ArrivedAt time.Time
	// Requeued is set for a request that was released before. It is not refused for
	// an estimated wait and not counted as an arrival.
	Requeued bool
}

// Message is an input of the core.
type Message interface{ isMessage() }

// Arrive adds a request.
type Arrive struct{ Item Item }

// Cancel removes a request whose caller has disconnected.
type Cancel struct{ Ticket Ticket }

// Replica is a ready replica of a model that can accept FreeSlots more requests.
type Replica struct {
	Name      fleet.BackendName
	FreeSlots int
	Adapters  []fleet.AdapterName
}

// Key identifies a subqueue, which holds the requests for one model that may run
// in the same regions.
type Key struct {
	Model   fleet.ModelVersion
	Regions fleet.Regions
}

func compareKeys(a, b Key) int {
	return cmp.Or(a.Model.Compare(b.Model), cmp.Compare(a.Regions, b.Regions))
}

// CapacityChanged reports the capacity of the replicas that can serve the requests
// of one subqueue. It replaces the previous report.
type CapacityChanged struct {
	Model   fleet.ModelVersion
	Regions fleet.Regions
	// Ready is the number of replicas that have the model loaded and are not
	// draining, including those that temporarily accept no requests.
	Ready int
	// Replicas are the replicas that accept requests.
	Replicas []Replica
	// Slots is the number of requests that the replicas can run concurrently.
	Slots int
}

// FirstTokenReceived reports the time from a request's release to its first token.
type FirstTokenReceived struct {
	Model   fleet.ModelVersion
	Regions fleet.Regions
	Latency time.Duration
}

// Completed reports the time from a request's release to its end, from which
// later waits are estimated.
type Completed struct {
	Model       fleet.ModelVersion
	Regions     fleet.Regions
	ServiceTime time.Duration
}

// LoadRefused reports models that cannot be loaded at the moment.
type LoadRefused struct{ Refusals []fleet.LoadRefusal }

// Close refuses all waiting requests, and all that arrive before Open.
type Close struct {
	// Reason defaults to ReasonStopping.
	Reason     Reason
	RetryAfter time.Duration
}

// Open lets a closed queue accept requests again.
type Open struct{}

// Tick lets the core handle deadlines and reports that are due. It must be sent at
// Core.NextWake.
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

// Release tells the caller to send the request to a replica: one with a free slot
// is ready.
type Release struct {
	Item Item
	// Waited is the time from arrival to release.
	Waited time.Duration
	// ColdStart is set if no replica was ready when the request arrived.
	ColdStart bool
}

// Reason is the reason for a refusal.
type Reason string

// Reasons for a refusal.
const (
	ReasonFull                Reason = "queue-full"
	ReasonDeadlineUnreachable Reason = "deadline-cannot-be-met"
	ReasonDeadlineExceeded    Reason = "deadline-reached"
	ReasonCannotLoad          Reason = "model-cannot-be-loaded"
	ReasonShed                Reason = "shed-for-higher-priority"
	ReasonStopping            Reason = "node-stopping"
	ReasonEvacuated           Reason = "all-zones-evacuated"
)

// Refuse tells the caller to refuse a request that did not run.
type Refuse struct {
	Item       Item
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
}

// ReportWants reports the waiting requests to the leader, which decides which models
// are loaded.
type ReportWants struct{ Wants []fleet.Want }

func (Release) isEffect()     {}
func (Refuse) isEffect()      {}
func (ReportWants) isEffect() {}
