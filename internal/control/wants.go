package control

import (
	"maps"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// wantState is what the node knows of wants that others may have to serve.
type wantState struct {
	// reporters are the nodes that want a model, with when they last said so.
	reporters map[fleet.ModelVersion]map[fleet.NodeName]fleet.Want
	// forwarded is when wants for a model last went to another zone.
	forwarded map[fleet.ModelVersion]time.Time
	// remote are refusals of the zones that were asked.
	remote map[fleet.ModelVersion]remoteRefusal
	// starved counts what waits in a zone and could not be served, for the
	// decider.
	starved map[fleet.ModelVersion]map[fleet.Zone]time.Time
	// complained is when the decider was last told.
	complained map[fleet.ModelVersion]time.Time
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
	pushed map[fleet.ModelVersion]time.Time
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
		reporters:  make(map[fleet.ModelVersion]map[fleet.NodeName]fleet.Want),
		forwarded:  make(map[fleet.ModelVersion]time.Time),
		remote:     make(map[fleet.ModelVersion]remoteRefusal),
		starved:    make(map[fleet.ModelVersion]map[fleet.Zone]time.Time),
		complained: make(map[fleet.ModelVersion]time.Time),
		arrivals:   make(map[fleet.ModelVersion]int),
		refusals:   make(map[fleet.NodeName][]fleet.LoadRefusal),
		reporting:  make(map[fleet.NodeName]bool),
		pushed:     make(map[fleet.ModelVersion]time.Time),
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
		if refusal, found := c.wants.remote[want.Model]; found && c.now.Before(refusal.until) && want.Waiting > 0 {
			c.refuse(want.Node, refusal.LoadRefusal)
		}
	}
	c.stepPlacement(placement.WantsReported{Wants: reported.Wants})
}

func (w *wantState) note(want fleet.Want) {
	if want.Waiting == 0 {
		delete(w.reporters[want.Model], want.Node)
		return
	}
	if w.reporters[want.Model] == nil {
		w.reporters[want.Model] = make(map[fleet.NodeName]fleet.Want)
	}
	w.reporters[want.Model][want.Node] = want
}

// noteStarved takes wants that came from another zone although that zone has
// allotment or was refused: they tell the decider where replicas are missing.
// It reports whether this zone cannot serve any of them.
func (c *Core) noteStarved(wants []fleet.Want) bool {
	useless := true
	for _, want := range wants {
		if c.record.Record.Limit(want.Model, c.options.Zone) > 0 {
			useless = false
			continue
		}
		if want.Waiting > 0 {
			c.starve(want.Model, want.Zone)
		}
	}
	return useless
}

// keepWants holds wants that came while a round is being claimed.
func (c *Core) keepWants(reported WantsReported) {
	for _, want := range reported.Wants {
		c.wants.note(want)
	}
	c.stepPlacement(placement.WantsReported{Wants: reported.Wants})
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

// refused handles a model that the zone cannot load: another zone with
// allotment is asked; where there is none, all nodes that wait are told, once
// it has been wanted for some time: the allotment of a model that is new, or of
// a zone that starts, is decided meanwhile.
func (c *Core) refused(refusal placement.Refuse) {
	model := refusal.Refusal.Model
	if c.leader.Leading() && c.forwardElsewhere(model) {
		return
	}
	early := !refusal.Never && c.now.Sub(refusal.Since) < c.settings().RefusalGrace
	for _, node := range slices.Sorted(maps.Keys(c.wants.reporters[model])) {
		if zone := c.wants.reporters[model][node].Zone; zone != c.options.Zone {
			c.starve(model, zone)
		}
		if !early {
			c.refuse(node, refusal.Refusal)
		}
	}
}

// forwardElsewhere passes wants of this zone's nodes to a zone that has
// allotment for the model and a node that is known.
func (c *Core) forwardElsewhere(model fleet.ModelVersion) bool {
	wants := c.ownWants(model)
	if len(wants) == 0 {
		return false
	}
	target, found := c.zoneFor(model)
	if !found {
		c.reportStarved(model)
		return false
	}
	if c.now.Sub(c.wants.forwarded[model]) >= forwardInterval {
		c.wants.forwarded[model] = c.now
		c.emit(ForwardWants{To: target, Wants: wants, Forwarded: true})
	}
	return true
}

func (c *Core) ownWants(model fleet.ModelVersion) []fleet.Want {
	var wants []fleet.Want
	reporters := c.wants.reporters[model]
	for _, node := range slices.Sorted(maps.Keys(reporters)) {
		if reporters[node].Zone == c.options.Zone {
			wants = append(wants, reporters[node])
		}
	}
	return wants
}

// zoneFor is the contact of the zone in service with the most allotment of the
// model.
func (c *Core) zoneFor(model fleet.ModelVersion) (fleet.Member, bool) {
	var best fleet.Member
	limit, found := 0, false
	shares := c.record.Record.Models[model].Zones
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		if zone == c.options.Zone || c.isEvacuated(zone) || shares[zone].Limit <= limit {
			continue
		}
		if member, known := c.contact(zone); known {
			best, limit, found = member, shares[zone].Limit, true
		}
	}
	return best, found
}

// starve notes that no zone could serve what waits in one.
func (c *Core) starve(model fleet.ModelVersion, zone fleet.Zone) {
	if c.wants.starved[model] == nil {
		c.wants.starved[model] = make(map[fleet.Zone]time.Time)
	}
	c.wants.starved[model][zone] = c.now
}

// reportStarved notes that no zone could serve the model for this one, and
// tells the decider.
func (c *Core) reportStarved(model fleet.ModelVersion) {
	c.starve(model, c.options.Zone)
	decider, found := c.deciderMember()
	if !found || c.now.Sub(c.wants.complained[model]) < complainInterval {
		return
	}
	if wants := c.ownWants(model); len(wants) > 0 {
		c.wants.complained[model] = c.now
		c.emit(ForwardWants{To: decider, Wants: wants, Forwarded: true})
	}
}

// deciderMember is a node of the first zone that has a usable one, where that
// is not this zone: its leader where that is known.
func (c *Core) deciderMember() (fleet.Member, bool) {
	first := c.options.Zone
	for _, member := range c.members {
		if member.Usable() && member.Zone < first {
			first = member.Zone
		}
	}
	if first == c.options.Zone {
		return fleet.Member{}, false
	}
	return c.contact(first)
}

// contact is a usable node of a zone, its leader where that is known.
func (c *Core) contact(zone fleet.Zone) (fleet.Member, bool) {
	if leader, _ := c.tables.leader(zone); c.members[leader].Usable() {
		return c.members[leader], true
	}
	members := c.zoneMembers(zone)
	if len(members) == 0 {
		return fleet.Member{}, false
	}
	return members[0], true
}

// forwardAnswered takes the refusals of whoever was asked.
func (c *Core) forwardAnswered(answer ForwardAnswered) {
	if answer.Failed {
		for _, want := range answer.Wants {
			c.reportStarved(want.Model)
		}
		return
	}
	for _, refusal := range answer.Refusals {
		c.wants.remote[refusal.Model] = remoteRefusal{refusal, c.now.Add(refusalLifetime)}
		c.reportStarved(refusal.Model)
		for _, want := range answer.Wants {
			if want.Model == refusal.Model {
				c.refuse(want.Node, refusal)
			}
		}
	}
}
