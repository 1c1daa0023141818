package node

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/control"
)

// logLoad writes what the time of a load was spent on, in milliseconds. The
// part to_ready ends by the engine's clock, the others by this node's.
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
		Bool("wanted", !load.Wanted.IsZero()).
		Int64("to_order_ms", between(load.Wanted, load.Ordered)).
		Int64("held_allotment_ms", load.Held.Allotment.Milliseconds()).
		Int64("held_memory_ms", load.Held.Memory.Milliseconds()).
		Int64("held_eviction_ms", load.Held.Eviction.Milliseconds()).
		Int64("held_store_ms", load.Held.Store.Milliseconds()).
		Int64("to_taken_ms", between(load.Ordered, load.Taken)).
		Int64("to_ready_ms", between(load.Ordered, load.Ready)).
		Int64("to_seen_ms", between(load.Ready, load.Seen)).
		Msg("load_finished")
}
