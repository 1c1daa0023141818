package spec

import (
	"fmt"
	"slices"
	"strings"
)

// labelPair is one label with its value.
type labelPair struct {
	key   string
	value string
}

// index finds objects; a large fleet declares many thousands.
type index struct {
	byKind   map[Kind][]*Object
	byName   map[reference]*Object
	labelled map[labelPair][]*Object
}

// newIndex sorts each kind by name. Of objects with one name the first that
// was read is found.
func newIndex(objects []*Object) index {
	index := index{
		byKind:   make(map[Kind][]*Object),
		byName:   make(map[reference]*Object),
		labelled: make(map[labelPair][]*Object),
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
			index.labelled[pair] = append(index.labelled[pair], deployment)
		}
	}
	return index
}

func compareNames(left, right *Object) int {
	return strings.Compare(left.Metadata.Name, right.Metadata.Name)
}

func (i index) kinds(kind Kind) []*Object {
	return i.byKind[kind]
}

func (i index) find(kind Kind, name string) *Object {
	return i.byName[reference{kind, name}]
}

// candidates returns deployments among which are all that the selector can
// choose: those with one of the labels it asks for, or all.
func (i index) candidates(selector LabelSelector) []*Object {
	best := i.byKind[KindDeployment]
	for key, value := range selector.MatchLabels {
		if labelled := i.labelled[labelPair{key, value}]; len(labelled) < len(best) {
			best = labelled
		}
	}
	return best
}

// names lists the names of a kind, for remedies.
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
