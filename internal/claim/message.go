package claim

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// KeeperMessage is what a Keeper takes. Each of Grant, Complete and Seal is
// answered by one effect of the same Step.
type KeeperMessage interface{ keeperMessage() }

// Tick says that NextWake has come.
type Tick struct{}

// Grant asks to vouch for an attempt.
type Grant struct {
	Key         string
	Fingerprint []byte
	Attempt     string
	Node        fleet.NodeName
	Window      time.Duration
	// Slot is the version that the asker counts on.
	Slot Slot
}

// Complete tells how an attempt ended. NotRun also gives up an attempt that
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

// SlotUpdate tells of a version of a slot.
type SlotUpdate struct{ Slot Slot }

// Seal asks an older keeper for its records; it grants no more in older
// versions.
type Seal struct{ Slot Slot }

// SealAnswered is an older keeper's answer to a Seal that this keeper sent.
type SealAnswered struct {
	Index   int
	Version uint64
	From    Seat
	Reply   SealReply
}

// ProcessEnded says that a process has ended for good.
type ProcessEnded struct{ Seat Seat }

// NodeLost says that the failure detector lost a node: its attempts are not
// going to be told of.
type NodeLost struct{ Node fleet.NodeName }

func (Tick) keeperMessage()         {}
func (Grant) keeperMessage()        {}
func (Complete) keeperMessage()     {}
func (SlotUpdate) keeperMessage()   {}
func (Seal) keeperMessage()         {}
func (SealAnswered) keeperMessage() {}
func (ProcessEnded) keeperMessage() {}
func (NodeLost) keeperMessage()     {}

// KeeperEffect is what a Keeper wants done.
type KeeperEffect interface{ keeperEffect() }

// Vote is one keeper's word on an attempt.
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
	// VoteIncompleteHistory means that the keeper does not know of the whole window.
	VoteIncompleteHistory
	// VoteFull means that the keeper can hold no more records.
	VoteFull
	// VoteStale means that asker and keeper know different versions.
	VoteStale
)

// GrantReply answers a Grant.
type GrantReply struct {
	Vote   Vote
	Answer *Answer
	// Holder is the attempt that holds the key, for VoteInProgress.
	Holder string
	// Slot is the newest version that the keeper knows.
	Slot Slot
	// RetryAfter is when a keeper that is too young will vouch.
	RetryAfter time.Duration
}

// CompleteReply answers a Complete with the newest version known.
type CompleteReply struct{ Slot Slot }

// SealReply answers a Seal.
type SealReply struct {
	// Settled is set where the keeper knows of all that was granted in older
	// versions within KnownFor; Always means without limit.
	Settled  bool
	KnowsAll bool
	KnownFor time.Duration
	Records  []TransferredRecord
}

// TransferredRecord is a record on its way to another keeper.
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

// RequestSeal asks an older keeper to seal; the answer comes back as Handed.
type RequestSeal struct {
	To   Seat
	Slot Slot
}

func (GrantReply) keeperEffect()    {}
func (CompleteReply) keeperEffect() {}
func (SealReply) keeperEffect()     {}
func (RequestSeal) keeperEffect()   {}
