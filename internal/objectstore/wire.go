package objectstore

import (
	"encoding/json"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Object is one versioned object of the object API. Declarations have the
// kinds of package spec; the system's own records have the kinds below.
type Object struct {
	Kind   string            `json:"kind"`
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// Version is the store revision of the last change; it grows over all
	// objects, so it also names a state of the whole store.
	Version uint64 `json:"version"`
	// ChangeID is chosen by the writer, so that a lost answer can be resolved
	// by reading back.
	ChangeID string `json:"changeId,omitempty"`
	// ChangedBy names the writer.
	ChangedBy string `json:"changedBy,omitempty"`
	// Deleted marks a tombstone.
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// Key names an object.
type Key struct {
	Kind string
	Name string
}

// Key returns the object's key.
func (o Object) Key() Key {
	return Key{Kind: o.Kind, Name: o.Name}
}

// Kinds of the system's own records.
const (
	// KindAllotments holds the one object named "fleet" with the decided
	// replicas and each zone's allotment.
	KindAllotments = "Allotments"
	// KindLease holds one object for each zone's leadership, and "fleet" for
	// the decider of allotments.
	KindLease = "Lease"
	// KindKeepers holds the one object named "fleet" with the keepers of
	// idempotency keys.
	KindKeepers = "Keepers"
)

// ObjectList answers GET /v1/objects.
type ObjectList struct {
	// Version is the store revision that the list shows.
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

// WatchEvent is one line of GET /v1/watch?since=N: an object as it is after a
// change, or, with an empty Kind, only the store revision reached.
type WatchEvent struct {
	Version uint64  `json:"version"`
	Object  *Object `json:"object,omitempty"`
}

// Precondition is the version that a write expects; 0 expects no object (or a
// tombstone).
type WriteRequest struct {
	Object Object `json:"object"`
	// ExpectedVersion is the version that the object must have; 0 for none.
	ExpectedVersion uint64 `json:"expected"`
}

// ConflictResponse is the 409 answer to a write: the object that stands.
type ConflictResponse struct {
	Current Object `json:"current"`
}

// MachineState is a machine's state on the list.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
	// MachineGone means that nothing of the machine runs any more.
	MachineGone MachineState = "gone"
)

// Machine is one line of the machine list.
type Machine struct {
	// Role is node, engine or service.
	Role    string            `json:"role"`
	Name    string            `json:"name"`
	Zone    fleet.Zone        `json:"zone"`
	Rack    string            `json:"rack,omitempty"`
	State   MachineState      `json:"state"`
	Service string            `json:"service,omitempty"`
	Address string            `json:"address"`
	Node    fleet.Addresses   `json:"node,omitzero"`
	Extra   map[string]string `json:"extra,omitempty"`
}

// MachineList answers GET /v1/machines.
type MachineList struct {
	AsOfUnixMilli int64     `json:"asOfUnixMilli"`
	Machines      []Machine `json:"machines"`
}
