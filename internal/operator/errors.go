package operator

import (
	"fmt"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// ExitCode is what a command ends with; scripts rely on the numbers.
type ExitCode int

// The exit codes of the commands.
const (
	ExitDone ExitCode = 0
	// ExitFailed is any error that has no code of its own.
	ExitFailed ExitCode = 1
	// ExitUsage says that the command line was wrong.
	ExitUsage ExitCode = 2
	// ExitInvalid says that declarations or settings have findings.
	ExitInvalid ExitCode = 3
	// ExitConflict says that another operator's change won.
	ExitConflict ExitCode = 4
	// ExitUnreachable says that the store or the node gave no answer; what was
	// asked may or may not have taken effect.
	ExitUnreachable ExitCode = 5
	// ExitTimeout says that wait ended before every node had the version.
	ExitTimeout ExitCode = 6
	// ExitDifferent says that diff found differences.
	ExitDifferent ExitCode = 7
	// ExitNotFound says that the object does not exist.
	ExitNotFound ExitCode = 8
)

var (
	errorNamespace = errorx.NewNamespace("operator")
	// ErrUsage is the type of errors in the command line.
	ErrUsage = errorNamespace.NewType("usage")
	// ErrInvalid is the type of errors in declarations or settings.
	ErrInvalid = errorNamespace.NewType("invalid")
	// ErrConflict is the type of writes that lost to another's change.
	ErrConflict = errorNamespace.NewType("conflict")
	// ErrUnreachable is the type of calls without an answer.
	ErrUnreachable = errorNamespace.NewType("unreachable")
	// ErrTimeout is the type of waits that ended too early.
	ErrTimeout = errorNamespace.NewType("timeout")
	// ErrDifferent is the type of a diff that is not empty.
	ErrDifferent = errorNamespace.NewType("different")
	// ErrNotFound is the type of objects that do not exist.
	ErrNotFound = errorNamespace.NewType("not_found")
)

// CodeOf returns the exit code for the error of a command.
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

// describe says which version of an object stands, and whose change it is.
func describe(current objectstore.Object) string {
	if current.Version == 0 {
		return "it is not in the store any more"
	}
	what := "version %d by %s won (change %s)"
	if current.Deleted {
		what = "version %d by %s deleted it (change %s)"
	}
	return fmt.Sprintf(what, current.Version, orUnnamed(current.ChangedBy), orUnnamed(current.ChangeID))
}

// Message returns the error's text for people, without the names of types.
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
