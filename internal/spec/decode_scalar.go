package spec

import (
	"fmt"
	"reflect"
	"strconv"
	"time"

	"github.com/goccy/go-yaml/ast"
)

func (d *decoder) text(node ast.Node, target reflect.Value, path string) {
	switch typed := node.(type) {
	case *ast.StringNode:
		target.SetString(typed.Value)
	case *ast.LiteralNode:
		target.SetString(typed.Value.Value)
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		d.wrongType(node, path, fmt.Sprintf("text: %q with the quotes", node.GetToken().Value))
	default:
		d.wrongType(node, path, "text")
	}
}

func (d *decoder) integer(node ast.Node, target reflect.Value, path string) {
	typed, ok := node.(*ast.IntegerNode)
	if !ok {
		d.wrongType(node, path, "a whole number")
		return
	}
	value, err := strconv.ParseInt(fmt.Sprint(typed.Value), 10, 32)
	if err != nil {
		d.reportInvalid(path, d.start(node), fmt.Sprintf("%s is %v, out of range", path, typed.Value), "give a number between -2147483648 and 2147483647")
		return
	}
	target.SetInt(value)
}

func (d *decoder) float(node ast.Node, target reflect.Value, path string) {
	switch typed := node.(type) {
	case *ast.FloatNode:
		target.SetFloat(typed.Value)
	case *ast.IntegerNode:
		value, err := strconv.ParseFloat(fmt.Sprint(typed.Value), 64)
		if err == nil {
			target.SetFloat(value)
		}
	default:
		d.wrongType(node, path, "a number")
	}
}

func (d *decoder) bytes(node ast.Node, target reflect.Value, path string) {
	const wanted = "a size such as 14GiB, 300MiB or a number of bytes"
	switch node.(type) {
	case *ast.StringNode, *ast.IntegerNode:
		size, err := ParseBytes(node.GetToken().Value)
		if err != nil {
			d.reportInvalid(path, d.start(node), fmt.Sprintf("%s: %v", path, err), "give "+wanted)
			return
		}
		target.SetInt(int64(size))
	default:
		d.wrongType(node, path, wanted)
	}
}

func (d *decoder) duration(node ast.Node, target reflect.Value, path string) {
	const wanted = "a time span such as 30s or 1m30s"
	typed, ok := node.(*ast.StringNode)
	if !ok {
		d.wrongType(node, path, wanted)
		return
	}
	span, err := time.ParseDuration(typed.Value)
	if err != nil {
		d.reportInvalid(path, d.start(node), fmt.Sprintf("%s: %q is no time span", path, typed.Value), "give "+wanted)
		return
	}
	target.SetInt(int64(span))
}

func (d *decoder) wrongType(node ast.Node, path, wanted string) {
	what := path
	if what == "" {
		what = "the document"
	}
	d.reportInvalid(path, d.start(node), fmt.Sprintf("%s is %s", what, nodeTypeName(node)), "give "+wanted)
}

func nodeTypeName(node ast.Node) string {
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "text"
	case *ast.IntegerNode:
		return "a whole number"
	case *ast.FloatNode, *ast.InfinityNode, *ast.NanNode:
		return "a number with a fraction"
	case *ast.BoolNode:
		return "true or false"
	case *ast.NullNode:
		return "empty"
	default:
		return "of a kind that is not taken"
	}
}
