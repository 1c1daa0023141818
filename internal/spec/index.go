package spec

import (
	"fmt"
	"slices"
	"strings"
)

// labelPair is a label's key and value.
type labelPair struct {
	key   string
	value string
}

// index finds objects by kind, name and label; a large fleet declares many thousands.
type index struct {
	byKind  map[Kind][]*Object
	byName  map[reference]*Object
	byLabel map[labelPair][]*Object
}

// newIndex sorts the objects of each kind by name. Of objects with the same name, find
// returns the one that was read first.
func newIndex(objects []*Object) index {
	index := index{
		byKind:  make(map[Kind][]*Object),
		byName:  make(map[reference]*Object),
		byLabel: make(map[labelPair][]*Object),
	}
	for _, object := range objects {
		key := reference{object.Kind, object.Metadata.Name}
		if _, found := index.byName[key]; !found {
			index.byName[key] = object
		}
		index.byKind[object.Kind] = append(index.byKind[object.Kind], object)
	}
	for _, sorted := range index.byKind {
		slices.SortStableFunc(sorted, compareNames)
	}
	for _, deployment := range index.byKind[KindDeployment] {
		for key, value := range deployment.Metadata.Labels {
			pair := labelPair{key, value}
			index.byLabel[pair] = append(index.byLabel[pair], deployment)
		}
	}
	return index
}

func compareNames(left, right *Object) int {
	return strings.Compare(left.Metadata.Name, right.Metadata.Name)
}

func (i index) ofKind(kind Kind) []*Object {
	return i.byKind[kind]
}

func (i index) find(kind Kind, name string) *Object {
	return i.byName[reference{kind, name}]
}

// candidates returns a superset of the deployments that the selector matches: those
// with one of the labels it requires, or all.
func (i index) candidates(selector LabelSelector) []*Object {
	best := i.byKind[KindDeployment]
	for key, value := range selector.MatchLabels {
		if labelled := i.byLabel[labelPair{key, value}]; len(labelled) < len(best) {
			best = labelled
		}
	}
	return best
}

// names lists the names of a kind for use in remedies.
func (i index) names(kind Kind) string {
	var names []string
	for _, object := range i.byKind[kind] {
		if object.Metadata.Name != "" {
			names = append(names, object.Metadata.Name)
		}
	}
	names = slices.Compact(names)
	if len(names) == 0 {
		return "none"
	}
	const shown = 8
	if len(names) > shown {
		return fmt.Sprintf("%s and %d more", strings.Join(names[:shown], ", "), len(names)-shown)
	}
	return strings.Join(names, ", ")
}
