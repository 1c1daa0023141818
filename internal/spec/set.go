package spec

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Declared is an object in the form that the store takes.
type Declared struct {
	Kind   Kind              `json:"kind"`
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// Spec is canonical: equal declarations have equal bytes.
	Spec json.RawMessage `json:"spec"`
}

// Object is a declaration with the positions of its fields.
type Object struct {
	Kind     Kind
	Metadata Metadata
	// Spec points to the struct of the kind, such as *Model.
	Spec any
	// positions holds the position of each field's value by a path such as
	// spec.versions[0].memory; the empty path is the document itself.
	positions map[string]Position
	// invalid holds the paths at which decoding already reported a finding.
	invalid map[string]bool
}

// Place returns the position of the field, or of the nearest enclosing field in the
// document.
func (o *Object) Place(path string) Position {
	return nearestPosition(o.positions, path)
}

func nearestPosition(positions map[string]Position, path string) Position {
	for {
		if position, found := positions[path]; found {
			return position
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return positions[""]
		}
		path = path[:cut]
	}
}

// Title returns the kind and quoted name as used in messages, such as Model "nordlys".
func (o *Object) Title() string {
	return fmt.Sprintf("%s %q", o.Kind, o.Metadata.Name)
}

// kindOrder lists the kinds so that each follows those it refers to. Evacuation refers
// to none and is first: apply stops at the first failed write, and such a failure must
// not keep a zone in service that is to be evacuated.
var kindOrder = []Kind{
	KindEvacuation, KindRegion, KindTenant, KindModel, KindAdapter, KindDeployment, KindCapacity, KindService, KindPreferences, KindSelector,
}

// Kinds returns the declared kinds, each after those it refers to.
func Kinds() []Kind {
	return slices.Clone(kindOrder)
}

// newSpec returns a pointer to a zero spec of the kind, or nil if the kind is unknown.
func newSpec(kind Kind) any {
	switch kind {
	case KindModel:
		return &Model{}
	case KindAdapter:
		return &Adapter{}
	case KindDeployment:
		return &Deployment{}
	case KindSelector:
		return &Selector{}
	case KindService:
		return &Service{}
	case KindCapacity:
		return &Capacity{}
	case KindPreferences:
		return &Preferences{}
	case KindEvacuation:
		return &Evacuation{}
	case KindRegion:
		return &Region{}
	case KindTenant:
		return &Tenant{}
	default:
		return nil
	}
}

// Set holds all declarations that were read together.
type Set struct {
	objects []*Object
	// unreadable holds kind and name of documents that could not be parsed, so that
	// references to them are not reported as dangling as well.
	unreadable map[reference]bool
}

type reference struct {
	kind Kind
	name string
}

// Objects returns the declarations in an order in which none refers to a later one;
// within a kind they are sorted by name.
func (s Set) Objects() []Declared {
	declared := make([]Declared, 0, len(s.objects))
	for _, kind := range kindOrder {
		for _, object := range s.byKind(kind) {
			declared = append(declared, object.declared())
		}
	}
	return declared
}

func (o *Object) declared() Declared {
	encoded, err := json.Marshal(o.Spec)
	if err != nil {
		panic(fmt.Sprintf("spec: cannot encode %s: %v", o.Title(), err))
	}
	return Declared{Kind: o.Kind, Name: o.Metadata.Name, Labels: maps.Clone(o.Metadata.Labels), Spec: encoded}
}

func (s Set) byKind(kind Kind) []*Object {
	var found []*Object
	for _, object := range s.objects {
		if object.Kind == kind {
			found = append(found, object)
		}
	}
	slices.SortStableFunc(found, compareNames)
	return found
}

// Canonical returns the canonical JSON of a kind's spec.
func Canonical(kind Kind, raw json.RawMessage) (json.RawMessage, error) {
	target := newSpec(kind)
	if target == nil {
		return nil, ErrInvalid.New("unknown kind %q", kind)
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return nil, ErrInvalid.Wrap(err, "no spec of a %s", kind)
	}
	return json.Marshal(target)
}
