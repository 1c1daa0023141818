package objectstore

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
)

// Errors of the client. Tell them apart with errorx.IsOfType.
var (
	Errors = errorx.NewNamespace("platform")
	// Unavailable means that the platform gave no usable answer. For a write
	// it means that it is not known whether the change was made.
	Unavailable = Errors.NewType("unavailable", errorx.Temporary())
	// NotSent is the Unavailable of a request that never left: nothing changed.
	NotSent = Unavailable.NewSubtype("not_sent")
	// NotFound means that there is no such object.
	NotFound = Errors.NewType("not_found", errorx.NotFound())
	// Rejected means that the platform refused the request as malformed.
	Rejected = Errors.NewType("rejected")
	// Compacted means that the store can no longer tell all changes since the
	// revision asked for, or has not reached it: list instead.
	Compacted = Errors.NewType("compacted")
)

// ConflictError tells that another change came first.
type ConflictError struct {
	// Current is the object that stands; its Version is 0 where there is none.
	Current Object
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Current.Version == 0 {
		return "conflict: there is no such object"
	}
	return fmt.Sprintf("conflict: %s/%s stands at version %d, changed by %q",
		e.Current.Kind, e.Current.Name, e.Current.Version, e.Current.ChangedBy)
}

// AsConflict returns the conflict in an error chain.
func AsConflict(err error) (*ConflictError, bool) {
	var conflict *ConflictError
	found := errors.As(err, &conflict)
	return conflict, found
}
