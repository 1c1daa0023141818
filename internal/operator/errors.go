package operator

import (
	"errors"
	"fmt"

	"github.com/joomcode/errorx"
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
	var conflict *ConflictError
	if errors.As(err, &conflict) {
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
	} {
		if errorx.IsOfType(err, entry.kind) {
			return entry.code
		}
	}
	return ExitFailed
}

// Error says which version and whose change stands.
func (c *ConflictError) Error() string {
	if c.Current.Version == 0 {
		return fmt.Sprintf("%s %q is not in the store any more", c.Current.Kind, c.Current.Name)
	}
	what := "stands"
	if c.Current.Deleted {
		what = "deleted it"
	}
	return fmt.Sprintf("%s %q: version %d %s, changed by %s (change %s)", c.Current.Kind, c.Current.Name,
		c.Current.Version, what, orUnnamed(c.Current.ChangedBy), orUnnamed(c.Current.ChangeID))
}

func orUnnamed(text string) string {
	if text == "" {
		return "unnamed"
	}
	return text
}
