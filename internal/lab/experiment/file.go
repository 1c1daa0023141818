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

// File is the definition of an experiment.
type File struct {
	Name   string `yaml:"name"`
	Runner string `yaml:"runner"`
	// Duration of each run in Go's notation; without it the runner's default
	// applies.
	Duration time.Duration `yaml:"duration,omitempty"`
	Matrix   Matrix        `yaml:"matrix"`
	Seeds    []uint64      `yaml:"seeds"`
	// Options are passed to each run unchanged.
	Options map[string]string `yaml:"options,omitempty"`
	// Table lists the metrics that are columns of the summary.
	Table []string `yaml:"table,omitempty"`
	// Plots plot one metric against another.
	Plots []Plot `yaml:"plots,omitempty"`
}

// Plot is a plot with one point for each policy and named lines that join them.
type Plot struct {
	Title string `yaml:"title"`
	// X and Y are the metrics on the axes.
	X string `yaml:"x"`
	Y string `yaml:"y"`
	// Lines has, by name of the line, the policies in the order in which they are
	// joined.
	Lines map[string][]string `yaml:"lines"`
}

// Matrix has the values of each dimension. A dimension without values has one
// default value: load 1, fault "none", otherwise the empty string.
type Matrix struct {
	Policy  []string  `yaml:"policy,omitempty"`
	Profile []string  `yaml:"profile,omitempty"`
	Load    []float64 `yaml:"load,omitempty"`
	Fault   []string  `yaml:"fault,omitempty"`
}

// ReadFile reads and validates an experiment; the error lists all problems.
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
	if err := file.validate(); err != nil {
		return File{}, fmt.Errorf("%s: %w", path, err)
	}
	return file, nil
}

func (f File) validate() error {
	var problems []error
	if f.Name == "" {
		problems = append(problems, errors.New("name: is missing"))
	}
	if f.Runner == "" {
		problems = append(problems, errors.New("runner: is missing"))
	}
	if len(f.Seeds) == 0 {
		problems = append(problems, errors.New("seeds: name at least one"))
	}
	if hasDuplicates(f.Seeds) || hasDuplicates(f.Matrix.Policy) || hasDuplicates(f.Matrix.Profile) ||
		hasDuplicates(f.Matrix.Load) || hasDuplicates(f.Matrix.Fault) {
		problems = append(problems, errors.New("matrix, seeds: no value may stand twice"))
	}
	return errors.Join(problems...)
}

func hasDuplicates[T cmp.Ordered](values []T) bool {
	sorted := slices.Sorted(slices.Values(values))
	return len(slices.Compact(sorted)) != len(values)
}

// Cells returns every combination; the policy changes fastest, then the fault,
// the load and the profile.
func (m Matrix) Cells() []Cell {
	var cells []Cell
	for _, profile := range valuesOrDefault(m.Profile, "") {
		for _, load := range valuesOrDefault(m.Load, 1) {
			for _, fault := range valuesOrDefault(m.Fault, "none") {
				for _, policy := range valuesOrDefault(m.Policy, "") {
					cells = append(cells, Cell{Policy: policy, Profile: profile, Load: load, Fault: fault})
				}
			}
		}
	}
	return cells
}

func valuesOrDefault[T any](values []T, defaultValue T) []T {
	if len(values) == 0 {
		return []T{defaultValue}
	}
	return values
}
