package world

import (
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// Faults of a single engine: its response streams, its speed, its reports and
// its loads.
const (
	faultStreamsBreak   sim.FaultKind = "engine-breaks-streams"
	faultStreamsCut     sim.FaultKind = "engine-cuts-answers-short"
	faultChunksDoubled  sim.FaultKind = "engine-doubles-chunks"
	faultChunksCrossed  sim.FaultKind = "engine-crosses-chunks"
	faultChunksLate     sim.FaultKind = "engine-repeats-chunks-late"
	faultEngineSlow     sim.FaultKind = "engine-slow"
	faultReportsFrozen  sim.FaultKind = "engine-report-frozen"
	faultEngineLoadHang sim.FaultKind = "engine-loads-hang"
)

const (
	// tokensBeforeBreak is the number of tokens sent before a fault cuts an
	// answer.
	tokensBeforeBreak = 3
	// slowIterationFactor multiplies the iteration time of a slow engine.
	slowIterationFactor = 20
)

// streamFault enables a fault in the model of an engine. The returned function
// disables it.
func (w *World) streamFault(fault sim.Fault) func() {
	target := w.engineAt(fault.Target)
	change := func(on bool) {
		setStreamFault(&target.faults, fault.Kind, on)
		target.step(engine.SetFaults{Faults: target.faults})
	}
	change(true)
	return func() { change(false) }
}

func setStreamFault(faults *engine.Faults, kind sim.FaultKind, on bool) {
	switch kind {
	case faultStreamsBreak:
		faults.BreakAfterTokens = valueIf(on, tokensBeforeBreak)
	case faultStreamsCut:
		faults.TruncateAfterTokens = valueIf(on, tokensBeforeBreak)
	case faultChunksDoubled:
		faults.DuplicateChunks = on
	case faultChunksCrossed:
		faults.CrossChunks = on
	case faultChunksLate:
		faults.LateChunks = on
	case faultEngineSlow:
		faults.SlowFactor = float64(valueIf(on, slowIterationFactor))
	case faultReportsFrozen:
		faults.FreezeReport = on
	case faultEngineLoadHang:
		faults.StuckLoads = on
	}
}

func valueIf(on bool, value int) int {
	if on {
		return value
	}
	return 0
}
