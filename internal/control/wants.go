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
	heard     map[fleet.ModelVersion]time.Time
	// forwarded is when wants for a model last went to another zone.
	forwarded map[fleet.ModelVersion]time.Time
	// remote are refusals of the zones that were asked.
	remote map[fleet.ModelVersion]remoteRefusal
	// starved counts what waits in a zone and could not be served, for the
	// decider.
	starved map[fleet.ModelVersion]map[fleet.Zone]time.Time
	// refusals are those of this step, by node.
	refusals map[fleet.NodeName][]fleet.LoadRefusal
}

type remoteRefusal struct {
	fleet.LoadRefusal
	until time.Time
}

const (
	forwardInterval = 500 * time.Millisecond
	refusalLifetime = 2 * time.Second
	starvedLifetime = 5 * time.Second
)

func newWantState() wantState {
	return wantState{
		reporters: make(map[fleet.ModelVersion]map[fleet.NodeName]fleet.Want),
		heard:     make(map[fleet.ModelVersion]time.Time),
		forwarded: make(map[fleet.ModelVersion]time.Time),
		remote:    make(map[fleet.ModelVersion]remoteRefusal),
		starved:   make(map[fleet.ModelVersion]map[fleet.Zone]time.Time),
		refusals:  make(map[fleet.NodeName][]fleet.LoadRefusal),
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
	if reported.Forwarded && c.noteStarved(reported.Wants) {
		return
	}
	if !c.leader.Leading() {
		c.passToLeader(reported)
		return
	}
	for _, want := range reported.Wants {
		c.wants.note(want)
		c.wants.heard[want.Model] = c.now
		if reported.Forwarded {
			continue
		}
		if refusal, found := c.wants.remote[want.Model]; found && c.now.Before(refusal.until) && want.Waiting > 0 {
			c.wants.refusals[want.Node] = append(c.wants.refusals[want.Node], refusal.LoadRefusal)
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
		if c.wants.starved[want.Model] == nil {
			c.wants.starved[want.Model] = make(map[fleet.Zone]time.Time)
		}
		c.wants.starved[want.Model][want.Zone] = c.now
	}
	return useless
}

func (c *Core) passToLeader(reported WantsReported) {
	name := c.candidate()
	member, found := c.members[name]
	if name == c.options.Self || !found {
		return
	}
	c.emit(ForwardWants{To: member, Wants: reported.Wants, Forwarded: reported.Forwarded})
}

// refused handles a model that the zone cannot load: another zone with
// allotment is asked; where there is none, the nodes are told at once.
func (c *Core) refused(refusal placement.Refuse) {
	model := refusal.Refusal.Model
	if c.leader.Leading() && c.forwardElsewhere(model) {
		return
	}
	if c.now.Sub(c.wants.heard[model]) > 0 {
		return
	}
	for _, node := range slices.Sorted(maps.Keys(c.wants.reporters[model])) {
		c.wants.refusals[node] = append(c.wants.refusals[node], refusal.Refusal)
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
		c.starve(model)
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

// zoneFor is a node of the zone with the most allotment of the model, its
// leader where that is known.
func (c *Core) zoneFor(model fleet.ModelVersion) (fleet.Member, bool) {
	var best fleet.Member
	limit, found := 0, false
	shares := c.record.Record.Models[model].Zones
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		members := c.zoneMembers(zone)
		if zone == c.options.Zone || shares[zone].Limit <= limit || len(members) == 0 {
			continue
		}
		best, limit, found = members[0], shares[zone].Limit, true
		if leader, _ := c.tables.leader(zone); c.members[leader].Usable() {
			best = c.members[leader]
		}
	}
	return best, found
}

// starve tells the decider that no zone can serve the model for this one.
func (c *Core) starve(model fleet.ModelVersion) {
	if c.wants.starved[model] == nil {
		c.wants.starved[model] = make(map[fleet.Zone]time.Time)
	}
	c.wants.starved[model][c.options.Zone] = c.now
}

// forwardAnswered takes the refusals of whoever was asked.
func (c *Core) forwardAnswered(answer ForwardAnswered) {
	if answer.Failed {
		for _, want := range answer.Wants {
			c.starve(want.Model)
		}
		return
	}
	for _, refusal := range answer.Refusals {
		c.wants.remote[refusal.Model] = remoteRefusal{refusal, c.now.Add(refusalLifetime)}
		c.starve(refusal.Model)
		for _, want := range answer.Wants {
			if want.Model == refusal.Model {
				c.wants.refusals[want.Node] = append(c.wants.refusals[want.Node], refusal)
			}
		}
	}
}

// flushRefusals gives out the refusals of this step.
func (c *Core) flushRefusals() {
	for _, node := range slices.Sorted(maps.Keys(c.wants.refusals)) {
		c.emit(RefuseWants{Node: node, Refusals: c.wants.refusals[node]})
	}
	clear(c.wants.refusals)
}
