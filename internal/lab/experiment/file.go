package experiment

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/goccy/go-yaml"
)

// File is a declared experiment.
type File struct {
	Name   string `yaml:"name"`
	Runner string `yaml:"runner"`
	// Duration of each run in Go's form; the runner has a default.
	Duration time.Duration `yaml:"duration,omitempty"`
	Matrix   Matrix        `yaml:"matrix"`
	Seeds    []uint64      `yaml:"seeds"`
	// Options go to each run as they are.
	Options map[string]string `yaml:"options,omitempty"`
	// Table names the metrics of the summary, a column each.
	Table []string `yaml:"table,omitempty"`
	// Plots set one metric against another.
	Plots []Plot `yaml:"plots,omitempty"`
}

// Plot has one point for each policy, on lines with names.
type Plot struct {
	Title string `yaml:"title"`
	// X and Y are metrics.
	X string `yaml:"x"`
	Y string `yaml:"y"`
	// Lines are policies in the order in which they are joined.
	Lines map[string][]string `yaml:"lines"`
}

// Matrix has the values of each dimension; one without values has the one
// empty value, or load 1.
type Matrix struct {
	Policy  []string  `yaml:"policy,omitempty"`
	Profile []string  `yaml:"profile,omitempty"`
	Load    []float64 `yaml:"load,omitempty"`
	Fault   []string  `yaml:"fault,omitempty"`
}

// ReadFile reads an experiment; the error has all that is wrong with it.
func ReadFile(path string) (File, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("read the experiment: %w", err)
	}
	var file File
	decoder := yaml.NewDecoder(bytes.NewReader(content), yaml.DisallowUnknownField())
	if err := decoder.Decode(&file); err != nil && !errors.Is(err, io.EOF) {
		return File{}, fmt.Errorf("%s: %s", path, yaml.FormatError(err, false, true))
	}
	if err := file.check(); err != nil {
		return File{}, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

func (f File) check() error {
	var findings []error
	if f.Name == "" {
		findings = append(findings, errors.New("name: is missing"))
	}
	if f.Runner == "" {
		findings = append(findings, errors.New("runner: is missing"))
	}
	if len(f.Seeds) == 0 {
		findings = append(findings, errors.New("seeds: name at least one"))
	}
	if duplicate(f.Seeds) || duplicate(f.Matrix.Policy) || duplicate(f.Matrix.Profile) ||
		duplicate(f.Matrix.Load) || duplicate(f.Matrix.Fault) {
		findings = append(findings, errors.New("matrix, seeds: no value may stand twice"))
	}
	return errors.Join(findings...)
}

func duplicate[T cmp.Ordered](values []T) bool {
	sorted := slices.Sorted(slices.Values(values))
	return len(slices.Compact(sorted)) != len(values)
}

// Cells lists every combination, the last dimension changing first.
func (m Matrix) Cells() []Cell {
	var cells []Cell
	for _, profile := range orOne(m.Profile, "") {
		for _, load := range orOne(m.Load, 1) {
			for _, fault := range orOne(m.Fault, "none") {
				for _, policy := range orOne(m.Policy, "") {
					cells = append(cells, Cell{Policy: policy, Profile: profile, Load: load, Fault: fault})
				}
			}
		}
	}
	return cells
}

func orOne[T any](values []T, single T) []T {
	if len(values) == 0 {
		return []T{single}
	}
	return values
}
