package policy

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

// Name is the runner's name in experiment files.
const Name = "keepalive"

// optionLearn names the option for the warm-up period, in which policies learn
// before measuring begins.
const optionLearn = "learn"

const (
	defaultLearn    = 24 * time.Hour
	defaultDuration = 24 * time.Hour
)

// Run implements experiment.Runner.
func Run(ctx context.Context, parameters experiment.Parameters) (experiment.Measurements, error) {
	shape, err := FindShape(parameters.Profile)
	if err != nil {
		return experiment.Measurements{}, err
	}
	policy, err := parseSetup(parameters.Policy, shape)
	if err != nil {
		return experiment.Measurements{}, err
	}
	learn := defaultLearn
	if text, found := parameters.Options[optionLearn]; found {
		if learn, err = time.ParseDuration(text); err != nil {
			return experiment.Measurements{}, fmt.Errorf("option %s: %w", optionLearn, err)
		}
	}
	trace := NewTrace(shape, parameters.Seed, learn, cmp.Or(parameters.Duration, defaultDuration))
	w := newSimulation(trace, policy)
	if err := w.run(ctx); err != nil {
		return experiment.Measurements{}, err
	}
	return w.statistics.measurements(), nil
}

func (f *statistics) measurements() experiment.Measurements {
	value := func(metric, unit string, value float64) experiment.Value {
		return experiment.Value{Metric: metric, Unit: unit, Value: value}
	}
	loads := f.loads[fleet.TierMemory] + f.loads[fleet.TierDisk] + f.loads[fleet.TierRemote]
	var idle []experiment.Point
	for hour, memory := range f.idleByHour {
		idle = append(idle, experiment.Point{Seconds: float64(hour) * time.Hour.Seconds(), Value: memory})
	}
	return experiment.Measurements{
		Values: []experiment.Value{
			value("idle memory", "GiB h", f.idleGiB),
			value("idle replicas", "h", f.idle),
			value("busy memory", "GiB h", f.busyGiB),
			value("loading memory", "GiB h", f.loadingGiB),
			value("requests", "requests", float64(len(f.waits))),
			value("first requests", "requests", float64(len(f.firstWaits))),
			value("cold", "% of requests", 100*float64(f.cold)/max(1, float64(len(f.waits)))),
			value("deadlines met", "% of requests", 100*float64(f.deadlinesMet)/max(1, float64(len(f.waits)))),
			value("loads", "loads", float64(loads)),
			value("remote loads", "loads", float64(f.loads[fleet.TierRemote])),
			value("unloads", "unloads", float64(f.unloads)),
			value("evictions", "evictions", float64(f.evictions)),
			value("refusals", "requests", float64(f.refusals)),
			value("unserved", "requests", float64(f.unserved)),
		},
		Distributions: []experiment.Distribution{
			{Metric: "first wait", Unit: "s", Samples: f.firstWaits},
			{Metric: "wait", Unit: "s", Samples: f.waits},
		},
		Series: []experiment.Series{{Metric: "idle memory by hour", Unit: "GiB h", Points: idle}},
	}
}
