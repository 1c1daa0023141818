package spec

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Places holds the positions of the fields of a decoded document, by paths such as
// listen.caller or seeds[0].
type Places struct {
	positions  map[string]Position
	unreadable map[string]bool
}

// Of returns the position of the field, or of the nearest enclosing field in the
// document.
func (p Places) Of(path string) Position {
	return nearestPosition(p.positions, path)
}

// Unread reports whether the field or an enclosing one is in the document but could
// not be read, which a finding reports already.
func (p Places) Unread(path string) bool {
	for {
		if p.unreadable[path] {
			return true
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return p.unreadable[wholeDocument]
		}
		path = path[:cut]
	}
}

// Move records that the field was set elsewhere, such as by a flag, which overrides
// the value in the file.
func (p *Places) Move(path string, position Position) {
	if p.positions == nil {
		*p = Places{positions: make(map[string]Position), unreadable: make(map[string]bool)}
	}
	p.positions[path] = position
	delete(p.unreadable, path)
}

// wholeDocument is the path of the document itself.
const wholeDocument = ""

// DecodeFile decodes a file with a single YAML document into the struct that target
// points to.
func DecodeFile(file string, target any) (Places, Findings) {
	content, findings := readFile(file)
	if len(findings) > 0 {
		return unreadablePlaces(file), findings
	}
	return DecodeDocument(file, content, target)
}

func unreadablePlaces(file string) Places {
	return Places{
		positions:  map[string]Position{wholeDocument: {File: file, Line: 1, Column: 1}},
		unreadable: map[string]bool{wholeDocument: true},
	}
}

// DecodeDocument is like DecodeFile, but takes the file's content.
func DecodeDocument(file string, content []byte, target any) (Places, Findings) {
	parsed, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return unreadablePlaces(file), Findings{syntaxFinding(file, 0, err)}
	}
	decoder := newDecoder(file, 0)
	decoder.positions[wholeDocument] = Position{File: file, Line: 1, Column: 1}
	decoded := false
	for _, document := range parsed.Docs {
		switch body := document.Body; {
		case body == nil || body.Type() == ast.CommentType:
		case decoded:
			decoder.report(decoder.start(body), "a second document stands here", "keep one document in this file")
		default:
			decoded = true
			decoder.value(body, reflect.ValueOf(target).Elem(), wholeDocument, 1)
		}
	}
	return Places{positions: decoder.positions, unreadable: decoder.unreadable}, decoder.findings
}
