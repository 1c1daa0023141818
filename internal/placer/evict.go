package placer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// intent keeps a server that is being emptied for one model.
type intent struct {
	model string
	until time.Time
}

// Penalties, in seconds of somebody's waiting, of dropping a copy.
const (
	// surplusPenalty is for a copy beyond those needed.
	surplusPenalty = 0.02
	// replicaPenalty is for a needed copy that is not the last.
	replicaPenalty = 0.35
	// forgetTime is how fast the chance fades that a silent model is asked for.
	forgetTime = 8 * time.Second
	// youngTime is how long a loaded model is kept whatever comes.
	youngTime = 1500 * time.Millisecond
)

// victims are the models to drop from the server to make room for one more, and
// what that costs; the cost is infinite where it cannot be done.
func (c *Core) victims(now time.Time, service string, engine *routetable.Engine, servers []*server, s *server, model routetable.Model) ([]string, float64) {
	room := engine.MemoryMB - s.usedMB(engine) - model.WeightsMB
	if room >= 0 {
		return nil, 0
	}
	type candidate struct {
		model   string
		penalty float64
	}
	var candidates []candidate
	for name := range s.held {
		candidates = append(candidates, candidate{name, c.penalty(now, service, engine, servers, s, name)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), strings.Compare(a.model, b.model))
	})
	var victims []string
	total := 0.0
	for _, victim := range candidates {
		if room >= 0 {
			break
		}
		victims = append(victims, victim.model)
		total += victim.penalty
		room += engine.Models[victim.model].WeightsMB
	}
	if room < 0 {
		return nil, math.Inf(1)
	}
	return victims, total
}

// penalty is what dropping a copy of a model from a server costs.
func (c *Core) penalty(now time.Time, service string, engine *routetable.Engine, servers []*server, s *server, name string) float64 {
	copies := copiesOf(servers, name)
	needed := c.needed(now, service, name, len(servers))
	switch {
	case copies > max(1, needed):
		return surplusPenalty
	case now.Sub(s.held[name].since) < youngTime && needed > 0:
		return math.Inf(1)
	case copies > 1:
		return replicaPenalty
	case c.waitsFor(now, service, name) > 0:
		return math.Inf(1)
	}
	reload, _ := s.loadTime(engine.Models[name])
	silent := now.Sub(s.held[name].since)
	if known, ok := c.interests[dispatch.Wanted{Service: service, Model: name}]; ok && !known.lastAsk.IsZero() {
		silent = now.Sub(known.lastAsk)
	}
	chance := 1 / (1 + silent.Seconds()/forgetTime.Seconds())
	return reload.Seconds() * chance
}

// fillIdle loads models that stand nowhere into free memory, so that the first
// request for one finds it.
func (c *Core) fillIdle(now time.Time, service string, engine *routetable.Engine, servers []*server) {
	if len(servers) == 0 || !allSynced(servers) {
		return
	}
	names := make([]string, 0, len(engine.Models))
	for name := range engine.Models {
		if copiesOf(servers, name) == 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if !c.storeAllows(now, service, engine, false) {
			return
		}
		c.fill(now, service, engine, servers, engine.Models[name])
	}
}

func allSynced(servers []*server) bool {
	for _, s := range servers {
		if !s.synced && !s.info.Draining {
			return false
		}
	}
	return true
}

// fill loads the model where the room that is left is smallest.
func (c *Core) fill(now time.Time, service string, engine *routetable.Engine, servers []*server, model routetable.Model) {
	best := choice{cost: math.Inf(1)}
	for _, s := range servers {
		room := engine.MemoryMB - s.usedMB(engine) - model.WeightsMB
		if room < 0 || !s.canTake(now) || s.isKeptFor(now, model.Name) {
			continue
		}
		takes, source := s.loadTime(model)
		if room < best.cost {
			best = choice{server: s, source: source, takes: takes, cost: room}
		}
	}
	if best.server != nil {
		c.orderLoad(now, service, engine, servers, best, model)
	}
}
