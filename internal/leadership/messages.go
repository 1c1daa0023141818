package leadership

import (
	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Message is what the core is told.
type Message interface{ message() }

// Tick says that time has passed.
type Tick struct{}

// LeadershipDesired says whether this node is to lead its zone.
type LeadershipDesired struct{ Lead bool }

// EnginesListed gives the engines that the machine list shows in the zone.
type EnginesListed struct {
	// Addresses are those of all engines listed, also of those gone.
	Addresses map[fleet.BackendName]string
	// Gone names the engines whose machines are gone for good, by the list and
	// by their own silence.
	Gone map[fleet.BackendName]bool
}

// RecordReceived is a newer record of allotments, from whoever it came.
type RecordReceived struct{ Record allotment.Record }

// RecordLearned answers LearnRecord: the record as the store or a majority of
// the zone's members held it after the question was put.
type RecordLearned struct {
	ID     uint64
	Record allotment.Record
	// Failed is set where neither answered.
	Failed bool
	// FromStore is set where the store itself answered.
	FromStore bool
}

// StateRead answers ReadEngine.
type StateRead struct {
	ID     uint64
	Engine fleet.BackendName
	State  fleet.EngineState
	// Failed is set where the engine did not answer.
	Failed bool
}

// ClaimAnswered answers SendClaim.
type ClaimAnswered struct {
	ID     uint64
	Engine fleet.BackendName
	Result ClaimResult
	// State is the inventory, where the claim was granted.
	State fleet.EngineState
	// Fence is the greater fence, where it was refused.
	Fence fleet.Fence
}

// ClaimResult is how a claim ended.
type ClaimResult int

// The ends of a claim.
const (
	// ClaimUnanswered means that no answer came; it may have been granted.
	ClaimUnanswered ClaimResult = iota
	ClaimGranted
	ClaimRefused
)

// OrderRefused says that an engine refused an order of the round for its
// fence or incarnation.
type OrderRefused struct {
	Engine fleet.BackendName
	// Fence is the one that the engine holds.
	Fence fleet.Fence
}

// RestartRound asks for a new round, so that orders still on their way are refused.
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

// Effect is what the shell is to do.
type Effect interface{ effect() }

// ReadEngine reads an engine's state and answers with StateRead.
type ReadEngine struct {
	ID      uint64
	Engine  fleet.BackendName
	Address string
}

// LearnRecord asks the store, or a majority of the zone's members, for the
// record of allotments and answers with RecordLearned.
type LearnRecord struct{ ID uint64 }

// SendClaim claims an engine and answers with ClaimAnswered.
type SendClaim struct {
	ID          uint64
	Engine      fleet.BackendName
	Address     string
	Fence       fleet.Fence
	Incarnation uint64
}

// RoundEstablished says that the round counts: from now on orders may be sent under
// its fence to the engines that it holds.
type RoundEstablished struct {
	Fence fleet.Fence
	// Record is the one that the round carries.
	Record allotment.Record
	// Held are the engines granted and verified, with their inventories.
	Held map[fleet.BackendName]fleet.EngineState
	// AssumedFull are the other engines that are not gone: each counts as holding
	// every model.
	AssumedFull []fleet.BackendName
}

// RoundEnded says that the round is over: no further order may be sent.
type RoundEnded struct{ Reason string }

func (ReadEngine) effect()       {}
func (LearnRecord) effect()      {}
func (SendClaim) effect()        {}
func (RoundEstablished) effect() {}
func (RoundEnded) effect()       {}
