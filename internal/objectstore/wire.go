package objectstore

import (
	"encoding/json"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Object is one versioned object of the object API. Declarations have the kinds
// of package spec, the system's own records those below.
type Object struct {
	Kind   string            `json:"kind"`
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// Version is the store revision of the last change. Revisions increase across
	// all objects, so that one also identifies a state of the whole store.
	Version uint64 `json:"version"`
	// ChangeID is chosen by the writer. If the response to a write is lost, it shows
	// whether a later read contains the write.
	ChangeID string `json:"changeId,omitempty"`
	// ChangedBy is the name of the writer.
	ChangedBy string `json:"changedBy,omitempty"`
	// Deleted marks a tombstone.
	Deleted bool            `json:"deleted,omitempty"`
	Spec    json.RawMessage `json:"spec,omitempty"`
}

// Key identifies an object.
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
	// KindAllotments has one object, "fleet", with the decided number of replicas
	// and each zone's allotment.
	KindAllotments = "Allotments"
	// KindLease has one object for the leadership of each zone, and "fleet" for the
	// leader that decides the allotments.
	KindLease = "Lease"
	// KindKeepers has one object, "fleet", with the nodes that keep the idempotency
	// keys.
	KindKeepers = "Keepers"
)

// ObjectList is the response to GET /v1/objects.
type ObjectList struct {
	// Version is the store revision of the list.
	Version uint64   `json:"version"`
	Objects []Object `json:"objects"`
}

// WatchEvent is one line of the response to GET /v1/watch?since=N: an object after
// a change, or, without an object, only the store revision reached.
type WatchEvent struct {
	Version uint64  `json:"version"`
	Object  *Object `json:"object,omitempty"`
}

// WriteRequest is the body of a write.
type WriteRequest struct {
	Object Object `json:"object"`
	// ExpectedVersion is the version that the object must have; 0 if there must be no object
	// or a tombstone.
	ExpectedVersion uint64 `json:"expected"`
}

// ConflictResponse is the body of a 409 response to a write.
type ConflictResponse struct {
	// Current is the object in the store.
	Current Object `json:"current"`
}

// MachineState is a machine's state in the list.
type MachineState string

// The states of a machine.
const (
	MachineLive    MachineState = "live"
	MachineLeaving MachineState = "leaving"
	// MachineGone means that no process of the machine runs any more.
	MachineGone MachineState = "gone"
)

// Machine is one entry of the machine list.
type Machine struct {
	// Role is "node", "engine" or "service".
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

// MachineList is the response to GET /v1/machines.
type MachineList struct {
	AsOfUnixMilli int64     `json:"asOfUnixMilli"`
	Machines      []Machine `json:"machines"`
}
