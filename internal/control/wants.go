package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// demandKey identifies wants for the same model that may run in the same
// regions.
type demandKey struct {
	model   fleet.ModelVersion
	regions fleet.Regions
}

func keyOf(want fleet.Want) demandKey { return demandKey{want.Model, want.Regions} }

func keyOfRefusal(refusal fleet.LoadRefusal) demandKey {
	return demandKey{refusal.Model, refusal.Regions}
}

func compareKeys(a, b demandKey) int {
	return cmp.Or(a.model.Compare(b.model), cmp.Compare(a.regions, b.regions))
}

// wantState tracks the wants that this or other nodes may have to serve.
type wantState struct {
	// reporters holds the last want of each node that waits for a model.
	reporters map[demandKey]map[fleet.NodeName]fleet.Want
	// forwardedAt is when wants were last forwarded to another zone.
	forwardedAt map[demandKey]time.Time
	// remoteRefusals are the refusals of zones that wants were forwarded to.
	remoteRefusals map[demandKey]remoteRefusal
	// unservedAt is when wants of a zone last could not be served; the
	// coordinator uses it as demand.
	unservedAt map[fleet.ModelVersion]map[fleet.Zone]time.Time
	// unservedReportedAt is when unserved wants were last reported to the
	// coordinator.
	unservedReportedAt map[demandKey]time.Time
	// noTargetSince is since when a want that may not run in this zone has had
	// no zone to be forwarded to.
	noTargetSince map[demandKey]time.Time
	// arrivalCounts counts this zone's requests for models that only other zones
	// hold; those zones must learn that the models are in use.
	arrivalCounts      map[fleet.ModelVersion]int
	arrivalsReportedAt time.Time
	// lastReport is what this node itself last reported, at lastReportAt.
	lastReport   []fleet.Want
	lastReportAt time.Time
	// queuedRefusals are the refusals of the current step by node.
	queuedRefusals map[fleet.NodeName][]fleet.LoadRefusal
	// awaitingReply are the nodes whose report the current step answers.
	awaitingReply map[fleet.NodeName]bool
	// pushedAt is when a refusal of the model was last pushed to the zone's
	// nodes.
	pushedAt map[demandKey]time.Time
}

type remoteRefusal struct {
	fleet.LoadRefusal
	until time.Time
}

const (
	forwardInterval        = 500 * time.Millisecond
	unservedReportInterval = time.Second
	arrivalsReportInterval = 2 * time.Second
	refusalLifetime        = 2 * time.Second
	unservedLifetime       = 5 * time.Second
	// maxOwnReportAge is the age from which a node's report is not sent again:
	// requests that still wait are reported every second.
	maxOwnReportAge = 1500 * time.Millisecond
)

func newWantState() wantState {
	return wantState{
		reporters:          make(map[demandKey]map[fleet.NodeName]fleet.Want),
		forwardedAt:        make(map[demandKey]time.Time),
		remoteRefusals:     make(map[demandKey]remoteRefusal),
		noTargetSince:      make(map[demandKey]time.Time),
		unservedAt:         make(map[fleet.ModelVersion]map[fleet.Zone]time.Time),
		unservedReportedAt: make(map[demandKey]time.Time),
		arrivalCounts:      make(map[fleet.ModelVersion]int),
		queuedRefusals:     make(map[fleet.NodeName][]fleet.LoadRefusal),
		awaitingReply:      make(map[fleet.NodeName]bool),
		pushedAt:           make(map[demandKey]time.Time),
	}
}

// unserved returns the demand of zones whose wants no zone has served lately.
func (w *wantState) unserved(now time.Time) map[fleet.ModelVersion]map[fleet.Zone]int {
	demand := make(map[fleet.ModelVersion]map[fleet.Zone]int)
	for model, zones := range w.unservedAt {
		for zone, at := range zones {
			if now.Sub(at) > unservedLifetime {
				delete(zones, zone)
				continue
			}
			if demand[model] == nil {
				demand[model] = make(map[fleet.Zone]int)
			}
			demand[model][zone] = 1
		}
	}
	return demand
}

