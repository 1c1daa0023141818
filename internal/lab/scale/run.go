package scale

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"time"
)

// Options say what is measured.
type Options struct {
	Base      Setup
	Variables []Variable
	Timing    Timing
	// MaximumHeapBytes ends the run: more would take the machine from others.
	MaximumHeapBytes uint64
	// Progress is told of each point before it is measured; it may be nil.
	Progress func(done, total int, what string)
}

// Point is one measured value of a variable.
type Point struct {
	Variable    string      `json:"variable"`
	Value       float64     `json:"value"`
	Measurement Measurement `json:"measurement"`
}

// Result is what a run found.
type Result struct {
	Base   Setup     `json:"base"`
	Took   float64   `json:"tookSeconds"`
	Points []Point   `json:"points"`
	Fits   []Fit     `json:"fits"`
	Errors []string  `json:"errors,omitempty"`
	Began  time.Time `json:"began"`
}

// Run measures every point of the variables, one after the other. A point that
// cannot be measured is named in the result and has no figures.
func Run(ctx context.Context, options Options) Result {
	result := Result{Base: options.Base, Began: time.Now().UTC()}
	total := 0
	for _, variable := range options.Variables {
		total += len(variable.Values)
	}
	done := 0
	// Points of one setup are measured once.
	measured := make(map[Setup]Measurement)
	for _, variable := range options.Variables {
		var values []float64
		var points []Measurement
		for _, value := range variable.Values {
			if options.Progress != nil {
				options.Progress(done, total, fmt.Sprintf("%s %g", variable.Name, value))
			}
			done++
			setup := variable.apply(options.Base, value)
			point, found := measured[setup]
			if !found {
				var err error
				point, err = options.measure(ctx, setup)
				if err != nil {
					result.Errors = append(result.Errors, fmt.Sprintf("%s %g: %v", variable.Name, value, err))
					continue
				}
				measured[setup] = point
			}
			values = append(values, value)
			points = append(points, point)
			result.Points = append(result.Points, Point{variable.Name, value, point})
		}
		result.Fits = append(result.Fits, fitsOf(variable, values, points)...)
	}
	result.Took = time.Since(result.Began).Seconds()
	return result
}

func (o Options) measure(ctx context.Context, setup Setup) (Measurement, error) {
	if err := ctx.Err(); err != nil {
		return Measurement{}, err
	}
	if held := heapBytes(); held > o.MaximumHeapBytes {
		return Measurement{}, fmt.Errorf("%d MB are held, more than the bound", held>>20)
	}
	defer runtime.GC()
	return Measure(ctx, setup, o.Timing)
}

// Chosen are the variables with these names, all where there are none.
func Chosen(names []string) ([]Variable, error) {
	if len(names) == 0 {
		return Variables(), nil
	}
	var chosen []Variable
	for _, name := range names {
		all := Variables()
		index := slices.IndexFunc(all, func(variable Variable) bool { return variable.Name == name })
		if index < 0 {
			return nil, fmt.Errorf("no variable is called %q", name)
		}
		chosen = append(chosen, all[index])
	}
	return chosen, nil
}
