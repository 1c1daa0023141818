package queue

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

func (c *Core) offer(now time.Time, offer Offer) {
	line := c.line(offer.Model)
	if len(offer.Replicas) > 0 && !line.coldFrom.IsZero() {
		line.load.add(now.Sub(line.coldFrom))
		line.coldFrom = time.Time{}
	}
	line.replicas = slices.Clone(offer.Replicas)
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
		replica.Free--
		c.remove(item.Ticket)
		c.emit(Release{Item: item.Item, Waited: now.Sub(item.Since), Cold: item.cold})
	}
}

// roomFor returns the replica with the most room that holds the adapter.
func (l *line) roomFor(adapter fleet.AdapterName) *Replica {
	var best *Replica
	for index := range l.replicas {
		replica := &l.replicas[index]
		if replica.Free <= 0 {
			continue
		}
		if adapter != "" && !slices.Contains(replica.Adapters, adapter) {
			continue
		}
		if best == nil || replica.Free > best.Free {
			best = replica
		}
	}
	return best
}

// reportWants reports waiting requests at once and then at every interval, and
// arrivals that were served without a wait at the interval.
func (c *Core) reportWants(now time.Time) {
	if c.nextWant.IsZero() {
		if !c.hasArrivals() {
			return
		}
		c.nextWant = now.Add(c.options.WantInterval)
	}
	if now.Before(c.nextWant) {
		return
	}
	var wants []fleet.Want
	for _, model := range c.order {
		wants = c.appendWants(wants, c.lines[model])
	}
	c.nextWant = time.Time{}
	if len(c.byTicket) > 0 {
		c.nextWant = now.Add(c.options.WantInterval)
	}
	if len(wants) > 0 {
		c.emit(ReportWants{Wants: wants})
	}
}

func (c *Core) hasArrivals() bool {
	for _, model := range c.order {
		if c.lines[model].arrivals > 0 {
			return true
		}
	}
	return false
}

// appendWants adds one want for each adapter that waits, and one for the model
// where nothing waits but something arrived.
func (c *Core) appendWants(wants []fleet.Want, line *line) []fleet.Want {
	first := len(wants)
	for _, item := range line.items {
		at := slices.IndexFunc(wants[first:], func(want fleet.Want) bool { return want.Adapter == item.Adapter })
		if at < 0 {
			at = len(wants) - first
			wants = append(wants, fleet.Want{Model: line.model, Adapter: item.Adapter, Node: c.options.Node,
				Zone: c.options.Zone, Priority: item.Priority, Deadline: item.Deadline})
		}
		want := &wants[first+at]
		want.Waiting++
		want.Priority = max(want.Priority, item.Priority)
		if item.Deadline.Before(want.Deadline) {
			want.Deadline = item.Deadline
		}
	}
	if line.arrivals > 0 {
		if len(wants) == first {
			wants = append(wants, fleet.Want{Model: line.model, Node: c.options.Node, Zone: c.options.Zone})
		}
		wants[first].Arrivals = line.arrivals
		line.arrivals = 0
	}
	return wants
}
