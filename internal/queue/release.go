package queue

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

func (c *Core) updateCapacity(now time.Time, capacity CapacityChanged) {
	sub := c.subqueueFor(Key{capacity.Model, capacity.Regions})
	switch {
	case capacity.Ready > 0 && !sub.coldSince.IsZero():
		sub.loadTime.add(now.Sub(sub.coldSince))
		sub.coldSince = time.Time{}
	case capacity.Ready == 0 && sub.coldSince.IsZero() && len(sub.items) > 0:
		sub.coldSince = now
	}
	if capacity.Ready > 0 && sub.ready == 0 {
		sub.refusals = refusals{}
	}
	sub.ready = capacity.Ready
	sub.replicas = append(sub.replicas[:0], capacity.Replicas...)
	sub.slots = capacity.Slots
	c.release(now, sub)
}

// release releases items in order while a replica has a free slot for them.
func (c *Core) release(now time.Time, sub *subqueue) {
	for index := 0; index < len(sub.items); {
		item := sub.items[index]
		replica := sub.replicaFor(item.Adapter)
		if replica == nil {
			if item.Adapter == "" {
				return
			}
			index++
			continue
		}
		c.remove(item.Ticket)
		if now.Add(sub.firstToken.optimistic).After(item.Deadline) && !item.Requeued {
			// Its first token would miss the deadline: leave the slot to others.
			c.refuse(item.Item, ReasonDeadlineUnreachable, sub.firstToken.mean)
			continue
		}
		replica.FreeSlots--
		sub.recordRelease(now, item)
		c.emit(Release{Item: item.Item, Waited: now.Sub(item.ArrivedAt), ColdStart: item.coldStart})
	}
}

// releaseIntervalWindow is the minimum time over which releases are averaged. A
// report from the engines can free slots for many requests at once, so that the
// time between two single releases says little.
const releaseIntervalWindow = time.Second

// recordRelease updates the mean time between releases while requests wait.
func (s *subqueue) recordRelease(now time.Time, item *queuedItem) {
	if item.coldStart || !item.ArrivedAt.Before(s.lastRelease) {
		s.intervalSince, s.intervalReleases = now, 0
	} else {
		s.intervalReleases++
		if elapsed := now.Sub(s.intervalSince); elapsed >= releaseIntervalWindow {
			s.releaseInterval.add(elapsed / time.Duration(s.intervalReleases))
			s.intervalSince, s.intervalReleases = now, 0
		}
	}
	s.lastRelease = now
}

func (s *subqueue) hasAdapter(adapter fleet.AdapterName) bool {
	return slices.ContainsFunc(s.replicas, func(replica Replica) bool {
		return slices.Contains(replica.Adapters, adapter)
	})
}

// replicaFor returns the replica with the most free slots that has the adapter
// loaded, nil if there is none.
func (s *subqueue) replicaFor(adapter fleet.AdapterName) *Replica {
	var best *Replica
	for index := range s.replicas {
		replica := &s.replicas[index]
		if replica.FreeSlots <= 0 {
			continue
		}
		if adapter != "" && !slices.Contains(replica.Adapters, adapter) {
			continue
		}
		if best == nil || replica.FreeSlots > best.FreeSlots {
			best = replica
		}
	}
	return best
}
