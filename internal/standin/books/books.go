// Package books defines the records that stand-ins, the simulated external
// systems, keep of what actually happened. Tests and the simulator check the
// invariants against these records rather than against the nodes' own view.
// Stand-ins serve them at GET /lab/books.
//
// It may import fleet and the wire types of objectstore.
package books

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Book holds the records of one engine or service.
type Book struct {
	Backend fleet.Backend `json:"backend"`
	// Incarnation is the current one. The records of earlier incarnations are
	// lost when the process ends, but survive a simulated restart within it.
	Incarnation uint64 `json:"incarnation"`
	// LeavingSince is when the back end first announced its shutdown.
	LeavingSince time.Time `json:"leavingSince,omitzero"`
	// TurnedAway lists the new work that was refused because of the shutdown.
	TurnedAway  []TurnedAway `json:"turnedAway,omitempty"`
	Residencies []Residency  `json:"residencies,omitempty"`
	Executions  []Execution  `json:"executions,omitempty"`
	// MemoryBytes is the memory capacity, PeakBytes the highest use so far,
	// including the KV reserve.
	MemoryBytes int64 `json:"memoryBytes,omitempty"`
	PeakBytes   int64 `json:"peakBytes,omitempty"`
	// RefusedOrders counts the orders refused because of their fence or
	// incarnation.
	RefusedOrders int `json:"refusedOrders,omitempty"`
}

// TurnedAway is a request or a load order that a back end refused because it was
// shutting down.
type TurnedAway struct {
	RequestID fleet.RequestID `json:"requestId,omitempty"`
	OrderID   string          `json:"orderId,omitempty"`
	At        time.Time       `json:"at"`
}

// Residency is a period during which a model occupied an engine's memory, from
// the accepted load order to the end of the unload.
type Residency struct {
	Model   fleet.ModelVersion `json:"model"`
	Fence   fleet.Fence        `json:"fence"`
	OrderID string             `json:"orderId"`
	From    time.Time          `json:"from"`
	ReadyAt time.Time          `json:"readyAt,omitzero"`
	// To is zero while the model is still resident.
	To time.Time `json:"to,omitzero"`
	// BusySeconds is the time during which at least one request was running.
	BusySeconds float64 `json:"busySeconds"`
	Bytes       int64   `json:"bytes"`
}

// Execution is a request that started to run.
type Execution struct {
	RequestID fleet.RequestID `json:"requestId"`
	Attempt   int             `json:"attempt"`
	// Key is the caller's Idempotency-Key, if any.
	Key     string             `json:"key,omitempty"`
	Method  string             `json:"method,omitempty"`
	Path    string             `json:"path,omitempty"`
	Model   fleet.ModelVersion `json:"model,omitzero"`
	Started time.Time          `json:"started"`
	Ended   time.Time          `json:"ended,omitzero"`
	// Tokens counts the generated tokens; Cancelled means that the request was
	// cancelled while it was running.
	Tokens    int  `json:"tokens,omitempty"`
	Cancelled bool `json:"cancelled,omitempty"`
}

// StoreChange is a change of an object in the platform's store. The platform
// serves these changes at GET /lab/journal?since=VERSION.
type StoreChange struct {
	// At is when the change took effect, whether or not its response arrived.
	At     time.Time          `json:"at"`
	Object objectstore.Object `json:"object"`
}
