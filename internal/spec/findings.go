package spec

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Position is a place in a file; lines and columns count from 1. What was not
// given in a file, such as a flag, has neither.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String returns the form file:line:column, or the file's part alone where
// there is no line.
func (p Position) String() string {
	if p.Line == 0 {
		return p.File
	}
	return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Column)
}

func comparePositions(left, right Position) int {
	return cmp.Or(
		strings.Compare(left.File, right.File),
		cmp.Compare(left.Line, right.Line),
		cmp.Compare(left.Column, right.Column),
	)
}

// Finding is one mistake in the declarations.
type Finding struct {
	Position
	// Problem says what is wrong.
	Problem string `json:"problem"`
	// Remedy says what would be right.
	Remedy string `json:"remedy"`
}

// String returns file:line:column, the problem and the remedy on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Position, f.Problem, f.Remedy)
}

// Findings are all mistakes of one pass, sorted by place.
type Findings []Finding

// String returns one line for each finding.
func (f Findings) String() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

var (
	errorNamespace = errorx.NewNamespace("spec")
	// ErrInvalid is the type of the error that carries findings.
	ErrInvalid = errorNamespace.NewType("invalid")
)

// Err returns nil without findings, else an error of type ErrInvalid whose
// message has one line for each finding.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return ErrInvalid.New("%d findings\n%s", len(f), f)
}

// Sorted returns the findings by their places, each once.
func (f Findings) Sorted() Findings {
	return slices.Clone(f).sorted()
}

func (f Findings) sorted() Findings {
	slices.SortStableFunc(f, func(left, right Finding) int {
		return cmp.Or(
			comparePositions(left.Position, right.Position),
			strings.Compare(left.Problem, right.Problem),
		)
	})
	return slices.Compact(f)
}
