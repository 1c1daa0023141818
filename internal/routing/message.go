package routing

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// Ticket identifies one attempt within a node.
type Ticket uint64

// Message is an input of the core.
type Message interface{ isMessage() }

// Tables replaces the route tables of all zones.
type Tables struct{ Tables []fleet.RouteTable }

// Leaving replaces the set of back ends that were reported, separately from the tables, to take no
// new work.
type Leaving struct{ Backends []fleet.BackendName }

// Evacuations sets the zones to which no attempt may go, as of a version of the configuration.
type Evacuations struct{ evacuation.Snapshot }

// Topology sets the region of each zone.
type Topology struct{ locality.Map }

// Pick requests an engine that serves the model.
type Pick struct {
	Ticket  Ticket
	Model   fleet.ModelVersion
	Adapter fleet.AdapterName
	// Prefix are the hashes of the prompt's leading blocks.
	Prefix []uint64
	// Exclude lists the engines at which this request failed. They are picked only if there is no
	// other.
	Exclude []fleet.BackendName
	// Regions are those in which the attempt may run.
	Regions locality.Regions
	// ColocationKey, if not 0, sends all picks with the same key to the same engine among the
	// candidates, whatever their load.
	ColocationKey uint64
}

// PickService requests a back end of a declared service.
type PickService struct {
	Ticket  Ticket
	Service string
	Exclude []fleet.BackendName
	// Regions and ColocationKey are as in Pick.
	Regions       locality.Regions
	ColocationKey uint64
}

// Result is the result of an attempt with respect to the back end.
type Result int

// The results of an attempt.
const (
	// ResultOK is a complete response, whatever its status code.
	ResultOK Result = iota + 1
	// ResultFailed is an error, a broken stream or a timeout.
	ResultFailed
	// ResultUnreachable means that no connection could be established.
	ResultUnreachable
	// ResultRefused means that the back end declined the attempt before running it.
	ResultRefused
	// ResultAbandoned means that the caller left; it says nothing about the back end.
	ResultAbandoned
)

// FirstToken reports that the response to an attempt has begun.
type FirstToken struct {
	Ticket Ticket
	After  time.Duration
}

// HintReceived reports a hint in the response to a picked attempt.
type HintReceived struct {
	Ticket Ticket
	Hint   inventory.Hint
}

// Ended reports that a picked attempt has ended.
type Ended struct {
	Ticket Ticket
	Result Result
}

// Resumed tells that the process was paused: messages that arrived meanwhile are still to come.
type Resumed struct{}

// Tick is to be sent at the time that NextWake returns.
type Tick struct{}

func (Tables) isMessage()       {}
func (Leaving) isMessage()      {}
func (Evacuations) isMessage()  {}
func (Topology) isMessage()     {}
func (Resumed) isMessage()      {}
func (Pick) isMessage()         {}
func (PickService) isMessage()  {}
func (FirstToken) isMessage()   {}
func (HintReceived) isMessage() {}
func (Ended) isMessage()        {}
func (Tick) isMessage()         {}

// Effect is an output of the core.
type Effect interface{ isEffect() }

// Picked answers a Pick or PickService.
type Picked struct {
	Ticket  Ticket
	Backend fleet.Backend
	// Probe is set if the attempt probes a circuit that was open.
	Probe bool
	// Limit is the rate limit that the back end announced in this incarnation.
	Limit       inventory.RateLimit
	Incarnation uint64
}

// NonePicked answers a Pick or PickService for which no back end is eligible.
type NonePicked struct {
	Ticket Ticket
	// Known reports whether any back end is known at which attempts may start.
	Known bool
}

// CapacityChanged reports that the free capacity for a model may have grown.
type CapacityChanged struct{ Model fleet.ModelVersion }

func (Picked) isEffect()          {}
func (NonePicked) isEffect()      {}
func (CapacityChanged) isEffect() {}
