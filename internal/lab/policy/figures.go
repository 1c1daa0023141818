package policy

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// statistics are the results of one run, within its measured period.
type statistics struct {
	trace      *Trace
	start, end time.Duration

	// waits has the waiting times of all requests in seconds, firstWaits those of
	// first requests.
	waits        []float64
	firstWaits   []float64
	cold         int
	deadlinesMet int
	unserved     int
	refusals     int
	loads        map[fleet.Tier]int
	unloads      int
	evictions    int

	// Replica hours and GiB hours, by the state of the replica.
	idle, busy, loading          float64
	idleGiB, busyGiB, loadingGiB float64
	idleByHour                   [24]float64
}

func (f *statistics) inWindow(at time.Duration) bool { return at >= f.start && at < f.end }

// recordStart records the wait of a request that begins to run, or that still
// waits at the end of the trace.
func (f *statistics) recordStart(request *pendingRequest, now time.Duration) {
	if !f.inWindow(request.at) {
		return
	}
	waited := now - request.at
	f.waits = append(f.waits, waited.Seconds())
	if request.first {
		f.firstWaits = append(f.firstWaits, waited.Seconds())
	}
	if waited > 0 {
		f.cold++
	}
	if waited <= f.trace.models[request.model].deadline {
		f.deadlinesMet++
	}
}

func (f *statistics) recordLoad(now time.Duration, tier fleet.Tier) {
	if !f.inWindow(now) {
		return
	}
	if f.loads == nil {
		f.loads = make(map[fleet.Tier]int)
	}
	f.loads[tier]++
}

func (f *statistics) recordUnload(now time.Duration, evicts bool) {
	if !f.inWindow(now) {
		return
	}
	f.unloads++
	if evicts {
		f.evictions++
	}
}

func (f *statistics) recordRefusal(now time.Duration) {
	if f.inWindow(now) {
		f.refusals++
	}
}

// recordReplicaTime adds a replica's time since it was last recorded.
func (w *simulation) recordReplicaTime(held *replica) {
	f := w.statistics
	from := max(held.recordedUntil, f.start)
	to := min(w.now, f.end)
	held.recordedUntil = w.now
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
