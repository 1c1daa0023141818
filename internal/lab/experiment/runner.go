package experiment

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Parameters are the settings of one run.
type Parameters struct {
	Cell
	Seed uint64
	// Duration is how long the run lasts, on the runner's clock.
	Duration time.Duration
	// Options are further settings of the runner, the same for all runs.
	Options map[string]string
}

// Cell is one combination of the matrix.
type Cell struct {
	Policy  string `json:"policy"`
	Profile string `json:"profile"`
	// Load has a unit that the runner defines, such as requests a second.
	Load  float64 `json:"load"`
	Fault string  `json:"fault"`
}

// String describes the cell.
func (c Cell) String() string {
	return fmt.Sprintf("%s %s load %g %s", c.Policy, c.Profile, c.Load, c.Fault)
}

// Measurements are the results of one run.
type Measurements struct {
	Values []Value
	// Distributions are shown as curves; their quantiles count as values too.
	Distributions []Distribution
	Series        []Series
}

// Value is one measured value.
type Value struct {
	Metric string
	Unit   string
	Value  float64
}

// Distribution is a set of samples of one quantity.
type Distribution struct {
	Metric  string
	Unit    string
	Samples []float64
}

// Series is one quantity over time.
type Series struct {
	Metric string
	Unit   string
	Points []Point
}

// Point is a value of a series at a time.
type Point struct {
	Seconds float64
	Value   float64
}

// Runner executes one run. It must be safe for concurrent use, and equal
// parameters should give equal results.
type Runner interface {
	Run(ctx context.Context, parameters Parameters) (Measurements, error)
}

// RunnerFunc is a function that implements Runner.
type RunnerFunc func(ctx context.Context, parameters Parameters) (Measurements, error)

// Run implements Runner.
func (f RunnerFunc) Run(ctx context.Context, parameters Parameters) (Measurements, error) {
	return f(ctx, parameters)
}

// Registry maps the names used in files to runners.
type Registry map[string]Runner

// Find returns a runner, or an error that lists the known ones.
func (r Registry) Find(name string) (Runner, error) {
	runner, found := r[name]
	if !found {
		return nil, fmt.Errorf("runner %q is not known; there are %v", name, slices.Sorted(maps.Keys(r)))
	}
	return runner, nil
}
