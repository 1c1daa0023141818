package control

import (
	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/evacuation"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// Message is what the core is told.
type Message interface{ message() }

// Tick says that time has passed.
type Tick struct{}

// MembersChanged gives the members of the zone, the node itself included, and
// the delegates known of other zones.
type MembersChanged struct{ Members []fleet.Member }

// MachinesChanged gives a newer machine list.
type MachinesChanged struct{ List objectstore.MachineList }

// CatalogChanged gives what is declared.
type CatalogChanged struct {
	Models          []catalog.ModelInfo
	Adapters        []catalog.AdapterInfo
	ColdStartWeight float64
	// Evacuations are the zones that are out of service.
	Evacuations evacuation.Snapshot
	// Topology tells the region of each zone.
	Topology locality.Map
}

// VersionedRecord is the record of allotments with the version of its object
// in the store, which the next write expects; 0 where there is none.
type VersionedRecord struct {
	Record       allotment.Record
	StoreVersion uint64
}

// AllotmentsChanged is a record heard from the store's watch or from peers.
type AllotmentsChanged struct{ VersionedRecord }

// RecordLearned answers LearnRecord.
type RecordLearned struct {
	ID uint64
	VersionedRecord
	// Failed is set where neither the store nor a majority answered.
	Failed bool
	// FromStore is set where the store itself answered.
	FromStore bool
}

// RecordWritten answers WriteRecord.
type RecordWritten struct {
	ID     uint64
	Result WriteResult
	// Current is the record that stands, for WriteDone and WriteConflict.
	Current VersionedRecord
}

// WriteResult is how a write ended.
type WriteResult int

// The ends of a write.
const (
	// WriteUnanswered means that no answer came: it may have taken effect.
	WriteUnanswered WriteResult = iota
	WriteDone
	WriteConflict
)

// StateRead answers ReadEngine.
type StateRead struct{ leadership.StateRead }

// ClaimAnswered answers SendClaim.
type ClaimAnswered struct{ leadership.ClaimAnswered }

// OrderAnswered answers SendOrder.
type OrderAnswered struct {
	Engine  fleet.BackendName
	OrderID string
	Result  placement.OrderResult
	// Reason is set for a refusal that was not for the fence.
	Reason string
	// Fence is set for a refusal for the fence: the one the engine holds.
	Fence      fleet.Fence
	FenceStale bool
}

// WantsReported gives what waits at a node. Refusals come back in the same
// step as RefuseWants.
type WantsReported struct {
	From  fleet.NodeName
	Wants []fleet.Want
	// Forwarded is set where the leader of another zone passed them on.
	Forwarded bool
}

// ForwardAnswered tells how a ForwardWants ended.
type ForwardAnswered struct {
	To       fleet.NodeName
	Wants    []fleet.Want
	Refusals []fleet.LoadRefusal
	Failed   bool
}

// TableUpdate is a whole route table, or the change of one.
type TableUpdate struct {
	// Table holds the engines and services; for a change only the engines
	// that changed, and all services.
	Table fleet.RouteTable
	// BaseSequence is the sequence that the change builds on; 0 for a whole table.
	BaseSequence uint64
	// Reports are of engines of which nothing else changed.
	Reports []EngineReport
	// Removed names engines that are no longer in the table.
	Removed []fleet.BackendName
}

// EngineReport is one engine's newer report of load.
type EngineReport struct {
	Engine fleet.BackendName
	Report fleet.LoadReport
}

// TableReceived gives an update from a peer.
type TableReceived struct {
	From   fleet.NodeName
	Update TableUpdate
}

// TablesPulled answers PullTables; the tables are whole.
type TablesPulled struct {
	From   fleet.NodeName
	Tables []fleet.RouteTable
}

// LeavingNoticeReceived names back ends that go away.
type LeavingNoticeReceived struct {
	From     fleet.NodeName
	Backends []fleet.BackendName
}

// HandOverRequested asks the node to lead the zone in place of one that stops.
type HandOverRequested struct {
	From  fleet.NodeName
	Fence fleet.Fence
}

// StopRequested says that the node stops: it hands its leadership over and
// does not lead again.
type StopRequested struct{}

func (Tick) message()                  {}
func (MembersChanged) message()        {}
func (MachinesChanged) message()       {}
func (CatalogChanged) message()        {}
func (AllotmentsChanged) message()     {}
func (RecordLearned) message()         {}
func (RecordWritten) message()         {}
func (StateRead) message()             {}
func (ClaimAnswered) message()         {}
func (OrderAnswered) message()         {}
func (WantsReported) message()         {}
func (ForwardAnswered) message()       {}
func (TableReceived) message()         {}
func (TablesPulled) message()          {}
func (LeavingNoticeReceived) message() {}
func (HandOverRequested) message()     {}
func (StopRequested) message()         {}
