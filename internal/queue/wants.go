package queue

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// reportWants reports waiting requests immediately and then at each interval, and
// arrivals that were served without waiting at the interval.
func (c *Core) reportWants(now time.Time) {
	if c.nextReport.IsZero() {
		if !c.hasUnreportedArrivals {
			return
		}
		c.nextReport = now.Add(c.options.WantInterval)
	}
	if now.Before(c.nextReport) {
		return
	}
	var wants []fleet.Want
	for _, key := range c.order {
		wants = c.appendWants(wants, c.subqueues[key])
	}
	c.hasUnreportedArrivals = false
	c.nextReport = time.Time{}
	if len(c.byTicket) > 0 {
		c.nextReport = now.Add(c.options.WantInterval)
	}
	if len(wants) > 0 {
		c.emit(ReportWants{Wants: wants})
	}
}

// appendWants appends one want for each adapter with waiting requests, or one for
// the model if none wait but some arrived.
func (c *Core) appendWants(wants []fleet.Want, sub *subqueue) []fleet.Want {
	first := len(wants)
	for _, item := range sub.items {
		want := c.wantFor(&wants, first, sub, item)
		want.Waiting++
		want.Priority = max(want.Priority, item.Priority)
		if item.Deadline.Before(want.Deadline) {
			want.Deadline = item.Deadline
		}
	}
	if sub.arrivals > 0 || sub.unreachable > 0 {
		if len(wants) == first {
			wants = append(wants, fleet.Want{Model: sub.key.Model, Regions: sub.key.Regions, Node: c.options.Node, Zone: c.options.Zone,
				Waiting: sub.unreachable, Priority: sub.unreachablePriority, Deadline: sub.unreachableDeadline})
		}
		wants[first].Arrivals = sub.arrivals
		sub.arrivals, sub.unreachable, sub.unreachablePriority, sub.unreachableDeadline = 0, 0, 0, time.Time{}
	}
	return wants
}

// wantFor returns the subqueue's want for the item's adapter and appends it if
// missing. The subqueue's wants start at index first.
func (c *Core) wantFor(wants *[]fleet.Want, first int, sub *subqueue, item *queuedItem) *fleet.Want {
	at := slices.IndexFunc((*wants)[first:], func(want fleet.Want) bool { return want.Adapter == item.Adapter })
	if at < 0 {
		at = len(*wants) - first
		*wants = append(*wants, fleet.Want{Model: sub.key.Model, Regions: sub.key.Regions, Adapter: item.Adapter, Node: c.options.Node,
			Zone: c.options.Zone, Priority: item.Priority, Deadline: item.Deadline})
	}
	return &(*wants)[first+at]
}
