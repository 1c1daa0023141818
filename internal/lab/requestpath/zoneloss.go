package requestpath

import (
	"cmp"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/experiment"
)

// ZoneLoss is the name of the runner that simulates the loss of one of three
// zones.
const ZoneLoss = "zone-loss"

// Faults of ZoneLoss: loss of power, or loss of all messages.
const (
	faultPower  = "power"
	faultSilent = "silent"
)

// Parts of the policies of ZoneLoss.
const (
	withBudget    = "budget"
	withoutBudget = "no-budget"
	withHedging   = "hedge"
)

const (
	zoneLossDuration = time.Minute
	hedgeAfter       = 500 * time.Millisecond
	lossAt           = 20 * time.Second
	lossDuration     = 20 * time.Second
	// Service is back to normal after normalSeconds consecutive seconds in each of
	// which at least normalShare of the deadlines are met.
	normalShare   = 0.99
	normalSeconds = 5
)

// RunZoneLoss implements experiment.Runner; load is the share of the capacity
// of all three zones.
func RunZoneLoss(ctx context.Context, parameters experiment.Parameters) (experiment.Measurements, error) {
	settings := topology{zones: []fleet.Zone{"a", "b", "c"}, enginesPerZone: 2, nodeZones: 2, nodesPerZone: 1}
	if err := settings.parsePolicy(parameters.Policy); err != nil {
		return experiment.Measurements{}, err
	}
	reachability, known := map[string]reachability{faultPower: unreachable, faultSilent: silent}[parameters.Fault]
	if !known {
		return experiment.Measurements{}, fmt.Errorf("fault %q is neither %s nor %s", parameters.Fault, faultPower, faultSilent)
	}
	simulation := newSimulation(settings, parameters.Seed)
	simulation.scheduleZoneLoss("c", reachability)
	rate := parameters.Load * capacity() * float64(len(simulation.servers))
	if err := simulation.generateArrivals(ctx, cmp.Or(parameters.Duration, zoneLossDuration), rate); err != nil {
		return experiment.Measurements{}, err
	}
	return simulation.zoneLossMeasurements(), nil
}

// parsePolicy parses a policy, whose parts are joined by plus signs.
func (l *topology) parsePolicy(policy string) error {
	for part := range strings.SplitSeq(policy, "+") {
		switch part {
		case withBudget:
			l.retryBudget = true
		case withoutBudget:
			l.retryBudget = false
		case withHedging:
			l.hedgeAfter = hedgeAfter
		default:
			return fmt.Errorf("policy %q: %q is none of %s, %s, %s", policy, part, withBudget, withoutBudget, withHedging)
		}
	}
	return nil
}

func (w *simulation) scheduleZoneLoss(zone fleet.Zone, reachability reachability) {
	for _, server := range w.servers {
		if server.backend.Zone == zone {
			w.clock.scheduleAt(w.started.Add(lossAt), func() { server.disconnect(reachability) })
			w.clock.scheduleAt(w.started.Add(lossAt+lossDuration), server.restore)
		}
	}
}

// second counts the arrivals of one second, those of them that met their
// deadline, and the attempts of that second.
type second struct{ arrived, metDeadline, attempts int }

func (s second) share() float64 {
	if s.arrived == 0 {
		return 1
	}
	return float64(s.metDeadline) / float64(s.arrived)
}

func (w *simulation) seconds() []second {
	var seconds []second
	at := func(when time.Time) *second {
		index := int(when.Sub(w.started) / time.Second)
		for len(seconds) <= index {
			seconds = append(seconds, second{})
		}
		return &seconds[index]
	}
	for _, call := range w.calls {
		at(call.arrived).arrived++
		if call.metDeadline() {
			at(call.arrived).metDeadline++
		}
	}
	for _, opened := range w.attemptTimes {
		at(opened).attempts++
	}
	return seconds
}

func (w *simulation) zoneLossMeasurements() experiment.Measurements {
	seconds := w.seconds()
	from, to := int(lossAt/time.Second), int((lossAt+lossDuration)/time.Second)
	var lost second
	peak := 0.0
	met, attempts := experiment.Series{Metric: "deadlines met", Unit: "%"}, experiment.Series{Metric: "attempts", Unit: "1/s"}
	for index, each := range seconds {
		if index >= from && index < to {
			lost.arrived += each.arrived
			lost.metDeadline += each.metDeadline
			lost.attempts += each.attempts
			peak = max(peak, float64(each.attempts)/float64(max(1, each.arrived)))
		}
		if each.arrived > 0 {
			met.Points = append(met.Points, experiment.Point{Seconds: float64(index), Value: 100 * each.share()})
			attempts.Points = append(attempts.Points, experiment.Point{Seconds: float64(index), Value: float64(each.attempts)})
		}
	}
	outcomes := w.outcomes()
	return experiment.Measurements{
		Values: []experiment.Value{
			{Metric: "amplification", Unit: "attempts/request", Value: float64(lost.attempts) / float64(max(1, lost.arrived))},
			{Metric: "amplification, worst second", Unit: "attempts/request", Value: peak},
			{Metric: "deadlines met in the loss", Unit: "%", Value: 100 * lost.share()},
			{Metric: "normal again after", Unit: "s", Value: recoveryTime(seconds, from)},
			{Metric: "deadlines met in all", Unit: "%", Value: 100 * float64(outcomes.metDeadline) / float64(max(1, len(w.calls)))},
			{Metric: "answers cut", Unit: "requests", Value: float64(outcomes.cut)},
			{Metric: "attempts in all", Unit: "attempts/request", Value: float64(len(w.attemptTimes)) / float64(max(1, len(w.calls)))},
			{Metric: "refused", Unit: "requests", Value: float64(outcomes.refused)},
			{Metric: "longest pause in an answer", Unit: "s", Value: outcomes.longestGap.Seconds()},
		},
		Series: []experiment.Series{met, attempts},
	}
}

type outcomes struct {
	metDeadline, cut, refused int
	// longestGap is the longest time between two tokens of an answer.
	longestGap time.Duration
}

func (w *simulation) outcomes() outcomes {
	var counted outcomes
	for _, call := range w.calls {
		counted.longestGap = max(counted.longestGap, call.longestGap)
		switch {
		case call.metDeadline():
			counted.metDeadline++
		case call.refused:
			counted.refused++
		case call.tokens > 0 && !call.complete:
			counted.cut++
		}
	}
	return counted
}

// recoveryTime returns the seconds from the loss to the first of normalSeconds
// consecutive normal seconds, or to the end of the run if there are none.
func recoveryTime(seconds []second, from int) float64 {
	good := 0
	for index := from; index < len(seconds); index++ {
		if seconds[index].share() < normalShare {
			good = 0
			continue
		}
		if good++; good == normalSeconds {
			return float64(index - normalSeconds + 1 - from)
		}
	}
	return float64(len(seconds) - from)
}
