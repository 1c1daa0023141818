package leadership

import (
	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Message is an input of the core.
type Message interface{ message() }

// Tick reports that time has passed.
type Tick struct{}

// LeadershipDesired sets whether this node should lead its zone.
type LeadershipDesired struct {
	Lead bool
	// Reason is why it should not; empty if another node should.
	Reason string
}

// EnginesListed gives the engines that the machine list shows in the zone.
type EnginesListed struct {
	// Addresses has the addresses of all listed engines, including those that
	// are gone.
	Addresses map[fleet.BackendName]string
	// Gone are the engines whose machines are permanently gone, by the list and
	// because they do not answer.
	Gone map[fleet.BackendName]bool
}

// RecordReceived gives a newer allotment record from any source.
type RecordReceived struct{ Record allotment.Record }

// RecordLearned answers LearnRecord with the record as the store or a majority
// of the zone's members held it after the request.
type RecordLearned struct {
	ID     uint64
	Record allotment.Record
	// Failed is set if neither answered.
	Failed bool
	// FromStore is set if the store itself answered.
	FromStore bool
}

// StateRead answers ReadEngine.
type StateRead struct {
	ID     uint64
	Engine fleet.BackendName
	State  fleet.EngineState
	// Failed is set if the engine did not answer.
	Failed bool
}

// ClaimAnswered answers SendClaim.
type ClaimAnswered struct {
	ID     uint64
	Engine fleet.BackendName
	Result ClaimResult
	// State is the engine's inventory, if the claim was granted.
	State fleet.EngineState
	// Fence is the greater fence, if the claim was refused.
	Fence fleet.Fence
}

// ClaimResult is the outcome of a claim.
type ClaimResult int

// The outcomes of a claim.
const (
	// ClaimUnanswered means that no answer arrived; the claim may have been
	// granted.
	ClaimUnanswered ClaimResult = iota
	ClaimGranted
	ClaimRefused
)

// OrderRefused reports that an engine refused an order of the round because of
// its fence or incarnation.
type OrderRefused struct {
	Engine fleet.BackendName
	// Fence is the fence that the engine holds.
	Fence fleet.Fence
}

// RestartRound requests a new round, so that orders still in transit are
// refused.
type RestartRound struct{}

func (Tick) message()              {}
func (LeadershipDesired) message() {}
func (EnginesListed) message()     {}
func (RecordReceived) message()    {}
func (RecordLearned) message()     {}
func (StateRead) message()         {}
func (ClaimAnswered) message()     {}
func (OrderRefused) message()      {}
func (RestartRound) message()      {}

// Effect is an action that the caller of Step must carry out.
type Effect interface{ effect() }

// ReadEngine reads an engine's state; the answer is StateRead.
type ReadEngine struct {
	ID      uint64
	Engine  fleet.BackendName
	Address string
}

// LearnRecord reads the allotment record from the store or from a majority of
// the zone's members; the answer is RecordLearned.
type LearnRecord struct{ ID uint64 }

// SendClaim claims an engine; the answer is ClaimAnswered.
type SendClaim struct {
	ID          uint64
	Engine      fleet.BackendName
	Address     string
	Fence       fleet.Fence
	Incarnation uint64
}

// RoundEstablished reports that the round is established: from now on orders
// may be sent under its fence to the engines that it holds.
type RoundEstablished struct {
	Fence fleet.Fence
	// Record is the record that the round was started with.
	Record allotment.Record
	// Held has the granted and verified engines with their inventories.
	Held map[fleet.BackendName]fleet.EngineState
	// AssumedFull are the other engines that are not gone; each of them counts
	// as holding every model.
	AssumedFull []fleet.BackendName
}

// RoundEnded reports that the round has ended: no further orders may be sent.
type RoundEnded struct{ Reason string }

func (ReadEngine) effect()       {}
func (LearnRecord) effect()      {}
func (SendClaim) effect()        {}
func (RoundEstablished) effect() {}
func (RoundEnded) effect()       {}
