package routing

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
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
	health   health
	prefixes prefixMemory
	// slots is the number of requests that the engine runs at a time, as far
	// as its reports have shown.
	slots int
	// starts are the node's own attempts in flight, oldest first. ends are
	// those over that the report may still count.
	starts []time.Time
	ends   []time.Time
	// ready is when a model was first seen ready; zero where it was so when
	// the target became known.
	ready map[fleet.ModelVersion]time.Time
	// refused is until when a model is not asked for here again, since the
	// back end declined it: the table may lag behind.
	refused map[fleet.ModelVersion]time.Time
	// bounds are those of this incarnation, by what its answers told.
	bounds admission.Server
}

// refusalPause is how long a back end that declined a request is left alone.
const refusalPause = 250 * time.Millisecond

func (t *target) refuse(now time.Time, model fleet.ModelVersion) {
	if t.refused == nil {
		t.refused = make(map[fleet.ModelVersion]time.Time)
	}
	t.refused[model] = now.Add(refusalPause)
}

func (t *target) isRefusing(now time.Time, model fleet.ModelVersion) bool {
	until, found := t.refused[model]
	if found && !until.After(now) {
		delete(t.refused, model)
		return false
	}
	return found
}

// takeEngine reports whether the set of ready models has changed.
func (t *target) takeEngine(now time.Time, engine fleet.EngineState, options Options) bool {
	known := !t.reported.IsZero()
	restarted := engine.Incarnation != t.engine.Incarnation
	if restarted {
		t.circuit, t.health, t.prefixes, t.bounds = circuit{}, health{}, prefixMemory{}, admission.Server{}
	}
	changed := !t.isReady(engine)
	if changed {
		t.noteReady(now, engine, known)
	}
	if restarted || !known || !engine.Report.AsOf.Equal(t.engine.Report.AsOf) {
		t.reported = now
		t.learnSlots(engine.Report, options.EngineSlots)
		since := t.reported.Add(-options.ReportLag)
		t.ends = slices.DeleteFunc(t.ends, func(at time.Time) bool { return at.Before(since) })
	}
	t.backend = engine.Backend
	t.engine = engine
	return changed
}

// isReady reports whether just the models that are ready by the state are known
// to be.
func (t *target) isReady(engine fleet.EngineState) bool {
	count := 0
	for index := range engine.Models {
		if engine.Models[index].State != fleet.LoadReady {
			continue
		}
		count++
		if _, seen := t.ready[engine.Models[index].Model]; !seen {
			return false
		}
	}
	return count == len(t.ready)
}

// noteReady remembers when each model became ready here.
func (t *target) noteReady(now time.Time, engine fleet.EngineState, known bool) {
	former := t.ready
	t.ready = make(map[fleet.ModelVersion]time.Time, len(engine.Models))
	for _, loaded := range engine.Models {
		if loaded.State != fleet.LoadReady {
			continue
		}
		since, seen := former[loaded.Model]
		if !seen && known {
			since = now
		}
		t.ready[loaded.Model] = since
	}
}

// learnSlots takes an engine with a line of its own to be full, and one
// without a line to have room for some more. A short line is none: what comes
// waits for the next iteration also at an idle engine.
func (t *target) learnSlots(report fleet.LoadReport, initial int) {
	if t.slots == 0 {
		t.slots = initial
	}
	switch {
	case report.Running == 0:
	case report.Waiting > max(minLine, report.Running/lineShare):
		t.slots = report.Running
	case report.Running >= t.slots:
		t.slots = report.Running + max(slotGrowth, report.Running/lineShare)
	}
}

const (
	// minLine and a part of what runs, one in lineShare, may wait at an engine
	// that is not full.
	minLine   = 2
	lineShare = 8
)

// slotGrowth is how many slots more an engine is believed to have when it
// runs all that were believed and nothing waits.
const slotGrowth = 2

func (t *target) started(now time.Time) {
	t.starts = append(t.starts, now)
}

// ended takes an own attempt out. Only one that began before the report was
// made is still counted by the report.
func (t *target) ended(now, started time.Time, lag time.Duration) {
	if at := slices.IndexFunc(t.starts, started.Equal); at >= 0 {
		t.starts = slices.Delete(t.starts, at, at+1)
	}
	if started.Before(t.reported.Add(-lag)) && len(t.ends) < t.engine.Report.Running+t.engine.Report.Waiting {
		t.ends = append(t.ends, now)
	}
}

// load is the number of requests at the engine: its report, corrected by the
// node's own starts and ends that the report cannot show yet.
func (t *target) load(options Options) int {
	reported := t.engine.Report.Running + t.engine.Report.Waiting
	if options.Defects.TrustReports {
		return reported
	}
	since := t.reported.Add(-options.ReportLag)
	recent := len(t.starts)
	for recent > 0 && t.starts[len(t.starts)-recent].Before(since) {
		recent--
	}
	return max(reported+recent-len(t.ends), len(t.starts))
}

// ramp is the share of its slots that a fresh replica is scored by.
func (t *target) ramp(now time.Time, model fleet.ModelVersion, slowStart time.Duration) float64 {
	since := t.ready[model]
	if since.IsZero() {
		return 1
	}
	return min(1, max(minRamp, float64(now.Sub(since))/float64(slowStart)))
}

// minRamp is the share that a replica begins with.
const minRamp = 0.2

func (t *target) hasAdapter(model fleet.ModelVersion, adapter fleet.AdapterName) bool {
	if adapter == "" {
		return true
	}
	loaded := t.engine.Find(model)
	return loaded != nil && slices.Contains(loaded.Adapters, adapter)
}
