package spec

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/token"
)

// maxDepth bounds the nesting depth of a document.
const maxDepth = 32

// decoder decodes one document into typed structs and collects all findings.
type decoder struct {
	file      string
	line      int
	positions map[string]Position
	// invalid holds the paths whose values could not be read completely, unreadable
	// only those of which nothing could be read.
	invalid    map[string]bool
	unreadable map[string]bool
	findings   Findings
}

func newDecoder(file string, line int) *decoder {
	return &decoder{
		file: file, line: line,
		positions: make(map[string]Position), invalid: make(map[string]bool), unreadable: make(map[string]bool),
	}
}

// reportInvalid reports a value that could not be read.
func (d *decoder) reportInvalid(path string, position Position, problem, remedy string) {
	d.invalid[path] = true
	d.unreadable[path] = true
	d.report(position, problem, remedy)
}

func (d *decoder) position(found *token.Token) Position {
	position := Position{File: d.file, Line: d.line + 1, Column: 1}
	if found != nil && found.Position != nil {
		position.Line = d.line + found.Position.Line
		position.Column = found.Position.Column
	}
	return position
}

// start returns the position at which the node starts.
func (d *decoder) start(node ast.Node) Position {
	switch typed := node.(type) {
	case *ast.MappingNode:
		if !typed.IsFlowStyle && len(typed.Values) > 0 {
			return d.start(typed.Values[0].Key)
		}
		return d.position(typed.Start)
	case *ast.MappingValueNode:
		return d.start(typed.Key)
	case *ast.MappingKeyNode:
		return d.position(typed.Start)
	default:
		return d.position(node.GetToken())
	}
}

func (d *decoder) report(position Position, problem, remedy string) {
	d.findings = append(d.findings, Finding{Position: position, Problem: problem, Remedy: remedy})
}

// field is a key of a mapping with its value.
type field struct {
	name     string
	position Position
	value    ast.Node
}

// fields returns the mapping's keys in order, each once. It reports duplicate keys
// and returns false if the node is not a mapping.
func (d *decoder) fields(node ast.Node) ([]field, bool) {
	var entries []*ast.MappingValueNode
	switch typed := node.(type) {
	case *ast.MappingNode:
		entries = typed.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{typed}
	default:
		return nil, false
	}
	seen := make(map[string]Position)
	var fields []field
	for _, entry := range entries {
		position := d.start(entry.Key)
		name, plain := keyName(entry.Key)
		if !plain {
			d.report(position, "the key is no plain text", "write a plain field name; merge keys, anchors and aliases are not taken")
			continue
		}
		if first, found := seen[name]; found {
			d.report(position, fmt.Sprintf("field %q stands twice", name), fmt.Sprintf("keep one; the first is at line %d", first.Line))
			continue
		}
		seen[name] = position
		fields = append(fields, field{name: name, position: position, value: entry.Value})
	}
	return fields, true
}

func keyName(key ast.MapKeyNode) (string, bool) {
	switch typed := key.(type) {
	case *ast.StringNode:
		return typed.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode, *ast.NullNode:
		return typed.GetToken().Value, true
	default:
		return "", false
	}
}

// object decodes a document; it returns nil if the kind is unknown.
func (d *decoder) object(body ast.Node) *Object {
	start := d.start(body)
	d.positions[""] = start
	fields, ok := d.fields(body)
	if !ok {
		d.report(start, "the document is no mapping", "write kind:, metadata: and spec:")
		return nil
	}
	object := &Object{}
	var specNode, metadataNode ast.Node
	hasKind := false
	for _, field := range fields {
		switch field.name {
		case "kind":
			hasKind = true
			d.positions["kind"] = d.start(field.value)
			d.value(field.value, reflect.ValueOf(&object.Kind).Elem(), "kind", 1)
		case "metadata":
			metadataNode = field.value
			d.value(field.value, reflect.ValueOf(&object.Metadata).Elem(), "metadata", 1)
		case "spec":
			specNode = field.value
		default:
			d.report(field.position, fmt.Sprintf("unknown field %q", field.name), "a document has kind, metadata and spec")
		}
	}
	if metadataNode == nil {
		d.report(start, "metadata is missing", "give metadata: with a name:")
	}
	if !hasKind {
		d.report(start, "kind is missing", "give one of "+kindList())
		return nil
	}
	object.Spec = newSpec(object.Kind)
	if object.Spec == nil {
		if object.Kind != "" {
			d.report(d.positions["kind"], fmt.Sprintf("unknown kind %q", object.Kind), "give one of "+kindList())
		}
		return nil
	}
	if specNode == nil {
		d.report(start, "spec is missing", "give spec: with the fields of a "+string(object.Kind))
		return object
	}
	d.value(specNode, reflect.ValueOf(object.Spec).Elem(), "spec", 1)
	return object
}

