package policy

import (
	"fmt"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// queue holds the requests of all nodes that wait for one model.
type queue struct {
	model   int
	pending []*pendingRequest
	// reportedTo are the zones that have been told of wants; refusedUntil holds,
	// by zone, when a refusal expires.
	reportedTo   map[int]bool
	refusedUntil map[int]time.Duration
	// starvedUntil holds, by zone, until when its wants count as starved because
	// no zone could serve them.
	starvedUntil map[int]time.Duration
	// repeatedAt is when the wants were last reported to each zone.
	repeatedAt map[int]time.Duration
}

// pendingRequest is a waiting request.
type pendingRequest struct {
	*request
	// retryAt is when a refused caller retries.
	retryAt time.Duration
}

const (
	repeatInterval     = time.Second
	refusalLifetime    = 2 * time.Second
	starvationLifetime = 5 * time.Second
)

// nodeZone returns the index of a node's zone.
func (w *simulation) nodeZone(node int) int { return node % len(w.zones) }

func (w *simulation) arrive(arrived *request) {
	for _, zone := range w.zones {
		if zone.core != nil && w.record.Limit(w.models[arrived.model].Model, zone.name) > 0 {
			zone.arrived[arrived.model]++
		}
	}
	pending := &pendingRequest{request: arrived}
	if w.serve(pending) {
		return
	}
	queue := w.queues[arrived.model]
	queue.pending = append(queue.pending, pending)
	w.reportWants(queue)
}

// serve starts the request at the replica with the fewest running requests.
func (w *simulation) serve(pending *pendingRequest) bool {
	var best *replica
	for _, engine := range w.engines {
		if !engine.up {
			continue
		}
		held := engine.findReplica(pending.model)
		if held != nil && held.canServe(pending.adapter) && (best == nil || held.running < best.running) {
			best = held
		}
	}
	if best == nil {
		return false
	}
	w.statistics.recordStart(pending, w.now)
	w.recordReplicaTime(best)
	best.running++
	w.scheduleAfter(pending.serviceTime, func() {
		if best.engine.findReplica(best.model) != best {
			return
		}
		w.recordReplicaTime(best)
		best.running--
		w.freeWhenIdle(best)
	})
	return true
}

// dispatch starts the waiting requests that can run now.
func (w *simulation) dispatch(model int) {
	queue := w.queues[model]
	if len(queue.pending) == 0 {
		return
	}
	var left []*pendingRequest
	for _, pending := range queue.pending {
		if !w.serve(pending) {
			left = append(left, pending)
		}
	}
	queue.pending = left
	w.reportWants(queue)
}

// targetZone returns the zone that gets the wants of the home zone: the home zone
// if it has an allotment, otherwise the zone with the largest allotment. Zones
// that refused recently are left out; -1 means no zone.
func (q *queue) targetZone(w *simulation, home int) int {
	model := w.models[q.model].Model
	usable := func(index int) bool {
		zone := w.zones[index]
		return zone.core != nil && w.record.Limit(model, zone.name) > 0 && q.refusedUntil[index] <= w.now
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

// wantsFor returns the wants for the target zone, one for each node and adapter.
func (q *queue) wantsFor(w *simulation, target int) []fleet.Want {
	var wants []fleet.Want
	index := make(map[wantKey]int)
	for _, pending := range q.pending {
		if q.targetZone(w, w.nodeZone(pending.node)) != target {
			continue
		}
		key := wantKey{pending.node, pending.adapter}
		at, known := index[key]
		if !known {
			at = len(wants)
			index[key] = at
			want := fleet.Want{
				Model: w.models[q.model].Model, Node: fleet.NodeName(fmt.Sprintf("node-%d", pending.node)),
				Zone: w.zones[w.nodeZone(pending.node)].name, Priority: w.trace.models[q.model].priority,
				Deadline: w.epoch.Add(pending.at + w.trace.models[q.model].deadline),
			}
			if pending.adapter >= 0 {
				want.Adapter = w.adapters[pending.adapter].Adapter
			}
			wants = append(wants, want)
		}
		wants[at].Waiting++
	}
	return wants
}

// reportWants reports the waiting requests to the zones. Zones that had wants
// before and have none now get wants with a count of zero.
func (w *simulation) reportWants(queue *queue) {
	if queue.reportedTo == nil {
		queue.reportedTo, queue.repeatedAt = make(map[int]bool), make(map[int]time.Duration)
		queue.refusedUntil, queue.starvedUntil = make(map[int]time.Duration), make(map[int]time.Duration)
	}
	for index, zone := range w.zones {
		wants := queue.wantsFor(w, index)
		switch {
		case zone.core == nil:
		case len(wants) > 0:
			queue.reportedTo[index] = true
			queue.repeatedAt[index] = w.now
			// Deferred, because the effects of the core's step may change this queue.
			w.scheduleAfter(0, func() { zone.report(queue.appendZeroWants(w, index, wants)) })
		case queue.reportedTo[index]:
			delete(queue.reportedTo, index)
			w.scheduleAfter(0, func() { zone.report(queue.appendZeroWants(w, index, nil)) })
		}
	}
}

func (z *zone) report(wants []fleet.Want) {
	if z.core == nil {
		return
	}
	z.step(placement.WantsReported{Wants: wants})
	z.schedulePlan(busyPlanInterval)
}

// appendZeroWants adds a want with a count of zero for each node and adapter
// without one.
func (q *queue) appendZeroWants(w *simulation, target int, wants []fleet.Want) []fleet.Want {
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
		names = append(names, w.adapters[adapter].Adapter)
	}
	for node := range w.trace.shape.NodesPerZone * len(w.zones) {
		for _, adapter := range names {
			name := fleet.NodeName(fmt.Sprintf("node-%d", node))
			if !present[key{name, adapter}] {
				wants = append(wants, fleet.Want{Model: w.models[q.model].Model, Node: name, Adapter: adapter})
			}
		}
	}
	return wants
}

// dueWants returns the wants that are due to be reported to the zone again.
func (q *queue) dueWants(z *zone) []fleet.Want {
	if len(q.pending) == 0 || z.simulation.now-q.repeatedAt[z.index] < repeatInterval {
		return nil
	}
	q.repeatedAt[z.index] = z.simulation.now
	wants := q.wantsFor(z.simulation, z.index)
	if len(wants) > 0 {
		q.reportedTo[z.index] = true
	}
	return wants
}

// handleRefusal records that a zone can't load the model now. If no other zone
// can, the callers are refused and retry later.
func (w *simulation) handleRefusal(zone *zone, model int, wait time.Duration) {
	queue := w.queues[model]
	queue.refusedUntil[zone.index] = w.now + refusalLifetime
	for _, pending := range queue.pending {
		home := w.nodeZone(pending.node)
		if queue.targetZone(w, home) >= 0 {
			continue
		}
		queue.starvedUntil[home] = w.now + starvationLifetime
		w.allotmentsStale = true
		if pending.retryAt <= w.now {
			pending.retryAt = w.now + wait
			w.statistics.recordRefusal(w.now)
		}
	}
}

// starvedZones returns the zones whose wants no zone could serve recently.
func (q *queue) starvedZones(w *simulation) map[fleet.Zone]int {
	var starved map[fleet.Zone]int
	for index, until := range q.starvedUntil {
		if until > w.now {
			if starved == nil {
				starved = make(map[fleet.Zone]int)
			}
			starved[w.zones[index].name] = 1
		}
	}
	return starved
}
