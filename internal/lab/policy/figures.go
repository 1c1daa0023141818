package policy

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// figures are what one run measured, within its measured time.
type figures struct {
	trace     *Trace
	from, end time.Duration

	// waits are of all requests, firstWaits of first ones, in seconds.
	waits      []float64
	firstWaits []float64
	cold       int
	met        int
	unserved   int
	refusals   int
	loads      map[fleet.Tier]int
	unloads    int
	evictions  int

	// Hours of replicas and of memory, by what the replica did.
	idle, busy, loading          float64
	idleGiB, busyGiB, loadingGiB float64
	idleByHour                   [24]float64
}

func (f *figures) measured(at time.Duration) bool { return at >= f.from && at < f.end }

// served notes that a request begins to run, or that the end of the run cut
// its wait off.
func (f *figures) served(waits *pending, now time.Duration) {
	if !f.measured(waits.at) {
		return
	}
	waited := now - waits.at
	f.waits = append(f.waits, waited.Seconds())
	if waits.first {
		f.firstWaits = append(f.firstWaits, waited.Seconds())
	}
	if waited > 0 {
		f.cold++
	}
	if waited <= f.trace.models[waits.model].deadline {
		f.met++
	}
}

func (f *figures) load(now time.Duration, tier fleet.Tier) {
	if !f.measured(now) {
		return
	}
	if f.loads == nil {
		f.loads = make(map[fleet.Tier]int)
	}
	f.loads[tier]++
}

func (f *figures) unload(now time.Duration, evicts bool) {
	if !f.measured(now) {
		return
	}
	f.unloads++
	if evicts {
		f.evictions++
	}
}

func (f *figures) refuse(now time.Duration) {
	if f.measured(now) {
		f.refusals++
	}
}

// count adds up a replica's time since it was last counted.
func (w *world) count(held *replica) {
	f := w.figures
	from := max(held.since, f.from)
	to := min(w.now, f.end)
	held.since = w.now
	if to <= from {
		return
	}
	hours := (to - from).Hours()
	memory := hours * float64(held.bytes) / float64(gib)
	switch {
	case held.running > 0:
		f.busy += hours
		f.busyGiB += memory
	case held.state == fleet.LoadLoading:
		f.loading += hours
		f.loadingGiB += memory
	default:
		f.idle += hours
		f.idleGiB += memory
		f.idleByHour[int(from.Hours())%24] += memory
	}
}
