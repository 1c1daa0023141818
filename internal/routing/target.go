package routing

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// target is one back end as this node knows it.
type target struct {
	backend fleet.Backend
	engine  fleet.EngineState
	// reported is when the present report came in, by this node's clock: the
	// clocks of engines are not relied on.
	reported time.Time
	circuit  circuit
	// starts and ends are the node's own attempts that the report may not
	// show yet.
	starts []time.Time
	ends   []time.Time
	flying int
	gone   bool
}

func newTarget() *target {
	return &target{}
}

func (t *target) takeEngine(now time.Time, engine fleet.EngineState) {
	fresh := !engine.Report.AsOf.Equal(t.engine.Report.AsOf) || engine.Incarnation != t.engine.Incarnation
	if engine.Incarnation != t.engine.Incarnation {
		t.circuit = circuit{}
	}
	t.backend = engine.Backend
	t.engine = engine
	if fresh || t.reported.IsZero() {
		t.reported = now
	}
}

func (t *target) started(now time.Time) {
	t.flying++
	t.starts = append(t.starts, now)
}

func (t *target) ended(now time.Time, flight *flight) {
	t.flying--
	t.ends = append(t.ends, now)
}

// load is the number of requests at the engine: its report, corrected by the
// node's own starts and ends that the report cannot show yet.
func (t *target) load(lag time.Duration) int {
	since := t.reported.Add(-lag)
	before := func(at time.Time) bool { return at.Before(since) }
	t.starts = slices.DeleteFunc(t.starts, before)
	t.ends = slices.DeleteFunc(t.ends, before)
	load := t.engine.Report.Running + t.engine.Report.Waiting + len(t.starts) - len(t.ends)
	return max(load, t.flying)
}

func (t *target) hasAdapter(model fleet.ModelVersion, adapter fleet.AdapterName) bool {
	if adapter == "" {
		return true
	}
	loaded := t.engine.Find(model)
	return loaded != nil && slices.Contains(loaded.Adapters, adapter)
}
