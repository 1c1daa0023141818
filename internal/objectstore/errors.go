package objectstore

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
)

// Errors of the client, to be distinguished with errorx.IsOfType.
var (
	Errors = errorx.NewNamespace("platform")
	// Unavailable means that the platform gave no usable response. For a write it
	// means that the outcome is unknown.
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
	// NotSent is the Unavailable of a request that was never sent: nothing changed.
	NotSent = Unavailable.NewSubtype("not_sent")
	// NotFound means that the object does not exist.
	NotFound = Errors.NewType("not_found", errorx.NotFound())
	// Rejected means that the platform refused the request as malformed.
	Rejected = Errors.NewType("rejected")
	// Compacted means that the store no longer has all changes since the requested
	// revision, or has not reached it; the caller must list instead.
	Compacted = Errors.NewType("compacted")
)

// ConflictError reports that another change came first.
type ConflictError struct {
	// Current is the object in the store; its Version is 0 if there is none.
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Version == 0 {
		return "conflict: the object does not exist"
	}
	return fmt.Sprintf("conflict: %s/%s is at version %d, changed by %q",
		e.Current.Kind, e.Current.Name, e.Current.Version, e.Current.ChangedBy)
}

// AsConflict returns the ConflictError in the chain of an error.
func AsConflict(err error) (*ConflictError, bool) {
	var conflict *ConflictError
	found := errors.As(err, &conflict)
	return conflict, found
}
