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

// writeTimeout bounds one write with its reading back, so that one lost answer
// does not take the time of the whole run.
const writeTimeout = 5 * time.Second

// Outcome is what became of one change.
type Outcome string

// The outcomes of a change.
const (
	OutcomeCreated   Outcome = "created"
	OutcomeUpdated   Outcome = "updated"
	OutcomeDeleted   Outcome = "deleted"
	OutcomeUnchanged Outcome = "unchanged"
	// OutcomeConflict: another's change won.
	OutcomeConflict Outcome = "conflict"
	// OutcomeUnknown: the store gave no answer; applying again settles it.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRefused: the store refused the write; nothing changed.
	OutcomeRefused Outcome = "refused"
	// OutcomeNotTried: the store was not reached, or an earlier change did not succeed.
	OutcomeNotTried Outcome = "not-tried"
)

// Applied is the outcome of one change.
type Applied struct {
	Kind    string  `json:"kind"`
	Name    string  `json:"name"`
	Outcome Outcome `json:"outcome"`
	// Version is the object's version in the store, where it is known.
	Version uint64 `json:"version,omitempty"`
	// ChangedBy and ChangeID name the change that won a conflict.
	ChangedBy string `json:"changedBy,omitempty"`
	ChangeID  string `json:"changeId,omitempty"`
}

// ApplyResult is what an apply did.
type ApplyResult struct {
	Owner string `json:"owner"`
	// Version is the store revision from which on everything that was
	// accepted is in the store; pass it to wait.
	Version uint64    `json:"version"`
	Objects []Applied `json:"objects"`
}

// Changed counts the objects that were written.
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

// Writer names who changes objects.
type Writer struct {
	// By names the operator.
	By string
	// RunID differs for each run of apply; change ids are formed from it.
	RunID string
}

// Apply carries out a plan, change by change. It stops at the first that does
// not succeed; what was accepted until then stays, and a later run with the
// same declarations goes on from there.
func Apply(ctx context.Context, store Store, plan Plan, writer Writer) (ApplyResult, error) {
	result := ApplyResult{Owner: plan.Owner}
	var failure error
	for _, change := range plan.Changes {
		applied := Applied{Kind: change.After.Kind, Name: change.After.Name, Outcome: OutcomeNotTried}
		if failure == nil {
			applied, failure = applyOne(ctx, store, change, writer)
		}
		result.Objects = append(result.Objects, applied)
		if applied.Outcome != OutcomeConflict {
			result.Version = max(result.Version, applied.Version)
		}
	}
	return result, failure
}

func applyOne(ctx context.Context, store Store, change Change, writer Writer) (Applied, error) {
	applied := Applied{Kind: change.After.Kind, Name: change.After.Name}
	if change.Action == ActionNone {
		applied.Outcome, applied.Version = OutcomeUnchanged, change.Before.Version
		return applied, nil
	}
	object := change.After
	object.ChangedBy = writer.By
	object.ChangeID = fmt.Sprintf("%s/%s/%s", writer.RunID, object.Kind, object.Name)
	bounded, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	written, outcome, err := write(bounded, store, change.Action, object, change.Before.Version)
	if err == nil {
		applied.Outcome, applied.Version = outcome, written.Version
		return applied, nil
	}
	conflict, lost := objectstore.AsConflict(err)
	if !lost {
		return unwritten(applied, err)
	}
	if alreadySo(change, conflict.Current) {
		applied.Outcome, applied.Version = OutcomeUnchanged, conflict.Current.Version
		return applied, nil
	}
	applied.Outcome, applied.Version = OutcomeConflict, conflict.Current.Version
	applied.ChangedBy, applied.ChangeID = conflict.Current.ChangedBy, conflict.Current.ChangeID
	return applied, ErrConflict.New("%s %q was not written over version %d: %s", object.Kind, object.Name, change.Before.Version, describe(conflict.Current))
}

// unwritten tells a write that may have taken effect from one that has not.
func unwritten(applied Applied, err error) (Applied, error) {
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

// alreadySo reports whether another operator made the very same change first.
func alreadySo(change Change, current objectstore.Object) bool {
	if change.Action == ActionDelete {
		return current.Deleted || current.Version == 0
	}
	return sameContent(current, change.After)
}

func compareKeys(left, right objectstore.Key) int {
	return cmp.Or(strings.Compare(left.Kind, right.Kind), strings.Compare(left.Name, right.Name))
}
