package operator

import (
	"bytes"
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// OwnerLabel names the set of declarations that an object was applied from,
// so that pruning one set leaves the others alone.
const OwnerLabel = "spanlanding.owner"

// Action is what apply does with one object.
type Action string

// The actions of a plan.
const (
	ActionCreate Action = "create"
	ActionUpdate Action = "update"
	ActionDelete Action = "delete"
	ActionNone   Action = "none"
)

// Change is one step of a plan.
type Change struct {
	Action Action
	// Before is the object in the store; its zero value where there is none.
	Before objectstore.Object
	// After is what is to be written; of a deletion only the key counts.
	After objectstore.Object
}

// Plan is what brings the store to what a set declares: changes in dependency
// order, then deletions in the reverse order.
type Plan struct {
	Owner   string
	Changes []Change
}

// Pending returns the changes that do something.
func (p Plan) Pending() []Change {
	return slices.DeleteFunc(slices.Clone(p.Changes), func(change Change) bool {
		return change.Action == ActionNone
	})
}

// PlanOptions govern a plan.
type PlanOptions struct {
	// Owner names the set of declarations.
	Owner string
	// Prune deletes the owner's objects that are no longer declared.
	Prune bool
	// TakeOver lets the set change objects that belong to another set.
	TakeOver bool
}

// NewPlan compares the declared objects with those in the store.
func NewPlan(declared []spec.Declared, stored []objectstore.Object, options PlanOptions) (Plan, error) {
	current := make(map[objectstore.Key]objectstore.Object, len(stored))
	for _, object := range stored {
		if !object.Deleted {
			current[object.Key()] = object
		}
	}
	plan := Plan{Owner: options.Owner}
	wanted := make(map[objectstore.Key]bool, len(declared))
	for _, object := range declared {
		after := desired(object, options.Owner)
		wanted[after.Key()] = true
		change := compare(current[after.Key()], after)
		if owner := change.Before.Labels[OwnerLabel]; owner != "" && owner != options.Owner && !options.TakeOver {
			return Plan{}, ErrConflict.New("%s %q belongs to the set %q, not to %q; remove it from one of them, or pass --take-over",
				after.Kind, after.Name, owner, options.Owner)
		}
		plan.Changes = append(plan.Changes, change)
	}
	if options.Prune {
		plan.Changes = append(plan.Changes, deletions(current, wanted, options.Owner)...)
	}
	return plan, nil
}

func desired(object spec.Declared, owner string) objectstore.Object {
	labels := maps.Clone(object.Labels)
	if labels == nil {
		labels = make(map[string]string, 1)
	}
	labels[OwnerLabel] = owner
	return objectstore.Object{Kind: string(object.Kind), Name: object.Name, Labels: labels, Spec: object.Spec}
}

func compare(before, after objectstore.Object) Change {
	change := Change{Action: ActionUpdate, Before: before, After: after}
	switch {
	case before.Kind == "":
		change.Action = ActionCreate
	case sameContent(before, after):
		change.Action = ActionNone
	}
	return change
}

// sameContent compares labels and specs, whatever form the store gave the
// spec's JSON.
func sameContent(before, after objectstore.Object) bool {
	if before.Deleted || !maps.Equal(before.Labels, after.Labels) {
		return false
	}
	kind := spec.Kind(before.Kind)
	left, leftErr := spec.Canonical(kind, before.Spec)
	right, rightErr := spec.Canonical(kind, after.Spec)
	return leftErr == nil && rightErr == nil && bytes.Equal(left, right)
}

func deletions(current map[objectstore.Key]objectstore.Object, wanted map[objectstore.Key]bool, owner string) []Change {
	var changes []Change
	kinds := spec.Kinds()
	slices.Reverse(kinds)
	for _, kind := range kinds {
		for _, key := range slices.SortedFunc(maps.Keys(current), compareKeys) {
			object := current[key]
			if object.Kind == string(kind) && object.Labels[OwnerLabel] == owner && !wanted[key] {
				after := objectstore.Object{Kind: object.Kind, Name: object.Name}
				changes = append(changes, Change{Action: ActionDelete, Before: object, After: after})
			}
		}
	}
	return changes
}
