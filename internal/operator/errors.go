package operator

import (
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// ExitCode is the exit code of a command. Scripts rely on the numbers.
type ExitCode int

// The exit codes of the commands.
const (
	ExitDone ExitCode = 0
	// ExitFailed is returned for errors without a code of their own.
	ExitFailed ExitCode = 1
	// ExitUsage means that the command line was invalid.
	ExitUsage ExitCode = 2
	// ExitInvalid means that validation of declarations or settings failed.
	ExitInvalid ExitCode = 3
	// ExitConflict means that a write conflicted with another operator's change.
	ExitConflict ExitCode = 4
	// ExitUnreachable means that the store or the node did not respond; the
	// request may or may not have taken effect.
	ExitUnreachable ExitCode = 5
	// ExitTimeout means that wait timed out before every node had the version.
	ExitTimeout ExitCode = 6
	// ExitDifferent means that diff found differences.
	ExitDifferent ExitCode = 7
	// ExitNotFound means that the object does not exist.
	ExitNotFound ExitCode = 8
)

var (
	errorNamespace = errorx.NewNamespace("operator")
	// ErrUsage is the type of command line errors.
	ErrUsage = errorNamespace.NewType("usage")
	// ErrInvalid is the type of validation errors in declarations or settings.
	ErrInvalid = errorNamespace.NewType("invalid")
	// ErrConflict is the type of errors for writes that conflict with another
	// change.
	ErrConflict = errorNamespace.NewType("conflict")
	// ErrUnreachable is the type of errors for calls that got no valid response.
	ErrUnreachable = errorNamespace.NewType("unreachable")
	// ErrTimeout is the type of errors for waits that timed out.
	ErrTimeout = errorNamespace.NewType("timeout")
	// ErrDifferent is the type of the error that reports a non-empty diff.
	ErrDifferent = errorNamespace.NewType("different")
	// ErrNotFound is the type of errors for objects that do not exist.
	ErrNotFound = errorNamespace.NewType("not_found")
)

// CodeOf returns the exit code for an error returned by a command.
func CodeOf(err error) ExitCode {
	if err == nil {
		return ExitDone
	}
	if _, conflict := objectstore.AsConflict(err); conflict {
		return ExitConflict
	}
	for _, entry := range []struct {
		kind *errorx.Type
		code ExitCode
	}{
		{ErrUsage, ExitUsage},
		{ErrInvalid, ExitInvalid},
		{ErrConflict, ExitConflict},
		{ErrUnreachable, ExitUnreachable},
		{ErrTimeout, ExitTimeout},
		{ErrDifferent, ExitDifferent},
		{ErrNotFound, ExitNotFound},
		{objectstore.NotFound, ExitNotFound},
		{objectstore.Unavailable, ExitUnreachable},
	} {
		if errorx.IsOfType(err, entry.kind) {
			return entry.code
		}
	}
	return ExitFailed
}

// describeCurrent describes the current version of an object and who wrote it.
func describeCurrent(current objectstore.Object) string {
	if current.Version == 0 {
		return "it is not in the store any more"
	}
	format := "version %d by %s won (change %s)"
	if current.Deleted {
		format = "version %d by %s deleted it (change %s)"
	}
	return fmt.Sprintf(format, current.Version, orUnnamed(current.ChangedBy), orUnnamed(current.ChangeID))
}

// Message returns the error's text without the names of error types.
func Message(err error) string {
	typed := errorx.Cast(err)
	if typed == nil {
		return err.Error()
	}
	if typed.Cause() == nil {
		return typed.Message()
	}
	if typed.Message() == "" {
		return Message(typed.Cause())
	}
	return typed.Message() + ": " + Message(typed.Cause())
}

func orUnnamed(text string) string {
	if text == "" {
		return "unnamed"
	}
	return text
}
