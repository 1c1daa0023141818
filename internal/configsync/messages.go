package configsync

import (
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// VersionSpace names what versions count.
type VersionSpace string

// The version spaces.
const (
	// SpaceObjects counts the store's revisions.
	SpaceObjects VersionSpace = ""
	// SpaceMachines counts timestamps of the machine list in Unix milliseconds.
	SpaceMachines VersionSpace = "machines"
)

// Message is an input of the core.
type Message interface{ message() }

// Tick lets the core perform the actions that are due.
type Tick struct{}

// MembersChanged contains the members known to the node, including delegates of other zones.
type MembersChanged struct{ Members []fleet.Member }

// StoreListed is the result of ListStore.
type StoreListed struct {
	Generation uint64
	List       objectstore.ObjectList
}

// ListFailed reports that ListStore failed.
type ListFailed struct{ Generation uint64 }

// EventsReceived contains watch events in order. A batch without objects only reports the store's
// revision.
type EventsReceived struct {
	Generation uint64
	// Version is the revision that the watch has reached.
	Version uint64
	Objects []objectstore.Object
}

// WatchEnded reports that the watch ended. Compacted means that the store no longer keeps the
// requested events. Idle means that nothing failed: the watch was closed because it had delivered
// nothing for a long time.
type WatchEnded struct {
	Generation uint64
	Compacted  bool
	Idle       bool
}

// MachinesListed is the result of ListMachines.
type MachinesListed struct{ List objectstore.MachineList }

// ListMachinesFailed reports that ListMachines failed.
type ListMachinesFailed struct{}

// PushReceived is a push from a peer, answered by AnswerPush with the same Call.
type PushReceived struct {
	Call uint64
	From fleet.NodeName
	Push Push
}

// DigestReceived is a digest from a peer, answered by AnswerDigest with the same Call.
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

// DigestFailed reports that SendDigest got no answer.
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

// Push transfers changes of one space.
type Push struct {
	Space   VersionSpace
	Changes Changes
	// BaseHash and Hash cover the whole machine list before and after the changes. They are set in
	// SpaceMachines, where Changes.Since and Changes.TombstoneHorizon are unused.
	BaseHash uint64
	Hash     uint64
}

// Digest summarizes what a node holds of one space.
type Digest struct {
	Space   VersionSpace
	Version uint64
	// Hash covers the objects held that are not deleted; 0 if it must not be compared.
	Hash uint64
	// WantAll requests all objects whatever the version.
	WantAll bool
}

// DigestAnswer brings the sender of a digest up to date.
type DigestAnswer struct {
	Space   VersionSpace
	Changes Changes
	Hash    uint64
	// Full is set when Changes holds all objects that are not deleted.
	Full bool
	// InSync is set when the sender of the digest held exactly the objects that exist at the
	// version; Changes contains no objects then.
	InSync bool
	// Loaded is false while the answering node has no version in force.
	Loaded bool
}

// Effect is an output of the core.
type Effect interface{ effect() }

// ListStore requests a list of all objects.
type ListStore struct{ Generation uint64 }

// WatchStore requests a watch of all changes after a revision. It replaces the watch of an earlier
// generation.
type WatchStore struct {
	Generation uint64
	Since      uint64
}

// StopReading ends the current list or watch: the node is no longer a reader.
type StopReading struct{}

// ListMachines requests the machine list.
type ListMachines struct{}

// SendPush sends a push to a peer. Digests make up for lost pushes.
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

// ObjectsUpdated reports that objects changed or that the version in force reached them. Changed
// includes tombstones and the system's own records.
type ObjectsUpdated struct {
	Version uint64
	Changed []objectstore.Object
}

// MachinesUpdated contains the machine list after a change.
type MachinesUpdated struct{ List objectstore.MachineList }

// StoreBehind reports that the store shows an older state than the node holds, because it was
// restored or answers from a stale replica. The node keeps its own state.
type StoreBehind struct {
	Store uint64
	Held  uint64
}

// PeerDiverged reports that a peer at the same version holds different objects.
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
