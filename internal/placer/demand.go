package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// Demand is what all nodes together want, from the counts that each tells. Every
// node keeps one, so that a new leader knows what was wanted before its term. It
// is not safe for concurrent use.
type Demand struct {
	interests map[dispatch.Requirements]*interest
	nodes     map[string]*nodeCounts
	// waits are the requests that wait for each model in the same regions, as of the last
	// step.
	waits map[dispatch.Requirements]int
	// variety is the number of adapters of each model that are asked for in the same
	// regions, as of the last step.
	variety map[dispatch.Requirements]int
}

// NewDemand returns the demand of nobody.
func NewDemand() *Demand {
	return &Demand{interests: make(map[dispatch.Requirements]*interest), nodes: make(map[string]*nodeCounts)}
}

type nodeCounts struct {
	life uint64
	// asked is by what is wanted: names would be kept once for each node.
	asked map[*interest]counted
	// heardAt is when the node was last heard.
	heardAt time.Time
	// waits are what requests wait for there.
	waits []*interest
	// sinceStart is set where the node was heard from its start on.
	// What another node counted before it was first heard is not new.
	sinceStart bool
	// isFirst is set while its first datagram is read.
	isFirst bool
}

// counted is what a node told last of one thing.
type counted struct {
	requests uint64
	tokens   uint64
}

// Counts rise from the start of a node. What a node counted for something that
// this one had not heard of is mostly old: so many requests of it are taken
// for new in the node's first datagram, and in a later one.
const (
	newAtFirst = 1
	newLater   = 3
)

// added are the requests and prompt tokens that a node counted since it was last
// heard.
func (n *nodeCounts) added(wanted *interest, count RequestCount) (requests, tokens float64) {
	previous, heard := n.asked[wanted]
	if count.Requests <= previous.requests {
		return 0, 0
	}
	requests = float64(count.Requests - previous.requests)
	tokens = float64(count.PromptTokens - min(previous.tokens, count.PromptTokens))
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
func (d *Demand) SetCounts(now time.Time, node string, life uint64, counts []RequestCount) {
	known := d.nodeOf(node, life)
	known.heardAt = now
	for _, wanted := range known.waits {
		delete(wanted.waiting, node)
	}
	known.waits = known.waits[:0]
	for _, count := range counts {
		d.take(now, node, known, count)
	}
	known.isFirst = false
}

func (d *Demand) nodeOf(node string, life uint64) *nodeCounts {
	known, ok := d.nodes[node]
	if ok && known.life == life {
		return known
	}
	fresh := &nodeCounts{life: life, asked: make(map[*interest]counted), sinceStart: ok, isFirst: !ok}
	if ok {
		fresh.waits = known.waits
	}
	d.nodes[node] = fresh
	return fresh
}

func (d *Demand) take(now time.Time, node string, known *nodeCounts, count RequestCount) {
	wanted := d.interestIn(count.Requirements)
	added, tokens := known.added(wanted, count)
	known.asked[wanted] = counted{requests: count.Requests, tokens: count.PromptTokens}
	if count.Waiting > 0 {
		wanted.waiting[node] = waiting{count: count.Waiting, at: now}
		known.waits = append(known.waits, wanted)
	}
	if added == 0 {
		return
	}
	wanted.add(now, added, tokens, count.LatencyGoal, count.Region)
	if count.Requirements.Adapter != "" {
		d.modelOf(count.Requirements).add(now, added, tokens, count.LatencyGoal, count.Region)
	}
}

// modelOf is the interest in an adapter's model.
func (d *Demand) modelOf(wanted dispatch.Requirements) *interest {
	wanted.Adapter = ""
	return d.interestIn(wanted)
}

func (d *Demand) interestIn(wanted dispatch.Requirements) *interest {
	known, ok := d.interests[wanted]
	if !ok {
		known = &interest{waiting: make(map[string]waiting)}
		d.interests[wanted] = known
	}
	return known
}

const (
	// interestKept is how long what nobody asks for is remembered.
	interestKept = 90 * time.Second
	// nodeKept is how long a silent node's counts are remembered.
	nodeKept = 60 * time.Second
)

// Prune forgets what is long silent.
func (d *Demand) Prune(now time.Time) {
	for wanted, known := range d.interests {
		if now.Sub(known.lastAsk) > interestKept && known.waits(now) == 0 {
			delete(d.interests, wanted)
			d.forget(known)
		}
	}
	for node, known := range d.nodes {
		if now.Sub(known.heardAt) > nodeKept {
			delete(d.nodes, node)
		}
	}
}

func (d *Demand) forget(wanted *interest) {
	for _, known := range d.nodes {
		delete(known.asked, wanted)
	}
}

// countWaits counts once for a step what waits for each model, adapters
// included, and since when something does; and how many adapters are asked for.
func (d *Demand) countWaits(now time.Time) {
	d.waits = make(map[dispatch.Requirements]int)
	d.variety = make(map[dispatch.Requirements]int)
	for wanted, known := range d.interests {
		if wanted.Adapter != "" && now.Sub(known.lastAsk) < adapterInterest {
			d.variety[dispatch.Requirements{Service: wanted.Service, Model: wanted.Model, Regions: wanted.Regions}]++
		}
		waits := known.waits(now)
		if waits == 0 {
			known.waitingSince = time.Time{}
			continue
		}
		if known.waitingSince.IsZero() {
			known.waitingSince = now
		}
		d.waits[dispatch.Requirements{Service: wanted.Service, Model: wanted.Model, Regions: wanted.Regions}] += waits
	}
}

func (d *Demand) waitsFor(service, model string) int {
	return d.waits[dispatch.Requirements{Service: service, Model: model}]
}
