package scale

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Options say what is measured.
type Options struct {
	Base      Setup
	Variables []Variable
	Timing    Timing
	// MaximumHeapBytes ends the run: more would take the machine from others.
	MaximumHeapBytes uint64
	// Progress is told of each fleet before it is started; it may be nil.
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

// Run measures every point of the variables. Points of one size share a fleet,
// and the same point is measured once. A fleet that cannot be measured is named
// in the result and its points have no figures.
func Run(ctx context.Context, options Options) Result {
	result := Result{Base: options.Base, Began: time.Now().UTC()}
	measured := options.measureAll(ctx, &result)
	for _, variable := range options.Variables {
		var values []float64
		var points []Measurement
		for _, value := range variable.Values {
			point, found := measured[variable.apply(options.Base, value)]
			if !found {
				continue
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

// sizes lists the sizes of the fleets, with the setups of each.
func (o Options) sizes() ([]Setup, map[Setup][]Setup) {
	var sizes []Setup
	bySize := make(map[Setup][]Setup)
	for _, variable := range o.Variables {
		for _, value := range variable.Values {
			setup := variable.apply(o.Base, value)
			size := setup.size()
			if !slices.Contains(sizes, size) {
				sizes = append(sizes, size)
			}
			if !slices.Contains(bySize[size], setup) {
				bySize[size] = append(bySize[size], setup)
			}
		}
	}
	return sizes, bySize
}

func (o Options) measureAll(ctx context.Context, result *Result) map[Setup]Measurement {
	sizes, bySize := o.sizes()
	measured := make(map[Setup]Measurement)
	for index, size := range sizes {
		if o.Progress != nil {
			o.Progress(index, len(sizes), fmt.Sprintf("%+v, %d points", size, len(bySize[size])))
		}
		points, err := o.measureSize(ctx, size, bySize[size])
		maps.Copy(measured, points)
		if err != nil {
			result.Errors = append(result.Errors, fmt.Sprintf("%+v: %v", size, err))
		}
	}
	return measured
}

func (o Options) measureSize(ctx context.Context, size Setup, loads []Setup) (map[Setup]Measurement, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if held := heapBytes(); held > o.MaximumHeapBytes {
		return nil, fmt.Errorf("%d MB are held, more than the bound", held>>20)
	}
	return measureFleet(ctx, size, loads, o.Timing)
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

// PointVariable is the name of the one point that ParsePoint gives.
const PointVariable = "point"

// ParsePoint reads values of variables, such as "zones=2,nodes=50", into one
// point at which all of them differ from the base.
func ParsePoint(text string) (Variable, error) {
	var changes []func(*Setup)
	for pair := range strings.SplitSeq(text, ",") {
		name, number, _ := strings.Cut(pair, "=")
		chosen, err := Chosen([]string{name})
		if err != nil {
			return Variable{}, err
		}
		value, err := strconv.ParseFloat(number, 64)
		if err != nil || value < 0 {
			return Variable{}, fmt.Errorf("%q is no value of %s", number, name)
		}
		changes = append(changes, func(setup *Setup) { chosen[0].set(setup, value) })
	}
	return Variable{Name: PointVariable, Unit: text, Values: []float64{1}, set: func(setup *Setup, _ float64) {
		for _, change := range changes {
			change(setup)
		}
	}}, nil
}
