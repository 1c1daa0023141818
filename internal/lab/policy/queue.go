package policy

import (
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// queue has the requests that wait for one model, at all nodes.
type queue struct {
	model   int
	pending []*pending
	// asked are the zones that know of wants, refusedBy those that refused
	// until the time.
	asked     map[int]bool
	refusedBy map[int]time.Duration
	// starved counts the zones whose wants nobody could serve, until the time.
	starved map[int]time.Duration
	// repeatedAt is when the wants were last repeated to a zone.
	repeatedAt map[int]time.Duration
}

// pending is a request that waits.
type pending struct {
	*request
	// refusedUntil is when a refused caller comes again.
	refusedUntil time.Duration
}

const (
	repeatInterval  = time.Second
	refusalLifetime = 2 * time.Second
	starvedLifetime = 5 * time.Second
)

// nodeZone is the zone of a node.
func (w *world) nodeZone(node int) int { return node % len(w.zones) }

func (w *world) arrive(asked *request) {
	for _, zone := range w.zones {
		if zone.core != nil && w.record.Limit(w.facts[asked.model].Model, zone.name) > 0 {
			zone.arrived[asked.model]++
		}
	}
	waits := &pending{request: asked}
	if w.serve(waits) {
		return
	}
	queue := w.waiting[asked.model]
	queue.pending = append(queue.pending, waits)
	w.want(queue)
}

// serve starts the request at the replica with the least running.
func (w *world) serve(waits *pending) bool {
	var best *replica
	for _, engine := range w.engines {
		if !engine.up {
			continue
		}
		held := engine.find(waits.model)
		if held != nil && held.has(waits.adapter) && (best == nil || held.running < best.running) {
			best = held
		}
	}
	if best == nil {
		return false
	}
	w.figures.served(waits, w.now)
	w.count(best)
	best.running++
	w.after(waits.runs, func() {
		if best.engine.find(best.model) != best {
			return
		}
		w.count(best)
		best.running--
		w.freeWhenIdle(best)
	})
	return true
}

// dispatch serves what waits and can run now.
func (w *world) dispatch(model int) {
	queue := w.waiting[model]
	if len(queue.pending) == 0 {
		return
	}
	var left []*pending
	for _, waits := range queue.pending {
		if !w.serve(waits) {
			left = append(left, waits)
		}
	}
	queue.pending = left
	w.want(queue)
}

// target is the zone that a zone's wants go to: itself where it has allotment,
// else the one with the most that has not just refused; -1 for none.
func (q *queue) target(w *world, home int) int {
	model := w.facts[q.model].Model
	usable := func(index int) bool {
		zone := w.zones[index]
		return zone.core != nil && w.record.Limit(model, zone.name) > 0 && q.refusedBy[index] <= w.now
	}
	if usable(home) {
		return home
	}
	best := -1
	for index, zone := range w.zones {
		if usable(index) && (best < 0 || w.record.Limit(model, zone.name) > w.record.Limit(model, w.zones[best].name)) {
			best = index
		}
	}
	return best
}

type wantKey struct{ node, adapter int }

// wantsFor merges what waits at each node and goes to the zone.
func (q *queue) wantsFor(w *world, target int) []fleet.Want {
	var wants []fleet.Want
	index := make(map[wantKey]int)
	for _, waits := range q.pending {
		if q.target(w, w.nodeZone(waits.node)) != target {
			continue
		}
		key := wantKey{waits.node, waits.adapter}
		at, known := index[key]
		if !known {
			at = len(wants)
			index[key] = at
			want := fleet.Want{
				Model: w.facts[q.model].Model, Node: fleet.NodeName(fmt.Sprintf("node-%d", waits.node)),
				Zone: w.zones[w.nodeZone(waits.node)].name, Priority: w.trace.models[q.model].priority,
				Deadline: w.epoch.Add(waits.at + w.trace.models[q.model].deadline),
			}
			if waits.adapter >= 0 {
				want.Adapter = w.adapterFacts[waits.adapter].Adapter
			}
			wants = append(wants, want)
		}
		wants[at].Waiting++
	}
	return wants
}

// want tells the zones at once what waits; those that were told before and get
// nothing now learn that nothing waits.
func (w *world) want(queue *queue) {
	if queue.asked == nil {
		queue.asked, queue.repeatedAt = make(map[int]bool), make(map[int]time.Duration)
		queue.refusedBy, queue.starved = make(map[int]time.Duration), make(map[int]time.Duration)
	}
	for index, zone := range w.zones {
		wants := queue.wantsFor(w, index)
		switch {
		case zone.core == nil:
		case len(wants) > 0:
			queue.asked[index] = true
			queue.repeatedAt[index] = w.now
			// Not at once: what a core decides may come back to this queue.
			w.after(0, func() { zone.report(queue.clear(w, index, wants)) })
		case queue.asked[index]:
			delete(queue.asked, index)
			w.after(0, func() { zone.report(queue.clear(w, index, nil)) })
		}
	}
}

func (z *zone) report(wants []fleet.Want) {
	if z.core == nil {
		return
	}
	z.tell(placement.WantsReported{Wants: wants})
	z.schedule(busyTick)
}

// clear adds, for each node and adapter without a want, that nothing waits.
func (q *queue) clear(w *world, target int, wants []fleet.Want) []fleet.Want {
	type key struct {
		node    fleet.NodeName
		adapter fleet.AdapterName
	}
	present := make(map[key]bool, len(wants))
	for _, want := range wants {
		present[key{want.Node, want.Adapter}] = true
	}
	names := []fleet.AdapterName{""}
	for _, adapter := range w.trace.models[q.model].adapters {
		names = append(names, w.adapterFacts[adapter].Adapter)
	}
	for node := range w.trace.shape.NodesPerZone * len(w.zones) {
		for _, adapter := range names {
			name := fleet.NodeName(fmt.Sprintf("node-%d", node))
			if !present[key{name, adapter}] {
				wants = append(wants, fleet.Want{Model: w.facts[q.model].Model, Node: name, Adapter: adapter})
			}
		}
	}
	return wants
}

// repeated are the wants that the zone must hear again.
func (q *queue) repeated(z *zone) []fleet.Want {
	if len(q.pending) == 0 || z.world.now-q.repeatedAt[z.index] < repeatInterval {
		return nil
	}
	q.repeatedAt[z.index] = z.world.now
	wants := q.wantsFor(z.world, z.index)
	if len(wants) > 0 {
		q.asked[z.index] = true
	}
	return wants
}

// refused notes that a zone cannot load the model now. Where no other can,
// the callers are told and come again later.
func (w *world) refused(zone *zone, model int, wait time.Duration) {
	queue := w.waiting[model]
	queue.refusedBy[zone.index] = w.now + refusalLifetime
	for _, waits := range queue.pending {
		home := w.nodeZone(waits.node)
		if queue.target(w, home) >= 0 {
			continue
		}
		queue.starved[home] = w.now + starvedLifetime
		w.undecided = true
		if waits.refusedUntil <= w.now {
			waits.refusedUntil = w.now + wait
			w.figures.refuse(w.now)
		}
	}
}

func (q *queue) starvedZones(w *world) map[fleet.Zone]int {
	var starved map[fleet.Zone]int
	for index, until := range q.starved {
		if until > w.now {
			if starved == nil {
				starved = make(map[fleet.Zone]int)
			}
			starved[w.zones[index].name] = 1
		}
	}
	return starved
}
