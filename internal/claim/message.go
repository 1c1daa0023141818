package claim

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// KeeperMessage is an input of Keeper.Step. Each Grant, Complete and Seal is
// answered by one effect of the same Step.
type KeeperMessage interface{ keeperMessage() }

// Tick reports that the time of NextWake has come.
type Tick struct{}

// Grant asks the keeper to grant an attempt.
type Grant struct {
	Key         string
	Fingerprint []byte
	Attempt     string
	Node        fleet.NodeName
	Window      time.Duration
	// Slot is the version of the slot that the asker uses.
	Slot Slot
}

// Complete reports how an attempt ended. NotRun also releases an attempt that
// was not granted by a majority.
type Complete struct {
	Key         string
	Fingerprint []byte
	Attempt     string
	Window      time.Duration
	Outcome     Outcome
	Answer      *Answer
	Slot        Slot
}

// SlotUpdate announces a version of a slot.
type SlotUpdate struct{ Slot Slot }

// Seal asks a keeper of an older version for its records. From then on it grants
// nothing in versions before Slot.
type Seal struct{ Slot Slot }

// SealAnswered is the answer of a keeper of an older version to this keeper's RequestSeal.
type SealAnswered struct {
	Index   int
	Version uint64
	From    Seat
	Reply   SealReply
}

// ProcessEnded reports that a process has ended for good.
type ProcessEnded struct{ Seat Seat }

// NodeLost reports that the failure detector considers a node lost: no outcome
// of its attempts will arrive.
type NodeLost struct{ Node fleet.NodeName }

func (Tick) keeperMessage()         {}
func (Grant) keeperMessage()        {}
func (Complete) keeperMessage()     {}
func (SlotUpdate) keeperMessage()   {}
func (Seal) keeperMessage()         {}
func (SealAnswered) keeperMessage() {}
func (ProcessEnded) keeperMessage() {}
func (NodeLost) keeperMessage()     {}

// KeeperEffect is an action that Keeper.Step requests from its caller.
type KeeperEffect interface{ keeperEffect() }

// Vote is one keeper's answer to a Grant.
type Vote int

// The votes; see the verdicts of the same names.
const (
	// VoteNone means that no answer came.
	VoteNone Vote = iota
	VoteGranted
	VoteInProgress
	VoteDone
	VoteMismatch
	VoteUnknown
	// VoteIncompleteHistory means that the keeper does not know of all grants
	// within the window yet.
	VoteIncompleteHistory
	// VoteFull means that the keeper has reached its limit of records.
	VoteFull
	// VoteStale means that asker and keeper use different versions of the slot.
	VoteStale
)

// GrantReply answers a Grant.
type GrantReply struct {
	Vote   Vote
	Answer *Answer
	// Holder is the attempt that holds the key, for VoteInProgress.
	Holder string
	// Slot is the newest version known to the keeper.
	Slot Slot
	// RetryAfter is how long until the keeper can grant, for VoteIncompleteHistory.
	RetryAfter time.Duration
}

// CompleteReply answers a Complete with the newest known version of the slot.
type CompleteReply struct{ Slot Slot }

// SealReply answers a Seal.
type SealReply struct {
	// Settled is set if the keeper knows of everything that was granted in older
	// versions within the past KnownFor; KnowsAll means without a time limit.
	Settled  bool
	KnowsAll bool
	KnownFor time.Duration
	Records  []TransferredRecord
}

// TransferredRecord is a record as sent to a keeper of a newer version. Times are
// relative, as the clocks of two nodes are not comparable.
type TransferredRecord struct {
	Key           string
	Fingerprint   []byte
	Holders       []string
	Released      []string
	Node          fleet.NodeName
	ExpiresIn     time.Duration
	AttemptEndsIn time.Duration
	Done          bool
	Answer        *Answer
}

// RequestSeal asks the caller to send a Seal to a keeper of an older version; the
// answer returns as SealAnswered.
type RequestSeal struct {
	To   Seat
	Slot Slot
}

func (GrantReply) keeperEffect()    {}
func (CompleteReply) keeperEffect() {}
func (SealReply) keeperEffect()     {}
func (RequestSeal) keeperEffect()   {}
