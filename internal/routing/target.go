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
	// reportedAt is when the current report arrived, by this node's clock: the clocks of engines
	// are not relied on.
	reportedAt time.Time
	circuit    circuit
	health     health
	prefixes   prefixHistory
	// slots is the estimated number of requests that the engine runs concurrently, by its reports.
	slots int
	// starts are the start times of this node's attempts in flight, oldest first. ends are the end
	// times of attempts that the report may still count.
	starts []time.Time
	ends   []time.Time
	// readySince is when each model was first seen ready; zero if it was ready when the target
	// became known.
	readySince map[fleet.ModelVersion]time.Time
	// refusedUntil is when a model may be requested here again after the back end declined it: the
	// table may lag behind.
	refusedUntil map[fleet.ModelVersion]time.Time
	// admissionState is the admission state of this incarnation, by the hints in its responses.
	admissionState admission.Server
}

// refusalPause is how long a model is not requested from a back end that declined it.
const refusalPause = 250 * time.Millisecond

func (t *target) refuse(now time.Time, model fleet.ModelVersion) {
	if t.refusedUntil == nil {
		t.refusedUntil = make(map[fleet.ModelVersion]time.Time)
	}
	t.refusedUntil[model] = now.Add(refusalPause)
}

func (t *target) isRefusing(now time.Time, model fleet.ModelVersion) bool {
	until, found := t.refusedUntil[model]
	if found && !until.After(now) {
		delete(t.refusedUntil, model)
		return false
	}
	return found
}

// applyEngine updates the target, and reports whether the set of ready models has changed.
func (t *target) applyEngine(now time.Time, engine fleet.EngineState, options Options) bool {
	known := !t.reportedAt.IsZero()
	restarted := engine.Incarnation != t.engine.Incarnation
	if restarted {
		t.circuit, t.health, t.prefixes, t.admissionState = circuit{}, health{}, prefixHistory{}, admission.Server{}
		t.refusedUntil = nil
	}
	changed := !t.hasSameReadyModels(engine)
	if changed {
		t.recordReady(now, engine, known)
	}
	if restarted || !known || !engine.Report.AsOf.Equal(t.engine.Report.AsOf) {
		t.reportedAt = now
		t.estimateSlots(engine.Report, options.EngineSlots)
		since := t.reportedAt.Add(-options.ReportLag)
		t.ends = slices.DeleteFunc(t.ends, func(at time.Time) bool { return at.Before(since) })
	}
	t.backend = engine.Backend
	t.engine = engine
	return changed
}

// hasSameReadyModels reports whether the engine's ready models are the ones already known.
func (t *target) hasSameReadyModels(engine fleet.EngineState) bool {
	count := 0
	for index := range engine.Models {
		if engine.Models[index].State != fleet.LoadReady {
			continue
		}
		count++
		if _, seen := t.readySince[engine.Models[index].Model]; !seen {
			return false
		}
	}
	return count == len(t.readySince)
}

// recordReady records when each model became ready here.
func (t *target) recordReady(now time.Time, engine fleet.EngineState, known bool) {
	former := t.readySince
	t.readySince = make(map[fleet.ModelVersion]time.Time, len(engine.Models))
	for _, loaded := range engine.Models {
		if loaded.State != fleet.LoadReady {
			continue
		}
		since, seen := former[loaded.Model]
		if !seen && known {
			since = now
		}
		t.readySince[loaded.Model] = since
	}
}

// estimateSlots adjusts the estimated slots by a report: an engine with a queue is full, and one
// that runs all estimated slots without a queue can run some more. A short queue doesn't count,
// since new requests wait for the next iteration even at an idle engine.
func (t *target) estimateSlots(report fleet.LoadReport, initial int) {
	if t.slots == 0 {
		t.slots = initial
	}
	switch {
	case report.Running == 0:
	case report.Waiting > max(minQueue, report.Running/queueDivisor):
		t.slots = report.Running
	case report.Running >= t.slots:
		t.slots = report.Running + max(slotGrowth, report.Running/queueDivisor)
	}
}

const (
	// An engine counts as full if more requests wait than minQueue and than one in queueDivisor of
	// the running ones.
	minQueue     = 2
	queueDivisor = 8
)

// slotGrowth is the minimum by which the estimate grows when an engine runs all estimated slots and
// nothing waits.
const slotGrowth = 2

func (t *target) started(now time.Time) {
	t.starts = append(t.starts, now)
}

// ended removes an own attempt. Only attempts that began before the report was made are still
// counted by it.
func (t *target) ended(now, started time.Time, lag time.Duration) {
	if at := slices.IndexFunc(t.starts, started.Equal); at >= 0 {
		t.starts = slices.Delete(t.starts, at, at+1)
	}
	if started.Before(t.reportedAt.Add(-lag)) && len(t.ends) < t.engine.Report.Running+t.engine.Report.Waiting {
		t.ends = append(t.ends, now)
	}
}

// load returns the number of requests at the engine: the reported number, corrected by own starts
// and ends that the report can't include yet.
func (t *target) load(options Options) int {
	reported := t.engine.Report.Running + t.engine.Report.Waiting
	if options.Defects.TrustReports {
		return reported
	}
	since := t.reportedAt.Add(-options.ReportLag)
	recent := len(t.starts)
	for recent > 0 && t.starts[len(t.starts)-recent].Before(since) {
		recent--
	}
	return max(reported+recent-len(t.ends), len(t.starts))
}

// slowStartShare returns the share of its slots by which a new replica is scored.
func (t *target) slowStartShare(now time.Time, model fleet.ModelVersion, slowStart time.Duration) float64 {
	since := t.readySince[model]
	if since.IsZero() {
		return 1
	}
	return min(1, max(minSlowStartShare, float64(now.Sub(since))/float64(slowStart)))
}

// minSlowStartShare is the share that a replica starts with.
const minSlowStartShare = 0.2

func (t *target) hasAdapter(model fleet.ModelVersion, adapter fleet.AdapterName) bool {
	if adapter == "" {
		return true
	}
	loaded := t.engine.Find(model)
	return loaded != nil && slices.Contains(loaded.Adapters, adapter)
}
