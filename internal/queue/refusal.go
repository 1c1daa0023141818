package queue

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	// refusalPatience is how long a load may be refused until the answer is
	// final, and the longest RetryAfter that is waited for. A fleet that starts
	// or takes a new declaration refuses until its allotments are decided.
	refusalPatience = 3 * time.Second
	// refusalGap is the silence after which a refusal counts as a new one.
	refusalGap = 5 * time.Second
)

// refusals follows the refusals of one line's load.
type refusals struct {
	from, last time.Time
}

// note takes one more refusal and returns how long there have been some.
func (r *refusals) note(now time.Time) time.Duration {
	if r.from.IsZero() || now.Sub(r.last) > refusalGap {
		r.from = now
	}
	r.last = now
	return now.Sub(r.from)
}

// loadRefused gives those that wait for a load their final answer, at once
// where waiting cannot help. A model with ready replicas is refused only to
// those that wait for an adapter.
func (c *Core) loadRefused(now time.Time, refused []fleet.LoadRefusal) {
	for _, refusal := range refused {
		line := c.line(Key{refusal.Model, refusal.Regions})
		mayPass := line.refusals.note(now) < refusalPatience &&
			refusal.RetryAfter > 0 && refusal.RetryAfter <= refusalPatience
		served := now.Add(refusal.RetryAfter + line.load.low + line.firstToken.low)
		for _, item := range slices.Clone(line.items) {
			if line.ready > 0 && (item.Adapter == "" || line.holds(item.Adapter)) {
				continue
			}
			if mayPass && !served.After(item.Deadline) {
				continue
			}
			c.remove(item.Ticket)
			c.emit(Refuse{Item: item.Item, Reason: ReasonCannotLoad, Detail: refusal.Reason,
				RetryAfter: max(refusal.RetryAfter, minRetryAfter)})
		}
		if len(line.items) == 0 {
			line.coldFrom = time.Time{}
		}
	}
}
