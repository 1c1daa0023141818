package queue

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

func (c *Core) offer(now time.Time, offer CapacityChanged) {
	line := c.line(Key{offer.Model, offer.Regions})
	switch {
	case offer.Ready > 0 && !line.coldFrom.IsZero():
		line.load.add(now.Sub(line.coldFrom))
		line.coldFrom = time.Time{}
	case offer.Ready == 0 && line.coldFrom.IsZero() && len(line.items) > 0:
		line.coldFrom = now
	}
	if offer.Ready > 0 && line.ready == 0 {
		line.refusals = refusals{}
	}
	line.ready = offer.Ready
	line.replicas = append(line.replicas[:0], offer.Replicas...)
	line.slots = offer.Slots
	c.release(now, line)
}

// release sends on items in their order while a replica has room for them.
func (c *Core) release(now time.Time, line *line) {
	for index := 0; index < len(line.items); {
		item := line.items[index]
		replica := line.roomFor(item.Adapter)
		if replica == nil {
			if item.Adapter == "" {
				return
			}
			index++
			continue
		}
		c.remove(item.Ticket)
		if now.Add(line.firstToken.low).After(item.Deadline) && !item.Requeued {
			// Its first token would come too late: the room is better used.
			c.refuse(item.Item, ReasonDeadlineUnreachable, line.firstToken.value)
			continue
		}
		replica.FreeSlots--
		line.notePace(now, item)
		c.emit(Release{Item: item.Item, Waited: now.Sub(item.ArrivedAt), ColdStart: item.cold})
	}
}

// paceWindow is the least time over which releases are counted: a report of
// the engines brings room for many at once, and their mean time apart counts.
const paceWindow = time.Second

// notePace learns the mean time between releases while requests wait.
func (l *line) notePace(now time.Time, item *waiting) {
	if item.cold || !item.ArrivedAt.Before(l.lastRelease) {
		l.paceFrom, l.paced = now, 0
	} else {
		l.paced++
		if elapsed := now.Sub(l.paceFrom); elapsed >= paceWindow {
			l.pace.add(elapsed / time.Duration(l.paced))
			l.paceFrom, l.paced = now, 0
		}
	}
	l.lastRelease = now
}

func (l *line) holds(adapter fleet.AdapterName) bool {
	return slices.ContainsFunc(l.replicas, func(replica Replica) bool {
		return slices.Contains(replica.Adapters, adapter)
	})
}

// roomFor returns the replica with the most room that holds the adapter.
func (l *line) roomFor(adapter fleet.AdapterName) *Replica {
	var best *Replica
	for index := range l.replicas {
		replica := &l.replicas[index]
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
