package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// OfKind returns the objects of the kind, whatever the case of its letters;
// all for an empty kind. Tombstones are left out.
func OfKind(objects []objectstore.Object, kind string) []objectstore.Object {
	chosen := []objectstore.Object{}
	for _, object := range objects {
		if !object.Deleted && (kind == "" || strings.EqualFold(kind, object.Kind)) {
			chosen = append(chosen, object)
		}
	}
	slices.SortFunc(chosen, func(left, right objectstore.Object) int { return compareKeys(left.Key(), right.Key()) })
	return chosen
}

// RenderObjects prints a list of objects for people.
func RenderObjects(writer io.Writer, listed objectstore.ObjectList) {
	rows := table{yields: []string{"LABELS", "SET", "BY"}}
	rows.add("KIND", "NAME", "VERSION", "BY", "SET", "LABELS")
	for _, object := range listed.Objects {
		rows.add(object.Kind, object.Name, fmt.Sprint(object.Version), object.ChangedBy, object.Labels[OwnerLabel], labelText(object.Labels))
	}
	rows.write(writer)
	fmt.Fprintf(writer, "%d objects, store version %d\n", len(listed.Objects), listed.Version)
}

// labelText leaves out the owner, which is shown apart.
func labelText(labels map[string]string) string {
	pairs := make([]string, 0, len(labels))
	for _, key := range slices.Sorted(maps.Keys(labels)) {
		if key == OwnerLabel {
			continue
		}
		pairs = append(pairs, key+"="+labels[key])
	}
	return strings.Join(pairs, ",")
}

// RenderObject prints one object with its spec.
func RenderObject(writer io.Writer, object objectstore.Object) {
	fmt.Fprintf(writer, "%s %s\nversion: %d, by %s, change %s\nset: %s\nlabels: %s\n", object.Kind, object.Name,
		object.Version, orUnnamed(object.ChangedBy), orUnnamed(object.ChangeID), object.Labels[OwnerLabel], labelText(object.Labels))
	var indented bytes.Buffer
	if err := json.Indent(&indented, object.Spec, "", "  "); err != nil {
		indented.Reset()
		indented.Write(object.Spec)
	}
	fmt.Fprintf(writer, "spec: %s\n", indented.String())
}
