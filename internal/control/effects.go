package control

import (
	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// Effect is an action that the caller of Step must carry out.
type Effect interface{ effect() }

// ReadEngine reads an engine's state; the answer is StateRead.
type ReadEngine struct{ leadership.ReadEngine }

// SendClaim claims an engine; the answer is ClaimAnswered.
type SendClaim struct{ leadership.SendClaim }

// SendOrder sends an order; the answer is OrderAnswered.
type SendOrder struct {
	Engine  fleet.BackendName
	Address string
	Order   backend.Order
}

// LearnRecord reads the allotment record from the store or, if the store does
// not answer, from the members: at least Majority of them, including this node,
// must answer with a record that they hold authoritatively (see
// Core.AuthoritativeRecord). The answer is RecordLearned with the newest of
// these records.
type LearnRecord struct {
	ID       uint64
	Members  []fleet.Member
	Majority int
	// MembersOnly skips the store. A member's record must have at least
	// MinGeneration to count.
	MembersOnly   bool
	MinGeneration uint64
}

// WriteRecord writes the record by compare-and-set; the answer is
// RecordWritten.
type WriteRecord struct {
	ID       uint64
	Record   allotment.Record
	Expected uint64
}

// PublishTable sends an update to the members.
type PublishTable struct {
	To     []fleet.Member
	Update TableUpdate
}

// PullTables requests a member's tables that are newer than those held; the
// answer is TablesPulled.
type PullTables struct {
	From fleet.Member
	// Held has a stamp for each table held, sorted by zone.
	Held []TableStamp
}

// TableStamp identifies a state of a zone's table.
type TableStamp struct {
	Zone     fleet.Zone
	Fence    fleet.Fence
	Sequence uint64
}

// ForwardWants sends reports of waiting requests to another node; the answer is
// ForwardAnswered.
type ForwardWants struct {
	To    fleet.Member
	Wants []fleet.Want
	// Forwarded is set if they are sent from one zone to another.
	Forwarded bool
}

// RefuseWants tells a node that models cannot be loaded now. For the node
// itself the refusal goes to the callers of fleet.DemandReporter; for another
// node it is the answer to its report. The other nodes of the zone receive it
// with the table.
type RefuseWants struct {
	Node     fleet.NodeName
	Refusals []fleet.LoadRefusal
}

// BroadcastLeaving announces that back ends are shutting down; it takes
// precedence over all other effects.
type BroadcastLeaving struct {
	To       []fleet.Member
	Backends []fleet.BackendName
}

// HandOver asks a member to lead the zone.
type HandOver struct {
	To    fleet.Member
	Fence fleet.Fence
}

// TablesChanged gives the tables that the node uses for routing.
type TablesChanged struct {
	Tables map[fleet.Zone]fleet.RouteTable
}

// LeadershipChanged reports that the node started or stopped leading its zone.
type LeadershipChanged struct {
	Leading bool
	Fence   fleet.Fence
	Reason  string
}

// LoadFinished reports, for the log, where the time of a load was spent.
type LoadFinished struct{ placement.LoadFinished }

// EvacuationChanged reports, for the log, that a zone was taken out of service
// or returned to it.
type EvacuationChanged struct{ evacuation.Change }

func (ReadEngine) effect()        {}
func (SendClaim) effect()         {}
func (SendOrder) effect()         {}
func (LearnRecord) effect()       {}
func (WriteRecord) effect()       {}
func (PublishTable) effect()      {}
func (PullTables) effect()        {}
func (ForwardWants) effect()      {}
func (RefuseWants) effect()       {}
func (BroadcastLeaving) effect()  {}
func (HandOver) effect()          {}
func (TablesChanged) effect()     {}
func (LeadershipChanged) effect() {}
func (LoadFinished) effect()      {}
func (EvacuationChanged) effect() {}
