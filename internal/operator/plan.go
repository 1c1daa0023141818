package operator

import (
	"bytes"
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// OwnerLabel is the label that holds the name of the set of declarations that
// an object was applied from, so that pruning one set does not affect others.
const OwnerLabel = "spanlanding.owner"

// Action is the operation that apply performs on one object.
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
	// Before is the object in the store, or the zero value if there is none.
	Before objectstore.Object
	// After is the object to write. For a deletion only its key is used.
	After objectstore.Object
}

// Plan lists the changes that make the store match a set of declarations:
// creations and updates in dependency order, then deletions in reverse
// dependency order.
type Plan struct {
	Owner   string
	Changes []Change
}

// Pending returns the changes other than ActionNone.
func (p Plan) Pending() []Change {
	return slices.DeleteFunc(slices.Clone(p.Changes), func(change Change) bool {
		return change.Action == ActionNone
	})
}

// PlanOptions configure NewPlan.
type PlanOptions struct {
	// Owner is the name of the set of declarations.
	Owner string
	// Prune deletes the owner's objects that are no longer declared.
	Prune bool
	// TakeOver lets the set change objects that belong to another set.
	TakeOver bool
}

// NewPlan compares the declared objects with those in the store. Without
// TakeOver it fails with ErrConflict if an object belongs to another set.
func NewPlan(declared []spec.Declared, stored []objectstore.Object, options PlanOptions) (Plan, error) {
	current := make(map[objectstore.Key]objectstore.Object, len(stored))
	for _, object := range stored {
		if !object.Deleted {
			current[object.Key()] = object
		}
	}
	plan := Plan{Owner: options.Owner}
	declaredKeys := make(map[objectstore.Key]bool, len(declared))
	for _, object := range declared {
		after := desiredObject(object, options.Owner)
		declaredKeys[after.Key()] = true
		change := planChange(current[after.Key()], after)
		if owner := change.Before.Labels[OwnerLabel]; owner != "" && owner != options.Owner && !options.TakeOver {
			return Plan{}, ErrConflict.New("%s %q belongs to the set %q, not to %q; remove it from one of them, or pass --take-over",
				after.Kind, after.Name, owner, options.Owner)
		}
		plan.Changes = append(plan.Changes, change)
	}
	if options.Prune {
		plan.Changes = append(plan.Changes, deletions(current, declaredKeys, options.Owner)...)
	}
	return plan, nil
}

func desiredObject(object spec.Declared, owner string) objectstore.Object {
	labels := maps.Clone(object.Labels)
	if labels == nil {
		labels = make(map[string]string, 1)
	}
	labels[OwnerLabel] = owner
	return objectstore.Object{Kind: string(object.Kind), Name: object.Name, Labels: labels, Spec: object.Spec}
}

func planChange(before, after objectstore.Object) Change {
	change := Change{Action: ActionUpdate, Before: before, After: after}
	switch {
	case before.Kind == "":
		change.Action = ActionCreate
	case sameContent(before, after):
		change.Action = ActionNone
	}
	return change
}

// sameContent reports whether labels and specs are equal. Specs are compared in
// canonical form, because the store may reformat their JSON.
func sameContent(before, after objectstore.Object) bool {
	if before.Deleted || !maps.Equal(before.Labels, after.Labels) {
		return false
	}
	kind := spec.Kind(before.Kind)
	left, leftErr := spec.Canonical(kind, before.Spec)
	right, rightErr := spec.Canonical(kind, after.Spec)
	return leftErr == nil && rightErr == nil && bytes.Equal(left, right)
}

func deletions(current map[objectstore.Key]objectstore.Object, declaredKeys map[objectstore.Key]bool, owner string) []Change {
	var changes []Change
	kinds := spec.Kinds()
	slices.Reverse(kinds)
	for _, kind := range kinds {
		for _, key := range slices.SortedFunc(maps.Keys(current), compareKeys) {
			object := current[key]
			if object.Kind == string(kind) && object.Labels[OwnerLabel] == owner && !declaredKeys[key] {
				after := objectstore.Object{Kind: object.Kind, Name: object.Name}
				changes = append(changes, Change{Action: ActionDelete, Before: object, After: after})
			}
		}
	}
	return changes
}
