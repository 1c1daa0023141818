package operator

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// writeTimeout bounds one write including the read-back that follows a lost
// response, so that a single lost response can't use up the time of the whole
// run.
const writeTimeout = 5 * time.Second

// Outcome is the result of one change.
type Outcome string

// The outcomes of a change.
const (
	OutcomeCreated   Outcome = "created"
	OutcomeUpdated   Outcome = "updated"
	OutcomeDeleted   Outcome = "deleted"
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeConflict: a concurrent change by someone else was written first.
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnknown: the store did not respond, so the write may or may not
	// have taken effect; applying again resolves it.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRefused: the store rejected the write; nothing changed.
	OutcomeRefused Outcome = "refused"
	// OutcomeNotTried: the store could not be reached, or an earlier change
	// failed.
	OutcomeNotTried Outcome = "not-tried"
)

// Applied reports the outcome of one change.
type Applied struct {
	Kind    string  `json:"kind"`
	Name    string  `json:"name"`
	Outcome Outcome `json:"outcome"`
	// Version is the object's version in the store, 0 if unknown.
	Version uint64 `json:"version,omitempty"`
	// ChangedBy and ChangeID identify the change that won a conflict.
	ChangedBy string `json:"changedBy,omitempty"`
	ChangeID  string `json:"changeId,omitempty"`
}

// ApplyResult reports the outcome of every change of an apply.
type ApplyResult struct {
	Owner string `json:"owner"`
	// Version is the store revision that includes every accepted change; the
	// wait command takes it as its argument.
	Version uint64    `json:"version"`
	Objects []Applied `json:"objects"`
}

// Changed returns the number of objects that were created, updated or deleted.
func (r ApplyResult) Changed() int {
	changed := 0
	for _, object := range r.Objects {
		switch object.Outcome {
		case OutcomeCreated, OutcomeUpdated, OutcomeDeleted:
			changed++
		}
	}
	return changed
}

// Writer identifies who changes objects and in which run.
type Writer struct {
	// By is the name of the operator.
	By string
	// RunID is unique to each run of apply; change IDs are derived from it.
	RunID string
}

// Apply executes the changes of a plan in order. It stops at the first failure
// and returns its error; changes accepted before that are not rolled back, and
// a later run with the same declarations continues from there.
func Apply(ctx context.Context, store Store, plan Plan, writer Writer) (ApplyResult, error) {
	result := ApplyResult{Owner: plan.Owner}
	var failure error
	for _, change := range plan.Changes {
		applied := Applied{Kind: change.After.Kind, Name: change.After.Name, Outcome: OutcomeNotTried}
		if failure == nil {
			applied, failure = applyChange(ctx, store, change, writer)
		}
		result.Objects = append(result.Objects, applied)
		if applied.Outcome != OutcomeConflict {
			result.Version = max(result.Version, applied.Version)
		}
	}
	return result, failure
}

func applyChange(ctx context.Context, store Store, change Change, writer Writer) (Applied, error) {
	applied := Applied{Kind: change.After.Kind, Name: change.After.Name}
	if change.Action == ActionNone {
		applied.Outcome, applied.Version = OutcomeUnchanged, change.Before.Version
		return applied, nil
	}
	object := change.After
	object.ChangedBy = writer.By
	object.ChangeID = fmt.Sprintf("%s/%s/%s", writer.RunID, object.Kind, object.Name)
	writeCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, outcome, err := write(writeCtx, store, change.Action, object, change.Before.Version)
	if err == nil {
		applied.Outcome, applied.Version = outcome, written.Version
		return applied, nil
	}
	conflict, isConflict := objectstore.AsConflict(err)
	if !isConflict {
		return classifyWriteError(applied, err)
	}
	if alreadyApplied(change, conflict.Current) {
		applied.Outcome, applied.Version = OutcomeUnchanged, conflict.Current.Version
		return applied, nil
	}
	applied.Outcome, applied.Version = OutcomeConflict, conflict.Current.Version
	applied.ChangedBy, applied.ChangeID = conflict.Current.ChangedBy, conflict.Current.ChangeID
	return applied, ErrConflict.New("%s %q was not written over version %d: %s", object.Kind, object.Name, change.Before.Version, describeCurrent(conflict.Current))
}

// classifyWriteError sets the outcome of a failed write: unknown if it may have
// taken effect, else not tried or refused.
func classifyWriteError(applied Applied, err error) (Applied, error) {
	if errorx.IsOfType(err, objectstore.Unavailable) && !errorx.IsOfType(err, objectstore.NotSent) {
		applied.Outcome = OutcomeUnknown
		return applied, ErrUnreachable.Wrap(err, "%s %q: no answer from the store; apply again to settle it", applied.Kind, applied.Name)
	}
	applied.Outcome = OutcomeNotTried
	if errorx.IsOfType(err, objectstore.NotSent) {
		return applied, ErrUnreachable.Wrap(err, "%s %q was not written: the store cannot be reached", applied.Kind, applied.Name)
	}
	applied.Outcome = OutcomeRefused
	return applied, err
}

func write(ctx context.Context, store Store, action Action, object objectstore.Object, expected uint64) (objectstore.Object, Outcome, error) {
	switch action {
	case ActionDelete:
		written, err := store.Delete(ctx, object.Key(), expected, object.ChangeID, object.ChangedBy)
		return written, OutcomeDeleted, err
	case ActionCreate:
		written, err := store.Put(ctx, object, 0)
		return written, OutcomeCreated, err
	default:
		written, err := store.Put(ctx, object, expected)
		return written, OutcomeUpdated, err
	}
}

// alreadyApplied reports whether another operator made an identical change
// first.
func alreadyApplied(change Change, current objectstore.Object) bool {
	if change.Action == ActionDelete {
		return current.Deleted || current.Version == 0
	}
	return sameContent(current, change.After)
}

func compareKeys(left, right objectstore.Key) int {
	return cmp.Or(strings.Compare(left.Kind, right.Kind), strings.Compare(left.Name, right.Name))
}
