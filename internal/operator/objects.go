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

// OfKind returns the objects of a kind, sorted by key. The kind is matched
// case-insensitively; an empty kind matches all. Tombstones are omitted.
func OfKind(objects []objectstore.Object, kind string) []objectstore.Object {
	matching := []objectstore.Object{}
	for _, object := range objects {
		if !object.Deleted && (kind == "" || strings.EqualFold(kind, object.Kind)) {
			matching = append(matching, object)
		}
	}
	slices.SortFunc(matching, func(left, right objectstore.Object) int { return compareKeys(left.Key(), right.Key()) })
	return matching
}

// RenderObjects prints a list of objects as a table.
func RenderObjects(writer io.Writer, listed objectstore.ObjectList) {
	rows := table{shrinkFirst: []string{"LABELS", "SET", "BY"}}
	rows.add("KIND", "NAME", "VERSION", "BY", "SET", "LABELS")
	for _, object := range listed.Objects {
		rows.add(object.Kind, object.Name, fmt.Sprint(object.Version), object.ChangedBy, object.Labels[OwnerLabel], labelText(object.Labels))
	}
	rows.write(writer)
	fmt.Fprintf(writer, "%d objects, store version %d\n", len(listed.Objects), listed.Version)
}

// labelText formats labels as key=value pairs, without the owner label, which
// has a column of its own.
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

// RenderObject prints one object including its spec.
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
