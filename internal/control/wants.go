package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// demandKey names a demand: wants for one model that may run in the same regions.
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

// wantState is what the node knows of wants that others may have to serve.
type wantState struct {
	// reporters are the nodes that want a model, with when they last said so.
	reporters map[demandKey]map[fleet.NodeName]fleet.Want
	// forwarded is when wants for a model last went to another zone.
	forwarded map[demandKey]time.Time
	// remote are refusals of the zones that were asked.
	remote map[demandKey]remoteRefusal
	// starved counts what waits in a zone and could not be served, for the
	// decider.
	starved map[fleet.ModelVersion]map[fleet.Zone]time.Time
	// complained is when the decider was last told.
	complained map[demandKey]time.Time
	// lacking is since when a demand that may not run in this zone has no zone to go
	// to.
	lacking map[demandKey]time.Time
	// arrivals counts requests of this zone for models that only other zones
	// hold; those must learn that the model is in use.
	arrivals   map[fleet.ModelVersion]int
	arrivalsAt time.Time
	// own is what this node itself reported last, at ownAt.
	own   []fleet.Want
	ownAt time.Time
	// refusals are those of this step, by node.
	refusals map[fleet.NodeName][]fleet.LoadRefusal
	// reporting are the nodes whose report this step answers.
	reporting map[fleet.NodeName]bool
	// pushed is when a model was last refused to the zone unasked.
	pushed map[demandKey]time.Time
}

type remoteRefusal struct {
	fleet.LoadRefusal
	until time.Time
}

const (
	forwardInterval  = 500 * time.Millisecond
	complainInterval = time.Second
	arrivalsInterval = 2 * time.Second
	refusalLifetime  = 2 * time.Second
	starvedLifetime  = 5 * time.Second
	// ownReportAge is the age at which a node's report is not given out again:
	// what still waits is reported every second.
	ownReportAge = 1500 * time.Millisecond
)

func newWantState() wantState {
	return wantState{
		reporters:  make(map[demandKey]map[fleet.NodeName]fleet.Want),
		forwarded:  make(map[demandKey]time.Time),
		remote:     make(map[demandKey]remoteRefusal),
		lacking:    make(map[demandKey]time.Time),
		starved:    make(map[fleet.ModelVersion]map[fleet.Zone]time.Time),
		complained: make(map[demandKey]time.Time),
		arrivals:   make(map[fleet.ModelVersion]int),
		refusals:   make(map[fleet.NodeName][]fleet.LoadRefusal),
		reporting:  make(map[fleet.NodeName]bool),
		pushed:     make(map[demandKey]time.Time),
	}
}

// unserved is what the decider knows of zones whose wants no zone served.
func (w *wantState) unserved(now time.Time) map[fleet.ModelVersion]map[fleet.Zone]int {
	demand := make(map[fleet.ModelVersion]map[fleet.Zone]int)
	for model, zones := range w.starved {
		for zone, at := range zones {
			if now.Sub(at) > starvedLifetime {
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

// takeWants serves wants where this node leads, else passes them to the leader.
func (c *Core) takeWants(reported WantsReported) {
	if reported.From == c.options.Self {
		c.keepOwn(reported.Wants)
	}
	if !c.leader.Leading() {
		c.passToLeader(reported)
		return
	}
	if reported.Forwarded && c.noteStarved(reported.Wants) {
		return
	}
	for _, want := range reported.Wants {
		c.wants.note(want)
		c.wants.reporting[want.Node] = true
		if reported.Forwarded {
			continue
		}
		c.countArrivals(want)
		if refusal, found := c.wants.remote[keyOf(want)]; found && c.now.Before(refusal.until) && want.Waiting > 0 {
			c.refuse(want.Node, refusal.LoadRefusal)
		}
	}
	c.serveWants(reported.Wants, reported.Forwarded)
}

func (w *wantState) note(want fleet.Want) {
	key := keyOf(want)
	if want.Waiting == 0 {
		delete(w.reporters[key], want.Node)
		if len(w.reporters[key]) == 0 {
			delete(w.lacking, key)
		}
		return
	}
	if w.reporters[key] == nil {
		w.reporters[key] = make(map[fleet.NodeName]fleet.Want)
	}
	w.reporters[key][want.Node] = want
}

// noteStarved takes wants that came from another zone although that zone has
// allotment or was refused: they tell the decider where replicas are missing.
// It reports whether this zone cannot serve any of them.
func (c *Core) noteStarved(wants []fleet.Want) bool {
	useless := true
	for _, want := range wants {
		if c.record.Record.Limit(want.Model, c.options.Zone) > 0 && c.allows(want.Regions, c.options.Zone) {
			useless = false
			continue
		}
		if want.Waiting > 0 {
			c.starve(want.Model, c.lackingZone(keyOf(want), want.Zone))
		}
	}
	return useless
}

// keepWants holds wants that came while a round is being claimed.
func (c *Core) keepWants(reported WantsReported) {
	for _, want := range reported.Wants {
		c.wants.note(want)
	}
	c.serveWants(reported.Wants, reported.Forwarded)
}

// keepOwn keeps what this node reports for a leader that takes over.
func (c *Core) keepOwn(wants []fleet.Want) {
	c.wants.own, c.wants.ownAt = slices.Clone(wants), c.now
	for index := range c.wants.own {
		// Arrivals count once.
		c.wants.own[index].Arrivals = 0
	}
}

// reportAgain gives a new leader of the zone what was last reported to the one
// before, instead of letting it wait for the next report.
func (c *Core) reportAgain(leader fleet.NodeName) {
	if len(c.wants.own) == 0 || c.now.Sub(c.wants.ownAt) >= ownReportAge {
		return
	}
	if leader == c.options.Self {
		c.keepWants(WantsReported{From: leader, Wants: c.wants.own})
	} else if member, found := c.members[leader]; found {
		c.emit(ForwardWants{To: member, Wants: c.wants.own})
	}
}

// passToLeader passes on what this node wants itself and what another zone
// sent. What comes from the own zone is not passed on again: two nodes that take
// each other for the leader would pass it back and forth.
func (c *Core) passToLeader(reported WantsReported) {
	name := c.candidate()
	if reported.From != c.options.Self && c.members[reported.From].Zone == c.options.Zone && name != c.options.Self {
		return
	}
	if name == c.options.Self {
		// They are served once the round is established.
		c.keepWants(reported)
		return
	}
	member, found := c.members[name]
	if !found {
		return
	}
	c.emit(ForwardWants{To: member, Wants: reported.Wants, Forwarded: reported.Forwarded})
}
