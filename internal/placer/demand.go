package placer

import (
	"math"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// interest is what all nodes together want of one thing.
type interest struct {
	// rate is requests in a second, faded over rateTime.
	rate   float64
	tokens float64
	fadeAt time.Time
	// lastAsk is when the last request came.
	lastAsk time.Time
	// waiting are requests that have no server now, by node.
	waiting map[string]waiting
}

type waiting struct {
	count int
	at    time.Time
}

const (
	// rateTime is the time over which rates fade.
	rateTime = 3 * time.Second
	// waitingAge is how long a node's word of its waiting requests is believed.
	waitingAge = 1500 * time.Millisecond
)

func (i *interest) fade(now time.Time) {
	if !i.fadeAt.IsZero() {
		keep := math.Exp(-now.Sub(i.fadeAt).Seconds() / rateTime.Seconds())
		i.rate *= keep
		i.tokens *= keep
	}
	i.fadeAt = now
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
}

// SetCounts takes the counts of a node; life is another after a restart.
func (c *Core) SetCounts(now time.Time, node string, life uint64, counts []Count) {
	known, ok := c.nodes[node]
	if !ok || known.life != life {
		known = &nodeCounts{life: life, asked: make(map[dispatch.Wanted]Count)}
		c.nodes[node] = known
	}
	for _, wanted := range c.interests {
		delete(wanted.waiting, node)
	}
	for _, count := range counts {
		previous := known.asked[count.Wanted]
		known.asked[count.Wanted] = count
		wanted := c.interestIn(count.Wanted)
		if count.Waiting > 0 {
			wanted.waiting[node] = waiting{count: count.Waiting, at: now}
		}
		if count.Asked <= previous.Asked {
			continue
		}
		added := float64(count.Asked - previous.Asked)
		tokens := float64(count.PromptTokens - min(previous.PromptTokens, count.PromptTokens))
		wanted.fade(now)
		wanted.rate += added / rateTime.Seconds()
		wanted.tokens += tokens / rateTime.Seconds()
		wanted.lastAsk = now
		if count.Wanted.Adapter != "" {
			c.addToModel(now, count.Wanted, added, tokens)
		}
	}
}

// addToModel counts a request for an adapter as one for its model too.
func (c *Core) addToModel(now time.Time, wanted dispatch.Wanted, added, tokens float64) {
	wanted.Adapter = ""
	model := c.interestIn(wanted)
	model.fade(now)
	model.rate += added / rateTime.Seconds()
	model.tokens += tokens / rateTime.Seconds()
	model.lastAsk = now
}

func (c *Core) interestIn(wanted dispatch.Wanted) *interest {
	known, ok := c.interests[wanted]
	if !ok {
		known = &interest{waiting: make(map[string]waiting)}
		c.interests[wanted] = known
	}
	return known
}

// waitsFor counts the requests that wait for a model, adapters included.
func (c *Core) waitsFor(now time.Time, service, model string) int {
	total := 0
	for wanted, known := range c.interests {
		if wanted.Service == service && wanted.Model == model {
			total += known.waits(now)
		}
	}
	return total
}
