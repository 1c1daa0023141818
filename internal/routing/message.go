package routing

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
)

// Ticket names one attempt within a node.
type Ticket uint64

// Message is an input of the core.
type Message interface{ isMessage() }

// Tables replaces what is known of all zones.
type Tables struct{ Tables []fleet.RouteTable }

// Leaving names back ends that take no new work, heard apart from the tables,
// and replaces the names heard before.
type Leaving struct{ Backends []fleet.BackendName }

// Evacuations names the zones that no attempt may go to, as of a version of the
// configuration.
type Evacuations struct{ evacuation.Snapshot }

// Topology tells the region of each zone.
type Topology struct{ locality.Map }

// Pick asks for an engine that serves the model.
type Pick struct {
	Ticket  Ticket
	Model   fleet.ModelVersion
	Adapter fleet.AdapterName
	// Prefix are the hashes of the prompt's leading blocks.
	Prefix []uint64
	// Exclude are engines that this request has failed at; they are picked
	// only where no other is left.
	Exclude []fleet.BackendName
	// Regions are those in which the attempt may run.
	Regions locality.Regions
	// ColocationKey, where it is not 0, has all picks with this number go to one engine of
	// those that may be sent to, whatever their load.
	ColocationKey uint64
}

// PickService asks for a back end of a declared service.
type PickService struct {
	Ticket  Ticket
	Service string
	Exclude []fleet.BackendName
	// Regions and Together are as in Pick.
	Regions       locality.Regions
	ColocationKey uint64
}

// Result is how an attempt ended, as far as it concerns the back end.
type Result int

// The results of an attempt.
const (
	// ResultOK is a whole answer, whatever its status says to the caller.
	ResultOK Result = iota + 1
	// ResultFailed is an error, a broken stream or a time-out.
	ResultFailed
	// ResultUnreachable means that no connection could be made.
	ResultUnreachable
	// ResultRefused means that the back end declined before running.
	ResultRefused
	// ResultAbandoned means that the caller left; it says nothing of the back end.
	ResultAbandoned
)

// FirstToken tells that the attempt's answer began.
type FirstToken struct {
	Ticket Ticket
	After  time.Duration
}

// HintReceived tells what the back end of a picked attempt said of its own future with an answer.
type HintReceived struct {
	Ticket Ticket
	Hint   inventory.Hint
}

// Ended tells that a picked attempt is over.
type Ended struct {
	Ticket Ticket
	Result Result
}

// Tick is wanted at NextWake.
type Tick struct{}

func (Tables) isMessage()       {}
func (Leaving) isMessage()      {}
func (Evacuations) isMessage()  {}
func (Topology) isMessage()     {}
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
	// Probe is set when the attempt tries a circuit that was open.
	Probe bool
	// Limit is the rate limit that the back end names, in the incarnation that was picked.
	Limit       inventory.RateLimit
	Incarnation uint64
}

// NonePicked answers a Pick or PickService that no back end passes.
type NonePicked struct {
	Ticket Ticket
	// Known tells whether any back end was known that attempts may begin at.
	Known bool
}

// CapacityChanged tells that the room for a model may have grown.
type CapacityChanged struct{ Model fleet.ModelVersion }

func (Picked) isEffect()          {}
func (NonePicked) isEffect()      {}
func (CapacityChanged) isEffect() {}
