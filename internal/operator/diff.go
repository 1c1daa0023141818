package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// FieldChange is one field that differs. An empty Before or After means that
// the field is absent on that side.
type FieldChange struct {
	Path   string `json:"path"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Difference describes one object that apply would change.
type Difference struct {
	Action Action `json:"action"`
	Kind   string `json:"kind"`
	Name   string `json:"name"`
	// Version and ChangedBy are those of the object in the store.
	Version   uint64        `json:"version,omitempty"`
	ChangedBy string        `json:"changedBy,omitempty"`
	Fields    []FieldChange `json:"fields,omitempty"`
}

// Differences lists the objects that applying the plan would change.
func Differences(plan Plan) []Difference {
	differences := []Difference{}
	for _, change := range plan.Pending() {
		differences = append(differences, Difference{
			Action: change.Action, Kind: change.After.Kind, Name: change.After.Name,
			Version: change.Before.Version, ChangedBy: change.Before.ChangedBy,
			Fields: fieldChanges(change),
		})
	}
	return differences
}

func fieldChanges(change Change) []FieldChange {
	before, after := flatten(change.Before), flatten(change.After)
	paths := make(map[string]bool)
	for path := range before {
		paths[path] = true
	}
	for path := range after {
		paths[path] = true
	}
	var changes []FieldChange
	for _, path := range slices.Sorted(maps.Keys(paths)) {
		if before[path] != after[path] {
			changes = append(changes, FieldChange{Path: path, Before: before[path], After: after[path]})
		}
	}
	return changes
}

// flatten maps the path of each leaf value in the labels and spec of an object
// to its JSON encoding; labels are kept as they are. A spec without a canonical
// form is one leaf.
func flatten(object objectstore.Object) map[string]string {
	leaves := make(map[string]string)
	for key, value := range object.Labels {
		leaves["labels."+key] = value
	}
	canonical, err := spec.Canonical(spec.Kind(object.Kind), object.Spec)
	if err != nil {
		if len(object.Spec) > 0 {
			leaves["spec"] = string(object.Spec)
		}
		return leaves
	}
	var content any
	if json.Unmarshal(canonical, &content) == nil {
		flattenInto(leaves, "spec", content)
	}
	return leaves
}

func flattenInto(leaves map[string]string, path string, content any) {
	switch typed := content.(type) {
	case map[string]any:
		for key, value := range typed {
			flattenInto(leaves, path+"."+key, value)
		}
	case []any:
		for index, value := range typed {
			flattenInto(leaves, fmt.Sprintf("%s[%d]", path, index), value)
		}
	default:
		encoded, _ := json.Marshal(typed)
		leaves[path] = string(encoded)
	}
}

// RenderDifferences prints differences as text.
func RenderDifferences(writer io.Writer, differences []Difference) {
	marks := map[Action]string{ActionCreate: "+", ActionUpdate: "~", ActionDelete: "-"}
	for _, difference := range differences {
		fmt.Fprintf(writer, "%s %s %s", marks[difference.Action], difference.Kind, difference.Name)
		if difference.Version > 0 {
			fmt.Fprintf(writer, "  (version %d by %s)", difference.Version, orUnnamed(difference.ChangedBy))
		}
		fmt.Fprintln(writer)
		for _, field := range difference.Fields {
			renderField(writer, field)
		}
	}
	fmt.Fprintf(writer, "%d objects differ\n", len(differences))
}

func renderField(writer io.Writer, field FieldChange) {
	switch {
	case field.Before == "":
		fmt.Fprintf(writer, "    + %s: %s\n", field.Path, field.After)
	case field.After == "":
		fmt.Fprintf(writer, "    - %s: %s\n", field.Path, field.Before)
	default:
		fmt.Fprintf(writer, "    ~ %s: %s -> %s\n", field.Path, field.Before, field.After)
	}
}
