package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// Times after which a refused load may be possible.
const (
	// noAllotmentWait is what a move of allotment takes: two writes of the
	// record, a round and a majority.
	noAllotmentWait = 2 * time.Second
	// unknownWait is given where nothing says when memory becomes free.
	unknownWait = 5 * time.Second
	// neverWait is given for a model that fits no engine.
	neverWait = time.Minute
	leastWait = time.Second
)

// placementRefusal is why a load is refused.
type placementRefusal struct {
	reason string
	wait   time.Duration
	never  bool
}

func (c *Core) refuse(demand demand, cause placementRefusal) {
	if demand.waiting == 0 {
		return
	}
	refusal := Refuse{
		Refusal:           fleet.LoadRefusal{Model: demand.model, Reason: cause.reason, RetryAfter: cause.wait},
		PossibleElsewhere: true,
		Permanent:         cause.never,
	}
	if wait := c.timings.waits[demand.model]; wait != nil {
		refusal.Since = wait.since
	}
	c.refused[demand.model] = refusal
	c.emit(refusal)
}

// refuseAll refuses what waits for a zone that is evacuated; another zone may
// have it.
func (c *Core) refuseAll() {
	for _, model := range c.names {
		if demand, wanted := c.demandFor(model); wanted {
			c.refuse(demand, placementRefusal{reason: "zone-evacuated", wait: noAllotmentWait})
		}
	}
}

// noMemory tells when an engine may have room: when enough of what it holds has
// stayed for its least time, or is loaded and has then stayed for it.
func (c *Core) noMemory(now time.Time, bytes int64) placementRefusal {
	never, known := len(c.engines) > 0 && len(c.full) == 0, false
	var soonest time.Duration
	for name, held := range c.engines {
		if held.state.MemoryBytes-held.state.KVReserveBytes < bytes {
			continue
		}
		never = false
		if !held.serving() {
			continue
		}
		if wait, possible := c.roomAfter(now, name, bytes); possible && (!known || wait < soonest) {
			soonest, known = wait, true
		}
	}
	switch {
	case never:
		return placementRefusal{reason: "no-memory", wait: neverWait, never: true}
	case !known:
		return placementRefusal{reason: "no-memory", wait: unknownWait}
	default:
		return placementRefusal{reason: "no-memory", wait: max(leastWait, soonest)}
	}
}

// roomAfter is the time until the engine can make room by what is known now;
// false where what waits or stands keeps its memory.
func (c *Core) roomAfter(now time.Time, name fleet.BackendName, bytes int64) (time.Duration, bool) {
	type leaving struct {
		bytes int64
		after time.Duration
	}
	missing := bytes - c.free(name)
	var leave []leaving
	for _, loaded := range c.engines[name].state.Models {
		ready, _ := c.replicas(loaded.Model)
		switch {
		case loaded.State == fleet.LoadUnloading:
			leave = append(leave, leaving{loaded.Bytes, 0})
		case loaded.State == fleet.LoadReady && len(c.wants[loaded.Model]) == 0 && ready > c.standing[loaded.Model]:
			stay := c.residence(now, loaded.Model) - now.Sub(loaded.ReadySince)
			leave = append(leave, leaving{loaded.Bytes, max(0, stay)})
		}
	}
	slices.SortFunc(leave, func(a, b leaving) int { return cmp.Compare(a.after, b.after) })
	var wait time.Duration
	for _, gone := range leave {
		if missing <= 0 {
			break
		}
		missing -= gone.bytes
		wait = gone.after
	}
	return wait, missing <= 0
}
