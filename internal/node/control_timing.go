package node

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/control"
)

// logLoad logs how the time of a load was spent, in milliseconds. The end of to_ready is
// taken from the engine's clock; all other times are from this node's clock.
func (s *Control) logLoad(load control.LoadFinished) {
	between := func(from, to time.Time) int64 {
		if from.IsZero() || to.IsZero() {
			return 0
		}
		return to.Sub(from).Milliseconds()
	}
	s.dependencies.Logger.Info().
		Str("engine", string(load.Engine)).
		Str("model", load.Model.String()).
		Str("tier", string(load.Tier)).
		Bool("wanted", !load.RequestedAt.IsZero()).
		Int64("to_order_ms", between(load.RequestedAt, load.Ordered)).
		Int64("held_allotment_ms", load.HoldTimes.Allotment.Milliseconds()).
		Int64("held_memory_ms", load.HoldTimes.Memory.Milliseconds()).
		Int64("held_eviction_ms", load.HoldTimes.Eviction.Milliseconds()).
		Int64("held_store_ms", load.HoldTimes.Store.Milliseconds()).
		Int64("to_taken_ms", between(load.Ordered, load.Accepted)).
		Int64("to_ready_ms", between(load.Ordered, load.Ready)).
		Int64("to_seen_ms", between(load.Ready, load.ReadySeen)).
		Msg("load_finished")
}
