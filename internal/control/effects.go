package control

import (
	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// Effect is what the shell is to do.
type Effect interface{ effect() }

// ReadEngine reads an engine's state; answer with StateRead.
type ReadEngine struct{ leadership.ReadEngine }

// SendClaim claims an engine; answer with ClaimAnswered.
type SendClaim struct{ leadership.SendClaim }

// SendOrder sends an order; answer with OrderAnswered.
type SendOrder struct {
	Engine  fleet.BackendName
	Address string
	Order   backend.Order
}

// LearnRecord reads the record of allotments from the store, or, where it does
// not answer, from the members: at least Majority of them, this node included,
// must answer with a record that they vouch for. Answer with RecordLearned,
// with the newest of them.
type LearnRecord struct {
	ID       uint64
	Members  []fleet.Member
	Majority int
	// MembersOnly leaves the store out, and AtLeast is the generation that
	// each member's record must have to count.
	MembersOnly   bool
	MinGeneration uint64
}

// WriteRecord writes the record by compare-and-set; answer with RecordWritten.
type WriteRecord struct {
	ID       uint64
	Record   allotment.Record
	Expected uint64
}

// PublishTable hands an update to the members.
type PublishTable struct {
	To     []fleet.Member
	Update TableUpdate
}

// PullTables asks a member for its tables that are newer than those held;
// answer with TablesPulled.
type PullTables struct {
	From fleet.Member
	// Held names the tables held, by zone.
	Held []TableStamp
}

// TableStamp names a state of a zone's table.
type TableStamp struct {
	Zone     fleet.Zone
	Fence    fleet.Fence
	Sequence uint64
}

// ForwardWants reports wants to another node; answer with ForwardAnswered.
type ForwardWants struct {
	To    fleet.Member
	Wants []fleet.Want
	// Forwarded is set where they cross from one zone to another.
	Forwarded bool
}

// RefuseWants tells a node that models cannot be loaded now. For the node
// itself it goes to whoever asked through fleet.Demand, for another it is the
// answer to its report. Others in the zone hear it with the table.
type RefuseWants struct {
	Node     fleet.NodeName
	Refusals []fleet.LoadRefusal
}

// BroadcastLeaving spreads that back ends go away; it goes before all else.
type BroadcastLeaving struct {
	To       []fleet.Member
	Backends []fleet.BackendName
}

// HandOver asks a member to lead the zone.
type HandOver struct {
	To    fleet.Member
	Fence fleet.Fence
}

// TablesChanged gives the tables that the node routes by.
type TablesChanged struct {
	Tables map[fleet.Zone]fleet.RouteTable
}

// LeadershipChanged tells that the node leads its zone, or no longer does.
type LeadershipChanged struct {
	Leading bool
	Fence   fleet.Fence
	Reason  string
}

// LoadFinished tells what the time of a load was spent on, for the log.
type LoadFinished struct{ placement.LoadFinished }

// EvacuationChanged tells that a zone is out of service, or is back, for the log.
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