var (
	bytesType      = reflect.TypeFor[Bytes]()
	durationType   = reflect.TypeFor[Duration]()
	goDurationType = reflect.TypeFor[time.Duration]()
)

// value decodes a node into the target and records its position.
func (d *decoder) value(node ast.Node, target reflect.Value, path string, depth int) {
	position := d.start(node)
	d.positions[path] = position
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode:
		d.reportInvalid(path, position, "anchors, aliases and tags are not taken", "write the value out")
		return
	}
	if depth > maxDepth {
		d.reportInvalid(path, position, "nested too deeply", fmt.Sprintf("nest at most %d levels", maxDepth))
		return
	}
	switch {
	case target.Type() == bytesType:
		d.bytes(node, target, path)
	case target.Type() == durationType, target.Type() == goDurationType:
		d.duration(node, target, path)
	default:
		d.byReflectKind(node, target, path, depth)
	}
}

func (d *decoder) byReflectKind(node ast.Node, target reflect.Value, path string, depth int) {
	switch target.Kind() {
	case reflect.Struct:
		d.structValue(node, target, path, depth)
	case reflect.Map:
		d.stringMap(node, target, path, depth)
	case reflect.Slice:
		d.sequence(node, target, path, depth)
	case reflect.String:
		d.text(node, target, path)
	case reflect.Int:
		d.integer(node, target, path)
	case reflect.Float64:
		d.float(node, target, path)
	default:
		panic("spec: no decoding for " + target.Type().String())
	}
}

func (d *decoder) structValue(node ast.Node, target reflect.Value, path string, depth int) {
	fields, ok := d.fields(node)
	if !ok {
		d.wrongType(node, path, "a mapping with "+strings.Join(fieldNames(target.Type()), ", "))
		return
	}
	for _, field := range fields {
		index, found := fieldIndex(target.Type(), field.name)
		if !found {
			names := fieldNames(target.Type())
			d.invalid[path] = true
			d.report(field.position, fmt.Sprintf("unknown field %q", field.name), remedyForName(field.name, names))
			continue
		}
		d.value(field.value, target.Field(index), joinPath(path, field.name), depth+1)
	}
}

// joinPath returns the path of a field of the value at path; the empty path is the
// whole document.
func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func fieldIndex(structure reflect.Type, name string) (int, bool) {
	for index := range structure.NumField() {
		if tagName(structure.Field(index)) == name {
			return index, true
		}
	}
	return 0, false
}

func fieldNames(structure reflect.Type) []string {
	names := make([]string, 0, structure.NumField())
	for index := range structure.NumField() {
		names = append(names, tagName(structure.Field(index)))
	}
	return names
}

func tagName(structField reflect.StructField) string {
	name, _, _ := strings.Cut(structField.Tag.Get("yaml"), ",")
	return name
}

func (d *decoder) stringMap(node ast.Node, target reflect.Value, path string, depth int) {
	fields, ok := d.fields(node)
	if !ok {
		d.wrongType(node, path, "a mapping of texts")
		return
	}
	values := reflect.MakeMap(target.Type())
	for _, field := range fields {
		value := reflect.New(target.Type().Elem()).Elem()
		d.value(field.value, value, joinPath(path, field.name), depth+1)
		values.SetMapIndex(reflect.ValueOf(field.name), value)
	}
	target.Set(values)
}

func (d *decoder) sequence(node ast.Node, target reflect.Value, path string, depth int) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		d.wrongType(node, path, "a list")
		return
	}
	values := reflect.MakeSlice(target.Type(), len(list.Values), len(list.Values))
	for index, entry := range list.Values {
		d.value(entry, values.Index(index), path+"["+strconv.Itoa(index)+"]", depth+1)
	}
	target.Set(values)
}
