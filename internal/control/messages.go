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

// Message is an input of the core.
type Message interface{ message() }

// Tick reports that time has passed.
type Tick struct{}

// MembersChanged gives the members of the zone, including the node itself, and
// the known delegates of other zones.
type MembersChanged struct{ Members []fleet.Member }

// MachinesChanged gives a newer machine list.
type MachinesChanged struct{ List objectstore.MachineList }

// CatalogChanged gives the declared models and adapters and the related
// settings.
type CatalogChanged struct {
	Models          []catalog.ModelInfo
	Adapters        []catalog.AdapterInfo
	ColdStartWeight float64
	// Evacuations lists the zones that are out of service.
	Evacuations evacuation.Snapshot
	// Topology maps each zone to its region.
	Topology locality.Map
}

// VersionedRecord is the allotment record with the version of its object in the
// store, which the next conditional write expects; 0 if there is no object.
type VersionedRecord struct {
	Record       allotment.Record
	StoreVersion uint64
}

// AllotmentsChanged gives a record received from the store's watch or from
// peers.
type AllotmentsChanged struct{ VersionedRecord }

// RecordLearned answers LearnRecord.
type RecordLearned struct {
	ID uint64
	VersionedRecord
	// Failed is set if neither the store nor a majority answered.
	Failed bool
	// FromStore is set if the store itself answered.
	FromStore bool
}

// RecordWritten answers WriteRecord.
type RecordWritten struct {
	ID     uint64
	Result WriteResult
	// Current is the stored record, for WriteDone and WriteConflict.
	Current VersionedRecord
}

// WriteResult is the outcome of a write.
type WriteResult int

// The outcomes of a write.
const (
	// WriteUnanswered means that no answer arrived; the write may have taken
	// effect.
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
	// Reason is set if the order was refused for a reason other than its fence.
	Reason string
	// Fence is the fence that the engine holds, if the order was refused because
	// of its fence.
	Fence      fleet.Fence
	FenceStale bool
}

// WantsReported gives the waiting requests of a node. Refusals are returned by
// the same step as RefuseWants.
type WantsReported struct {
	From  fleet.NodeName
	Wants []fleet.Want
	// Forwarded is set if the leader of another zone forwarded them.
	Forwarded bool
}

// ForwardAnswered gives the result of a ForwardWants.
type ForwardAnswered struct {
	To       fleet.NodeName
	Wants    []fleet.Want
	Refusals []fleet.LoadRefusal
	Failed   bool
}

// TableUpdate is a complete route table or a change to one.
type TableUpdate struct {
	// Table holds the engines and services. For a change it holds only the
	// changed engines, but all services.
	Table fleet.RouteTable
	// BaseSequence is the sequence that the change applies to; 0 for a complete
	// table.
	BaseSequence uint64
	// Reports are the load reports of engines of which nothing else changed.
	Reports []EngineReport
	// Removed lists engines that are no longer in the table.
	Removed []fleet.BackendName
}

// EngineReport is a newer load report of one engine.
type EngineReport struct {
	Engine fleet.BackendName
	Report fleet.LoadReport
}

// TableReceived gives an update from a peer.
type TableReceived struct {
	From   fleet.NodeName
	Update TableUpdate
}

// TablesPulled answers PullTables; its tables are complete.
type TablesPulled struct {
	From   fleet.NodeName
	Tables []fleet.RouteTable
}

// LeavingNoticeReceived lists back ends that are shutting down.
type LeavingNoticeReceived struct {
	From     fleet.NodeName
	Backends []fleet.BackendName
}

// HandOverRequested asks the node to lead the zone in place of a node that is
// stopping or reaches no engine, if it is the next by rank.
type HandOverRequested struct {
	From  fleet.NodeName
	Fence fleet.Fence
}

// StopRequested reports that the node is stopping: it hands its leadership over
// and does not lead again.
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
