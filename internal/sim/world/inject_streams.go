package world

import (
	"github.com/spanlanding/spanlanding/internal/sim"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

// Faults of the answers of one engine.
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
	// tokensBeforeBreak is how much of an answer comes before a fault cuts it.
	tokensBeforeBreak = 3
	// slowIterations stretches the iterations of a slow engine.
	slowIterations = 20
)

// streamFault applies a fault within the model of an engine.
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
		faults.SlowFactor = float64(valueIf(on, slowIterations))
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
