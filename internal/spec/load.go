package spec

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// maxFileBytes bounds the size of a declaration file.
const maxFileBytes = 16 << 20

// Options hold facts about the fleet that declarations are checked against.
type Options struct {
	// ServerMemory is the accelerator memory available to models on the largest server;
	// 0 means unknown.
	ServerMemory Bytes
	// Zones lists the zones of the fleet; empty means unknown.
	Zones []string
}

// Load reads and checks files, and folders with their subfolders (*.yaml and *.yml).
// It returns the findings of all files together.
func Load(paths []string) (Set, Findings) {
	return Options{}.Load(paths)
}

// Load is like the function Load, but checks against the options.
func (o Options) Load(paths []string) (Set, Findings) {
	loader := loader{set: Set{unreadable: make(map[reference]bool)}}
	for _, path := range paths {
		loader.loadPath(path)
	}
	loader.findings = append(loader.findings, check(&loader.set, o)...)
	return loader.set, loader.findings.sorted()
}

// Parse reads and checks the content of one file.
func (o Options) Parse(file string, content []byte) (Set, Findings) {
	loader := loader{set: Set{unreadable: make(map[reference]bool)}}
	loader.loadContent(file, content)
	loader.findings = append(loader.findings, check(&loader.set, o)...)
	return loader.set, loader.findings.sorted()
}

type loader struct {
	set      Set
	findings Findings
}

func (l *loader) report(position Position, problem, remedy string) {
	l.findings = append(l.findings, Finding{Position: position, Problem: problem, Remedy: remedy})
}

func (l *loader) loadPath(path string) {
	var files []string
	err := filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if !entry.IsDir() && (file == path || isDeclarationFile(file)) {
			files = append(files, file)
		}
		return nil
	})
	if err != nil {
		l.report(Position{File: path, Line: 1, Column: 1}, fmt.Sprintf("cannot be read: %v", err), "name a readable file or folder")
		return
	}
	if len(files) == 0 {
		l.report(Position{File: path, Line: 1, Column: 1}, "the folder holds no declarations", "put *.yaml files into it")
	}
	for _, file := range files {
		l.loadFile(file)
	}
}

func isDeclarationFile(file string) bool {
	extension := filepath.Ext(file)
	return extension == ".yaml" || extension == ".yml"
}

func (l *loader) loadFile(file string) {
	content, findings := readFile(file)
	l.findings = append(l.findings, findings...)
	if len(findings) == 0 {
		l.loadContent(file, content)
	}
}

func readFile(file string) ([]byte, Findings) {
	finding := Finding{Position: Position{File: file, Line: 1, Column: 1}}
	info, err := os.Stat(file)
	if err == nil && info.Size() > maxFileBytes {
		finding.Problem = fmt.Sprintf("the file has %d bytes", info.Size())
		finding.Remedy = fmt.Sprintf("at most %d are read; split it", maxFileBytes)
		return nil, Findings{finding}
	}
	content, err := os.ReadFile(file)
	if err != nil {
		finding.Problem, finding.Remedy = fmt.Sprintf("cannot be read: %v", err), "name a readable file"
		return nil, Findings{finding}
	}
	return content, nil
}

// document is one YAML document of a file; line is the number of lines before it.
type document struct {
	text []byte
	line int
}

// splitDocuments splits a file at its "---" lines, so that a syntax error in one
// document does not hide findings in the others.
func splitDocuments(content []byte) []document {
	var documents []document
	current := document{}
	for number, line := range bytes.SplitAfter(content, []byte("\n")) {
		if isDocumentStart(line) {
			documents = append(documents, current)
			current = document{line: number + 1}
			continue
		}
		current.text = append(current.text, line...)
	}
	return append(documents, current)
}

func isDocumentStart(line []byte) bool {
	rest, found := bytes.CutPrefix(line, []byte("---"))
	rest = bytes.TrimSpace(rest)
	return found && (len(rest) == 0 || rest[0] == '#')
}

func (l *loader) loadContent(file string, content []byte) {
	for _, document := range splitDocuments(content) {
		l.loadDocument(file, document)
	}
}

func (l *loader) loadDocument(file string, document document) {
	if len(bytes.TrimSpace(document.text)) == 0 {
		return
	}
	parsed, err := parser.ParseBytes(document.text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		l.reportSyntax(file, document, err)
		return
	}
	for _, body := range parsed.Docs {
		if body.Body != nil && body.Body.Type() != ast.CommentType {
			l.decodeDocument(file, document.line, body.Body)
		}
	}
}

var (
	kindLine = regexp.MustCompile(`(?m)^kind:[ \t]*(\w+)`)
	nameLine = regexp.MustCompile(`\bname:[ \t]*([^\s#,}]+)`)
)

func (l *loader) reportSyntax(file string, document document, err error) {
	l.findings = append(l.findings, syntaxFinding(file, document.line, err))
	kind, name := kindLine.FindSubmatch(document.text), nameLine.FindSubmatch(document.text)
	if kind != nil && name != nil {
		l.set.unreadable[reference{Kind(kind[1]), string(name[1])}] = true
	}
}

// syntaxFinding returns the finding for a syntax error in a document that starts after the line.
func syntaxFinding(file string, line int, err error) Finding {
	position := Position{File: file, Line: line + 1, Column: 1}
	message := err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		if token := located.GetToken(); token != nil && token.Position != nil {
			position.Line = line + token.Position.Line
			position.Column = token.Position.Column
		}
	}
	message, _, _ = strings.Cut(message, "\n")
	return Finding{
		Position: position,
		Problem:  "not YAML: " + message,
		Remedy:   "mend the syntax; nothing else of this document was checked",
	}
}

func (l *loader) decodeDocument(file string, line int, body ast.Node) {
	decoder := newDecoder(file, line)
	object := decoder.object(body)
	l.findings = append(l.findings, decoder.findings...)
	if object == nil {
		return
	}
	object.positions = decoder.positions
	object.invalid = decoder.invalid
	l.set.objects = append(l.set.objects, object)
}

func kindList() string {
	names := make([]string, 0, len(kindOrder))
	for _, kind := range kindOrder {
		names = append(names, string(kind))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}
