package spec

import (
	"reflect"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Places says where the fields of a decoded document stand, by paths such as
// listen.caller or seeds[0].
type Places struct {
	positions map[string]Position
	unread    map[string]bool
}

// Of returns the place of the field, or of the nearest enclosing field that is
// written down.
func (p Places) Of(path string) Position {
	return nearestPlace(p.positions, path)
}

// Unread reports whether the field, or one around it, stands in the document
// but could not be read; a finding says so already.
func (p Places) Unread(path string) bool {
	for {
		if p.unread[path] {
			return true
		}
		cut := strings.LastIndexAny(path, ".[")
		if cut < 0 {
			return p.unread[wholeDocument]
		}
		path = path[:cut]
	}
}

// Move says that the field was given elsewhere, such as by a flag, which
// stands in place of what the file says.
func (p *Places) Move(path string, place Position) {
	if p.positions == nil {
		*p = Places{positions: make(map[string]Position), unread: make(map[string]bool)}
	}
	p.positions[path] = place
	delete(p.unread, path)
}

// wholeDocument is the path of the document itself.
const wholeDocument = ""

// DecodeFile fills the struct that target points to from a file that holds one
// YAML document.
func DecodeFile(file string, target any) (Places, Findings) {
	content, findings := readFile(file)
	if len(findings) > 0 {
		return unreadPlaces(file), findings
	}
	return DecodeDocument(file, content, target)
}

func unreadPlaces(file string) Places {
	return Places{
		positions: map[string]Position{wholeDocument: {File: file, Line: 1, Column: 1}},
		unread:    map[string]bool{wholeDocument: true},
	}
}

// DecodeDocument is DecodeFile for content that is at hand.
func DecodeDocument(file string, content []byte, target any) (Places, Findings) {
	parsed, err := parser.ParseBytes(content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return unreadPlaces(file), Findings{syntaxFinding(file, 0, err)}
	}
	decoder := newDecoder(file, 0)
	decoder.places[wholeDocument] = Position{File: file, Line: 1, Column: 1}
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
	return Places{positions: decoder.places, unread: decoder.unread}, decoder.findings
}
