package spec

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/joomcode/errorx"
)

// Position is a place in a file; lines and columns start at 1. Values that were not
// given in a file, such as flags, have line and column 0.
type Position struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// String returns file:line:column, or only the file if there is no line.
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

// Finding is an error in the declarations.
type Finding struct {
	Position
	// Problem describes the error.
	Problem string `json:"problem"`
	// Remedy describes how to correct it.
	Remedy string `json:"remedy"`
}

// String returns file:line:column, the problem and the remedy on one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Position, f.Problem, f.Remedy)
}

// Findings is a list of findings.
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
	// ErrInvalid is the type of errors that contain findings.
	ErrInvalid = errorNamespace.NewType("invalid")
)

// Err returns nil if there are no findings, otherwise an error of type ErrInvalid whose
// message has one line for each finding.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return ErrInvalid.New("%d findings\n%s", len(f), f)
}

// Sorted returns the findings sorted by position, without duplicates.
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
