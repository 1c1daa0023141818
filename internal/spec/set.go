package spec

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Declared is one object as the store takes it.
type Declared struct {
	Kind   Kind              `json:"kind"`
	Name   string            `json:"name"`
	Labels map[string]string `json:"labels,omitempty"`
	// Spec is canonical: the same declaration gives the same bytes.
	Spec json.RawMessage `json:"spec"`
}

// Object is one declaration with its place.
type Object struct {
	Kind     Kind
	Metadata Metadata
	// Spec points to the struct of the kind, such as *Model.
	Spec any
	// places holds where each field's value stands, by a path such as
	// spec.versions[0].memory; the empty path is the document itself.
	places map[string]Position
	// faulty holds the paths at which reading already found a mistake.
	faulty map[string]bool
}

// Place returns where the field of the path stands, or the nearest enclosing
// field that is written down.
func (o *Object) Place(path string) Position {
	return nearestPlace(o.places, path)
}

func nearestPlace(places map[string]Position, path string) Position {
	for {
		if position, found := places[path]; found {
			return position
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return places[""]
		}
		path = path[:cut]
	}
}

// Title names the object as messages do, such as Model "nordlys".
func (o *Object) Title() string {
	return fmt.Sprintf("%s %q", o.Kind, o.Metadata.Name)
}

// kindOrder lists the kinds so that each comes after those it refers to. An
// evacuation refers to none and goes first: apply stops at the first write that
// does not succeed, and a zone must not stay in service for that.
var kindOrder = []Kind{
	KindEvacuation, KindRegion, KindTenant, KindModel, KindAdapter, KindDeployment, KindCapacity, KindService, KindPreferences, KindSelector,
}

// Kinds returns the declared kinds, each after those that it refers to.
func Kinds() []Kind {
	return slices.Clone(kindOrder)
}

// newSpec returns a pointer to a zero spec of the kind, or nil.
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

// Set is all declarations of one pass.
type Set struct {
	objects []*Object
	// unread holds kind and name of documents that could not be parsed, so
	// that references to them are not reported as dangling too.
	unread map[reference]bool
}

type reference struct {
	kind Kind
	name string
}

// Objects returns the declarations in an order in which none refers to a
// later one; within a kind they are sorted by name.
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
		panic(fmt.Sprintf("spec: %s does not encode: %v", o.Title(), err))
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

// Canonical returns the JSON of a kind's spec in its one form.
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
