package queue

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// reportWants reports waiting requests at once and then at every interval, and
// arrivals that were served without a wait at the interval.
func (c *Core) reportWants(now time.Time) {
	if c.nextWant.IsZero() {
		if !c.arrived {
			return
		}
		c.nextWant = now.Add(c.options.WantInterval)
	}
	if now.Before(c.nextWant) {
		return
	}
	var wants []fleet.Want
	for _, key := range c.order {
		wants = c.appendWants(wants, c.lines[key])
	}
	c.arrived = false
	c.nextWant = time.Time{}
	if len(c.byTicket) > 0 {
		c.nextWant = now.Add(c.options.WantInterval)
	}
	if len(wants) > 0 {
		c.emit(ReportWants{Wants: wants})
	}
}

// appendWants adds one want for each adapter that waits, and one for the model
// where nothing waits but something arrived.
func (c *Core) appendWants(wants []fleet.Want, line *line) []fleet.Want {
	first := len(wants)
	for _, item := range line.items {
		want := c.wantFor(&wants, first, line, item)
		want.Waiting++
		want.Priority = max(want.Priority, item.Priority)
		if item.Deadline.Before(want.Deadline) {
			want.Deadline = item.Deadline
		}
	}
	if line.arrivals > 0 || line.missed > 0 {
		if len(wants) == first {
			wants = append(wants, fleet.Want{Model: line.key.Model, Regions: line.key.Regions, Node: c.options.Node, Zone: c.options.Zone,
				Waiting: line.missed, Priority: line.missedPriority, Deadline: line.missedDeadline})
		}
		wants[first].Arrivals = line.arrivals
		line.arrivals, line.missed, line.missedPriority, line.missedDeadline = 0, 0, 0, time.Time{}
	}
	return wants
}

// wantFor finds the line's want for the item's adapter, or adds it.
func (c *Core) wantFor(wants *[]fleet.Want, first int, line *line, item *waiting) *fleet.Want {
	at := slices.IndexFunc((*wants)[first:], func(want fleet.Want) bool { return want.Adapter == item.Adapter })
	if at < 0 {
		at = len(*wants) - first
		*wants = append(*wants, fleet.Want{Model: line.key.Model, Regions: line.key.Regions, Adapter: item.Adapter, Node: c.options.Node,
			Zone: c.options.Zone, Priority: item.Priority, Deadline: item.Deadline})
	}
	return &(*wants)[first+at]
}