// handleWants serves wants if this node leads, otherwise forwards them to the
// leader.
func (c *Core) handleWants(reported WantsReported) {
	if reported.From == c.options.Self {
		c.keepOwnReport(reported.Wants)
	}
	if !c.leader.Leading() {
		c.forwardToLeader(reported)
		return
	}
	if reported.Forwarded && c.noteUnservedWants(reported.Wants) {
		return
	}
	for _, want := range reported.Wants {
		c.wants.record(want)
		c.wants.awaitingReply[want.Node] = true
		if reported.Forwarded {
			continue
		}
		c.countArrivals(want)
		if refusal, found := c.wants.remoteRefusals[keyOf(want)]; found && c.now.Before(refusal.until) && want.Waiting > 0 {
			c.queueRefusal(want.Node, refusal.LoadRefusal)
		}
	}
	c.serveWants(reported.Wants, reported.Forwarded)
}

func (w *wantState) record(want fleet.Want) {
	key := keyOf(want)
	if want.Waiting == 0 {
		delete(w.reporters[key], want.Node)
		if len(w.reporters[key]) == 0 {
			delete(w.noTargetSince, key)
		}
		return
	}
	if w.reporters[key] == nil {
		w.reporters[key] = make(map[fleet.NodeName]fleet.Want)
	}
	w.reporters[key][want.Node] = want
}

// noteUnservedWants records wants from another zone that has allotment itself
// or was refused by the zone that it asked: they tell the coordinator where
// replicas are missing. It reports whether this zone cannot serve any of them.
func (c *Core) noteUnservedWants(wants []fleet.Want) bool {
	noneServable := true
	for _, want := range wants {
		if c.record.Record.Limit(want.Model, c.options.Zone) > 0 && c.allows(want.Regions, c.options.Zone) {
			noneServable = false
			continue
		}
		if want.Waiting > 0 {
			c.noteUnserved(want.Model, c.shortageZone(keyOf(want), want.Zone))
		}
	}
	return noneServable
}

// holdWants keeps wants that arrive while a round is still being established.
func (c *Core) holdWants(reported WantsReported) {
	for _, want := range reported.Wants {
		c.wants.record(want)
	}
	c.serveWants(reported.Wants, reported.Forwarded)
}

// keepOwnReport keeps this node's report for a leader that takes over.
func (c *Core) keepOwnReport(wants []fleet.Want) {
	c.wants.lastReport, c.wants.lastReportAt = slices.Clone(wants), c.now
	for index := range c.wants.lastReport {
		// Arrivals must be counted only once.
		c.wants.lastReport[index].Arrivals = 0
	}
}

// resendReport sends the last report to a new leader of the zone so that it
// does not have to wait for the next one.
func (c *Core) resendReport(leader fleet.NodeName) {
	if len(c.wants.lastReport) == 0 || c.now.Sub(c.wants.lastReportAt) >= maxOwnReportAge {
		return
	}
	if leader == c.options.Self {
		c.holdWants(WantsReported{From: leader, Wants: c.wants.lastReport})
	} else if member, found := c.members[leader]; found {
		c.emit(ForwardWants{To: member, Wants: c.wants.lastReport})
	}
}

// forwardToLeader forwards this node's own wants and those from other zones.
// Wants from another node of the zone are not forwarded: two nodes that each
// take the other for the leader would send them back and forth.
func (c *Core) forwardToLeader(reported WantsReported) {
	name := c.candidate()
	if reported.From != c.options.Self && c.members[reported.From].Zone == c.options.Zone && name != c.options.Self {
		return
	}
	if name == c.options.Self {
		// The wants are served once the round is established.
		c.holdWants(reported)
		return
	}
	member, found := c.members[name]
	if !found {
		return
	}
	c.emit(ForwardWants{To: member, Wants: reported.Wants, Forwarded: reported.Forwarded})
}
