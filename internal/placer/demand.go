package placer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// Demand aggregates the request counts reported by all nodes. Every node maintains one, so that a
// new leader knows the demand before its term. It is not safe for concurrent use.
type Demand struct {
	records map[dispatch.Requirements]*demandRecord
	nodes   map[string]*nodeCounts
	// waiting is the number of requests waiting for each model, by constraint, as of the
	// last step.
	waiting map[dispatch.Requirements]int
	// activeAdapters is the number of adapters in demand for each model, by constraint, as
	// of the last step.
	activeAdapters map[dispatch.Requirements]int
}

// NewDemand returns an empty Demand.
func NewDemand() *Demand {
	return &Demand{records: make(map[dispatch.Requirements]*demandRecord), nodes: make(map[string]*nodeCounts)}
}

// nodeCounts holds the counts last reported by one node.
type nodeCounts struct {
	incarnation uint64
	// counts is keyed by record rather than by requirements, so that names are not stored once
	// per node.
	counts map[*demandRecord]previousCount
	// lastSeen is when the node last reported.
	lastSeen time.Time
	// waiting are the records for which the node has waiting requests.
	waiting []*demandRecord
	// seenFromStart is set if the node has been observed since its start. Otherwise, what it
	// counted before its first report here is not new.
	seenFromStart bool
	// isFirstUpdate is set while the first report of the node is processed.
	isFirstUpdate bool
	// former are the counts of the process that reported before this one, whose reports may still come.
	former *nodeCounts
}

// previousCount is the last count that a node reported for one record.
type previousCount struct {
	requests uint64
	tokens   uint64
}

// Counts are cumulative from the start of a node. When a node reports a count for something it
// had not reported before, most of it is old: only this many requests are taken as new, in the
// first report of the node and in a later one.
const (
	maxNewInFirstUpdate = 1
	maxNewInLaterUpdate = 3
)

// newRequests returns the requests and prompt tokens that a node counted since its last report.
func (n *nodeCounts) newRequests(record *demandRecord, count RequestCount) (requests, tokens float64) {
	previous, isCounted := n.counts[record]
	if count.Requests <= previous.requests {
		return 0, 0
	}
	requests = float64(count.Requests - previous.requests)
	tokens = float64(count.PromptTokens - min(previous.tokens, count.PromptTokens))
	recent := requests
	switch {
	case isCounted || n.seenFromStart:
	case n.isFirstUpdate:
		recent = min(requests, maxNewInFirstUpdate)
	default:
		recent = min(requests, maxNewInLaterUpdate)
	}
	return recent, tokens * recent / requests
}

// SetCounts applies the counts reported by a node. The incarnation changes when the node
// restarts. Reports may come late or twice: a count that is lower than a known one is an earlier one.
func (d *Demand) SetCounts(now time.Time, node string, incarnation uint64, counts []RequestCount) {
	state := d.nodeState(node, incarnation)
	state.lastSeen = now
	for _, record := range state.waiting {
		delete(record.waiting, node)
	}
	state.waiting = state.waiting[:0]
	for _, count := range counts {
		d.applyCount(now, node, state, count)
	}
	state.isFirstUpdate = false
}

// nodeState returns the state of a node in an incarnation; a new incarnation starts with empty
// counts, and the one before goes on with its own.
func (d *Demand) nodeState(node string, incarnation uint64) *nodeCounts {
	existing, ok := d.nodes[node]
	if ok && existing.incarnation == incarnation {
		return existing
	}
	current := &nodeCounts{incarnation: incarnation, counts: make(map[*demandRecord]previousCount), seenFromStart: ok, isFirstUpdate: !ok}
	if ok {
		if existing.former != nil && existing.former.incarnation == incarnation {
			current = existing.former
		}
		current.waiting, current.former = existing.waiting, existing
		existing.waiting, existing.former = nil, nil
	}
	d.nodes[node] = current
	return current
}

// applyCount adds what is new in a count, for an adapter also to the record of its model.
func (d *Demand) applyCount(now time.Time, node string, state *nodeCounts, count RequestCount) {
	record := d.recordFor(count.Requirements)
	requests, tokens := state.newRequests(record, count)
	known := state.counts[record]
	state.counts[record] = previousCount{requests: max(known.requests, count.Requests), tokens: max(known.tokens, count.PromptTokens)}
	if count.Waiting > 0 {
		record.waiting[node] = waitingCount{count: count.Waiting, receivedAt: now}
		state.waiting = append(state.waiting, record)
	}
	if requests == 0 {
		return
	}
	record.add(now, requests, tokens, count.LatencyGoal, count.Region)
	if count.Requirements.Adapter != "" {
		d.modelRecord(count.Requirements).add(now, requests, tokens, count.LatencyGoal, count.Region)
	}
}

// modelRecord returns the record of an adapter's model.
func (d *Demand) modelRecord(requirements dispatch.Requirements) *demandRecord {
	return d.recordFor(ofModel(requirements))
}

// ofModel returns the requirements without the adapter.
func ofModel(requirements dispatch.Requirements) dispatch.Requirements {
	requirements.Adapter = ""
	return requirements
}

// recordFor returns the record for the requirements, and creates it if there is none.
func (d *Demand) recordFor(requirements dispatch.Requirements) *demandRecord {
	record, ok := d.records[requirements]
	if !ok {
		record = &demandRecord{waiting: make(map[string]waitingCount)}
		d.records[requirements] = record
	}
	return record
}

const (
	// demandRecordTTL is how long a record is kept after its last request.
	demandRecordTTL = 90 * time.Second
	// nodeStateTTL is how long the counts of a node are kept after its last report.
	nodeStateTTL = 60 * time.Second
)

// Prune removes expired records and nodes.
func (d *Demand) Prune(now time.Time) {
	for requirements, record := range d.records {
		if now.Sub(record.lastRequest) > demandRecordTTL && record.waitingRequests(now) == 0 {
			delete(d.records, requirements)
			d.forget(record)
		}
	}
	for node, state := range d.nodes {
		if now.Sub(state.lastSeen) > nodeStateTTL {
			delete(d.nodes, node)
		}
		if state.former != nil && now.Sub(state.former.lastSeen) > nodeStateTTL {
			state.former = nil
		}
	}
}

// forget removes the counts of all nodes for a record.
func (d *Demand) forget(record *demandRecord) {
	for _, state := range d.nodes {
		delete(state.counts, record)
		if state.former != nil {
			delete(state.former.counts, record)
		}
	}
}

// refreshTotals computes, once per step, the number of waiting requests for each model including
// its adapters, the time since when requests have been waiting, and the number of adapters in
// demand.
func (d *Demand) refreshTotals(now time.Time) {
	d.waiting = make(map[dispatch.Requirements]int)
	d.activeAdapters = make(map[dispatch.Requirements]int)
	for requirements, record := range d.records {
		if requirements.Adapter != "" && now.Sub(record.lastRequest) < adapterDemandTTL {
			d.activeAdapters[ofModel(requirements)]++
		}
		waiting := record.waitingRequests(now)
		if waiting == 0 {
			record.waitingSince = time.Time{}
			continue
		}
		if record.waitingSince.IsZero() {
			record.waitingSince = now
		}
		d.waiting[ofModel(requirements)] += waiting
	}
}

// waitingFor returns the number of requests without a constraint that wait for a model.
func (d *Demand) waitingFor(service, model string) int {
	return d.waiting[dispatch.Requirements{Service: service, Model: model}]
}
