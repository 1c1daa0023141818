package placer

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// interest is what all nodes together want of one thing.
type interest struct {
	// fast follows the demand of now, slow that of some time.
	fast   flow
	slow   flow
	fadeAt time.Time
	// goal is the tightest objective of those who ask; 0 where none is told.
	goal time.Duration
	// lastAsk is when the last request came.
	lastAsk time.Time
	// waiting are requests that have no server now, by node.
	waiting map[string]waiting
	// waitingSince is when requests began to wait; zero while none does.
	waitingSince time.Time
}

// flow is requests and prompt tokens in a second, faded over time.
type flow struct {
	requests float64
	tokens   float64
}

func (f *flow) fade(past, over time.Duration) {
	keep := math.Exp(-past.Seconds() / over.Seconds())
	f.requests *= keep
	f.tokens *= keep
}

func (f *flow) add(requests, tokens float64, over time.Duration) {
	f.requests += requests / over.Seconds()
	f.tokens += tokens / over.Seconds()
}

type waiting struct {
	count int
	at    time.Time
}

const (
	// fastTime and slowTime are the times over which rates fade.
	fastTime = 3 * time.Second
	slowTime = 12 * time.Second
	// waitingAge is how long a node's word of its waiting requests is believed.
	waitingAge = 1500 * time.Millisecond
)

func (i *interest) fade(now time.Time) {
	if !i.fadeAt.IsZero() {
		i.fast.fade(now.Sub(i.fadeAt), fastTime)
		i.slow.fade(now.Sub(i.fadeAt), slowTime)
	}
	i.fadeAt = now
}

// add counts requests that came just now.
func (i *interest) add(now time.Time, requests, tokens float64, goal time.Duration) {
	i.fade(now)
	i.fast.add(requests, tokens, fastTime)
	i.slow.add(requests, tokens, slowTime)
	i.lastAsk = now
	if goal > 0 && (i.goal == 0 || goal < i.goal) {
		i.goal = goal
	}
}

func (i *interest) waits(now time.Time) int {
	total := 0
	for _, w := range i.waiting {
		if now.Sub(w.at) < waitingAge {
			total += w.count
		}
	}
	return total
}

type nodeCounts struct {
	life  uint64
	asked map[dispatch.Wanted]Count
	// sinceStart is set where this leader has heard the node from its start on.
	// What another node counted before it was first heard is not new.
	sinceStart bool
	// isFirst is set while its first datagram is read.
	isFirst bool
}

// Counts rise from the start of a node. What a node counted for something that
// this leader had not heard of is mostly old: so many requests of it are taken
// for new in the node's first datagram, and in a later one.
const (
	newAtFirst = 1
	newLater   = 3
)

// added are the requests and prompt tokens that a node counted since it was last
// heard.
func (n *nodeCounts) added(count Count) (requests, tokens float64) {
	previous, heard := n.asked[count.Wanted]
	if count.Asked <= previous.Asked {
		return 0, 0
	}
	requests = float64(count.Asked - previous.Asked)
	tokens = float64(count.PromptTokens - min(previous.PromptTokens, count.PromptTokens))
	isNew := requests
	switch {
	case heard || n.sinceStart:
	case n.isFirst:
		isNew = min(requests, newAtFirst)
	default:
		isNew = min(requests, newLater)
	}
	return isNew, tokens * isNew / requests
}

// SetCounts takes the counts of a node; life is another after a restart.
func (c *Core) SetCounts(now time.Time, node string, life uint64, counts []Count) {
	known, ok := c.nodes[node]
	if !ok || known.life != life {
		known = &nodeCounts{life: life, asked: make(map[dispatch.Wanted]Count), sinceStart: ok, isFirst: !ok}
		c.nodes[node] = known
	}
	defer func() { known.isFirst = false }()
	for _, wanted := range c.interests {
		delete(wanted.waiting, node)
	}
	for _, count := range counts {
		added, tokens := known.added(count)
		known.asked[count.Wanted] = count
		wanted := c.interestIn(count.Wanted)
		if count.Waiting > 0 {
			wanted.waiting[node] = waiting{count: count.Waiting, at: now}
		}
		if added == 0 {
			continue
		}
		wanted.add(now, added, tokens, count.Goal)
		if count.Wanted.Adapter != "" {
			c.modelOf(count.Wanted).add(now, added, tokens, count.Goal)
		}
	}
}

// modelOf is the interest in an adapter's model.
func (c *Core) modelOf(wanted dispatch.Wanted) *interest {
	wanted.Adapter = ""
	return c.interestIn(wanted)
}

func (c *Core) interestIn(wanted dispatch.Wanted) *interest {
	known, ok := c.interests[wanted]
	if !ok {
		known = &interest{waiting: make(map[string]waiting)}
		c.interests[wanted] = known
	}
	return known
}

// countWaits counts once for a step what waits for each model, adapters
// included, and since when something does.
func (c *Core) countWaits(now time.Time) {
	c.waits = make(map[dispatch.Wanted]int)
	for wanted, known := range c.interests {
		waits := known.waits(now)
		if waits == 0 {
			known.waitingSince = time.Time{}
			continue
		}
		if known.waitingSince.IsZero() {
			known.waitingSince = now
		}
		c.waits[dispatch.Wanted{Service: wanted.Service, Model: wanted.Model}] += waits
	}
}

func (c *Core) waitsFor(service, model string) int {
	return c.waits[dispatch.Wanted{Service: service, Model: model}]
}

// stuckTime is how long requests wait beside a copy until it counts as out of
// their reach: its server may be down, cut off or refuse them.
const stuckTime = 400 * time.Millisecond

// isStuck reports whether requests wait though the leader knows a copy.
func (i *interest) isStuck(now time.Time) bool {
	return i != nil && !i.waitingSince.IsZero() && now.Sub(i.waitingSince) > stuckTime
}
