package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Retry delays of refused loads.
const (
	// noAllotmentRetryDelay is the time to move allotment between zones: two writes
	// of the record, a round and a majority.
	noAllotmentRetryDelay = 2 * time.Second
	// unknownRetryDelay is used where it is not known when memory becomes free.
	unknownRetryDelay = 5 * time.Second
	// impossibleRetryDelay is used for a model that fits no engine.
	impossibleRetryDelay = time.Minute
	minRetryDelay        = time.Second
)

// placementRefusal is the reason for refusing a load.
type placementRefusal struct {
	reason     string
	retryAfter time.Duration
	permanent  bool
}

func (c *Core) refuse(demand demand, cause placementRefusal) {
	if demand.waiting == 0 {
		return
	}
	refusal := Refuse{
		Refusal:           fleet.LoadRefusal{Model: demand.model, Reason: cause.reason, RetryAfter: cause.retryAfter},
		PossibleElsewhere: true,
		Permanent:         cause.permanent,
	}
	if wait := c.timings.waits[demand.model]; wait != nil {
		refusal.Since = wait.since
	}
	c.refusals[demand.model] = refusal
	c.emit(refusal)
}

// refuseAll refuses all demands because the zone is evacuated; another zone may
// serve them.
func (c *Core) refuseAll() {
	for _, model := range c.names {
		if demand, wanted := c.demandFor(model); wanted {
			c.refuse(demand, placementRefusal{reason: "zone-evacuated", retryAfter: noAllotmentRetryDelay})
		}
	}
}

// memoryRefusal returns the refusal for lack of memory. Its retry delay is the shortest
// time until an engine can free the bytes, or the refusal is permanent where the model
// fits no engine.
func (c *Core) memoryRefusal(now time.Time, bytes int64) placementRefusal {
	impossible, known := len(c.engines) > 0 && len(c.assumedFull) == 0, false
	var shortest time.Duration
	for name, held := range c.engines {
		if held.state.MemoryBytes-held.state.KVReserveBytes < bytes {
			continue
		}
		impossible = false
		if !held.serving() {
			continue
		}
		if wait, possible := c.timeUntilFree(now, name, bytes); possible && (!known || wait < shortest) {
			shortest, known = wait, true
		}
	}
	switch {
	case impossible:
		return placementRefusal{reason: "no-memory", retryAfter: impossibleRetryDelay, permanent: true}
	case !known:
		return placementRefusal{reason: "no-memory", retryAfter: unknownRetryDelay}
	default:
		return placementRefusal{reason: "no-memory", retryAfter: max(minRetryDelay, shortest)}
	}
}

// timeUntilFree estimates the time until the engine can free the bytes. It returns false
// where models with waiting requests or standing capacity occupy the memory.
func (c *Core) timeUntilFree(now time.Time, name fleet.BackendName, bytes int64) (time.Duration, bool) {
	type release struct {
		bytes int64
		delay time.Duration
	}
	missing := bytes - c.freeBytes(name)
	var releases []release
	for _, loaded := range c.engines[name].state.Models {
		ready, _ := c.countReplicas(loaded.Model)
		switch {
		case loaded.State == fleet.LoadUnloading:
			releases = append(releases, release{loaded.Bytes, 0})
		case loaded.State == fleet.LoadReady && len(c.wants[loaded.Model]) == 0 && ready > c.standing[loaded.Model]:
			remaining := c.minResidence(now, loaded.Model) - now.Sub(loaded.ReadySince)
			releases = append(releases, release{loaded.Bytes, max(0, remaining)})
		}
	}
	slices.SortFunc(releases, func(a, b release) int { return cmp.Compare(a.delay, b.delay) })
	var wait time.Duration
	for _, next := range releases {
		if missing <= 0 {
			break
		}
		missing -= next.bytes
		wait = next.delay
	}
	return wait, missing <= 0
}
