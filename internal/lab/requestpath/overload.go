package requestpath

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

// Overload is the name of the runner that compares queue and routing with FIFO
// queues at the engines, at a given share of the capacity.
const Overload = "overload"

// The policies of Overload.
const (
	policyProduct = "spanlanding"
	policyPlain   = "fifo-round-robin"
	// policyCallersLeave is policyPlain with callers that cancel at their deadline.
	policyCallersLeave = "fifo-callers-leave"
)

const (
	overloadDuration = time.Minute
	// Requests that arrive during warmUp are not counted.
	warmUp = 10 * time.Second
)

// RunOverload implements experiment.Runner; load is the share of the capacity.
func RunOverload(ctx context.Context, parameters experiment.Parameters) (experiment.Measurements, error) {
	settings := topology{zones: []fleet.Zone{"a", "b"}, enginesPerZone: 2, nodeZones: 2, nodesPerZone: 1, retryBudget: true}
	switch parameters.Policy {
	case policyProduct:
	case policyPlain, policyCallersLeave:
		settings.baseline = true
		settings.callersCancel = parameters.Policy == policyCallersLeave
	default:
		return experiment.Measurements{}, fmt.Errorf("policy %q is none of %s, %s, %s",
			parameters.Policy, policyProduct, policyPlain, policyCallersLeave)
	}
	simulation := newSimulation(settings, parameters.Seed)
	duration := cmp.Or(parameters.Duration, overloadDuration)
	rate := parameters.Load * capacity() * float64(len(simulation.servers))
	if err := simulation.generateArrivals(ctx, duration, rate); err != nil {
		return experiment.Measurements{}, err
	}
	counted := slices.DeleteFunc(slices.Clone(simulation.calls), func(c *call) bool {
		return c.arrived.Before(simulation.started.Add(warmUp))
	})
	return overloadMeasurements(counted, (duration - warmUp).Seconds()), nil
}

func overloadMeasurements(calls []*call, seconds float64) experiment.Measurements {
	var met, refused, late, open int
	var firstTokens, refusals []float64
	for _, call := range calls {
		switch {
		case call.metDeadline():
			met++
		case call.refused:
			refused++
			refusals = append(refusals, call.ended.Sub(call.arrived).Seconds())
			if call.ended.After(call.deadline) {
				late++
			}
		case call.ended.IsZero():
			open++
		}
		if !call.firstToken.IsZero() {
			firstTokens = append(firstTokens, call.firstToken.Sub(call.arrived).Seconds())
		}
	}
	total := float64(max(1, len(calls)))
	return experiment.Measurements{
		Values: []experiment.Value{
			{Metric: "offered", Unit: "requests/s", Value: float64(len(calls)) / seconds},
			{Metric: "goodput", Unit: "requests/s", Value: float64(met) / seconds},
			{Metric: "deadlines met", Unit: "%", Value: 100 * float64(met) / total},
			{Metric: "refused", Unit: "%", Value: 100 * float64(refused) / total},
			{Metric: "refused late", Unit: "requests", Value: float64(late)},
			{Metric: "unfinished", Unit: "requests", Value: float64(open)},
		},
		Distributions: []experiment.Distribution{
			{Metric: "first token", Unit: "s", Samples: firstTokens},
			{Metric: "until refused", Unit: "s", Samples: refusals},
		},
	}
}
