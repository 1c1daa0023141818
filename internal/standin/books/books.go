// Package books holds the records that stand-ins keep of what really happened.
// They, not the nodes' belief, judge whether the rules held. Stand-ins serve
// them at GET /lab/books.
//
// It may import fleet and objectstore's wire types.
package books

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// Book is what one engine or service recorded.
type Book struct {
	Backend fleet.Backend `json:"backend"`
	// Incarnation is the present one; records of earlier ones are lost with
	// the process, those of a simulated restart within a process are kept.
	Incarnation uint64 `json:"incarnation"`
	// LeavingSince is when the back end first said that it leaves.
	LeavingSince time.Time `json:"leavingSince,omitzero"`
	// TurnedAway is the new work that came after that and was refused for it.
	TurnedAway  []TurnedAway `json:"turnedAway,omitempty"`
	Residencies []Residency  `json:"residencies,omitempty"`
	Executions  []Execution  `json:"executions,omitempty"`
	// MemoryBytes is the capacity, PeakBytes the most that was ever held, KV
	// reserve included.
	MemoryBytes int64 `json:"memoryBytes,omitempty"`
	PeakBytes   int64 `json:"peakBytes,omitempty"`
	// Refused counts orders refused for their fence.
	RefusedOrders int `json:"refusedOrders,omitempty"`
}

// TurnedAway is one request or one order to load that a back end refused
// because it leaves.
type TurnedAway struct {
	RequestID fleet.RequestID `json:"requestId,omitempty"`
	OrderID   string          `json:"orderId,omitempty"`
	At        time.Time       `json:"at"`
}

// Residency is one stay of a model in an engine's memory, from the accepted
// load order to the end of its unloading.
type Residency struct {
	Model   fleet.ModelVersion `json:"model"`
	Fence   fleet.Fence        `json:"fence"`
	OrderID string             `json:"orderId"`
	From    time.Time          `json:"from"`
	ReadyAt time.Time          `json:"readyAt,omitzero"`
	// To is zero while the model is still there.
	To time.Time `json:"to,omitzero"`
	// BusySeconds is the time with at least one request running.
	BusySeconds float64 `json:"busySeconds"`
	Bytes       int64   `json:"bytes"`
}

// Execution is one request that began to run.
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
	// Tokens were generated, Cancelled tells that the caller stopped it.
	Tokens    int  `json:"tokens,omitempty"`
	Cancelled bool `json:"cancelled,omitempty"`
}

// StoreChange is one change of the platform's store. The platform serves its
// changes at GET /lab/journal?since=VERSION.
type StoreChange struct {
	// At is when the change took effect, whether or not its answer arrived.
	At     time.Time          `json:"at"`
	Object objectstore.Object `json:"object"`
}
