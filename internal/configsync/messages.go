package configsync

import (
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// VersionSpace names what versions count.
type VersionSpace string

// The spaces.
const (
	// SpaceObjects counts the store's revisions.
	SpaceObjects VersionSpace = ""
	// SpaceMachines counts the times of the machine list in Unix milliseconds.
	SpaceMachines VersionSpace = "machines"
)

// Message is an input of the core.
type Message interface{ message() }

// Tick lets the core do what is due.
type Tick struct{}

// MembersChanged gives the members that the node knows, delegates of other
// zones included.
type MembersChanged struct{ Members []fleet.Member }

// StoreListed answers ListStore.
type StoreListed struct {
	Generation uint64
	List       objectstore.ObjectList
}

// ListFailed answers ListStore.
type ListFailed struct{ Generation uint64 }

// EventsReceived hands over events of the watch in their order. A batch without
// objects only tells the store's revision.
type EventsReceived struct {
	Generation uint64
	// Version is the revision that the watch has reached.
	Version uint64
	Objects []objectstore.Object
}

// WatchEnded tells that the watch broke off. Compacted means that the store no
// longer keeps the events that were asked for. Idle means that nothing failed:
// the watch was given up since it had brought nothing for long.
type WatchEnded struct {
	Generation uint64
	Compacted  bool
	Idle       bool
}

// MachinesListed answers ListMachines.
type MachinesListed struct{ List objectstore.MachineList }

// ListMachinesFailed answers ListMachines.
type ListMachinesFailed struct{}

// PushReceived is a peer's push; AnswerPush with the same Call answers it.
type PushReceived struct {
	Call uint64
	From fleet.NodeName
	Push Push
}

// DigestReceived is a peer's digest; AnswerDigest with the same Call answers it.
type DigestReceived struct {
	Call   uint64
	From   fleet.NodeName
	Digest Digest
}

// DigestAnswered is a peer's answer to SendDigest.
type DigestAnswered struct {
	From   fleet.NodeName
	Answer DigestAnswer
}

// DigestFailed tells that SendDigest got no answer.
type DigestFailed struct {
	To    fleet.NodeName
	Space VersionSpace
}

func (Tick) message()               {}
func (MembersChanged) message()     {}
func (StoreListed) message()        {}
func (ListFailed) message()         {}
func (EventsReceived) message()     {}
func (WatchEnded) message()         {}
func (MachinesListed) message()     {}
func (ListMachinesFailed) message() {}
func (PushReceived) message()       {}
func (DigestReceived) message()     {}
func (DigestAnswered) message()     {}
func (DigestFailed) message()       {}

// Push hands over changes of one space.
type Push struct {
	Space   VersionSpace
	Changes Changes
	// BaseHash and Hash are over the whole machine list before and after the
	// changes. They are set in SpaceMachines, where Changes.Since and Horizon
	// mean nothing.
	BaseHash uint64
	Hash     uint64
}

// Digest tells what a node holds of one space.
type Digest struct {
	Space   VersionSpace
	Version uint64
	// Hash is over the objects held that are not deleted; 0 when it must not
	// be compared.
	Hash uint64
	// WantAll asks for all objects whatever the version.
	WantAll bool
}

// DigestAnswer brings the sender of a digest up to date.
type DigestAnswer struct {
	Space   VersionSpace
	Changes Changes
	Hash    uint64
	// Full is set when Changes holds all objects that are not deleted.
	Full bool
	// InSync is set when the sender of the digest held exactly the objects that
	// exist at the version; Changes holds none then.
	InSync bool
	// Loaded is false while the answering node has nothing in force.
	Loaded bool
}

// Effect is an output of the core.
type Effect interface{ effect() }

// ListStore asks for a list of all objects.
type ListStore struct{ Generation uint64 }

// WatchStore asks for a watch of all changes after a revision. It replaces the
// watch of an earlier generation.
type WatchStore struct {
	Generation uint64
	Since      uint64
}

// StopReading ends the list or watch under way: the node is no reader now.
type StopReading struct{}

// ListMachines asks for the machine list.
type ListMachines struct{}

// SendPush sends a push to a peer. A lost push is repaired by digests.
type SendPush struct {
	To   fleet.Member
	Push Push
}

// SendDigest sends a digest to a peer.
type SendDigest struct {
	To     fleet.Member
	Digest Digest
}

// AnswerPush answers PushReceived with the version in force.
type AnswerPush struct {
	Call    uint64
	Version uint64
}

// AnswerDigest answers DigestReceived.
type AnswerDigest struct {
	Call   uint64
	Answer DigestAnswer
}

// ObjectsUpdated tells that objects changed or that the version in force reached
// them. Changed includes tombstones and the system's own records.
type ObjectsUpdated struct {
	Version uint64
	Changed []objectstore.Object
}

// MachinesUpdated gives the machine list after a change.
type MachinesUpdated struct{ List objectstore.MachineList }

// StoreBehind reports that the store shows an older state than the node holds:
// it was restored or answers from a stale copy. Nothing goes back.
type StoreBehind struct {
	Store uint64
	Held  uint64
}

// PeerDiverged reports that a peer at the same version holds other objects.
type PeerDiverged struct {
	Peer    fleet.NodeName
	Version uint64
}

// ReaderChanged reports whether the node now reads the store for its zone.
type ReaderChanged struct{ Reader bool }

func (ListStore) effect()       {}
func (WatchStore) effect()      {}
func (StopReading) effect()     {}
func (ListMachines) effect()    {}
func (SendPush) effect()        {}
func (SendDigest) effect()      {}
func (AnswerPush) effect()      {}
func (AnswerDigest) effect()    {}
func (ObjectsUpdated) effect()  {}
func (MachinesUpdated) effect() {}
func (StoreBehind) effect()     {}
func (PeerDiverged) effect()    {}
func (ReaderChanged) effect()   {}
