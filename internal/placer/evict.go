package placer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// intent keeps a server that is being emptied for one model.
type intent struct {
	model  string
	source Source
	takes  time.Duration
	until  time.Time
}

// Penalties, in seconds of somebody's waiting, of dropping a copy. A model whose
// callers would wait for a load without being late is dropped first.
const (
	// surplusPenalty is for a copy beyond those needed.
	surplusPenalty = 0.02
	// replicaPenalty is for a copy that is in use.
	replicaPenalty = 0.35
	// loosePenalty is for the last copy where a load is in time, and
	// lastCopyPenalty for that of any model that was asked for lately.
	loosePenalty    = 0.2
	lastCopyPenalty = 0.3
	// unknownPenalty is for a model that nobody asked for yet.
	unknownPenalty = 0.23
	// tightPenalty is for the last copy where a load makes its callers late.
	tightPenalty = 2.5
	// forgetTime is how fast the chance fades that a silent model is asked for.
	forgetTime = 10 * time.Second
	// runTime is how long a request may run on: dropping a model waits for that.
	runTime = 2 * time.Second
	// tightMargin is what passes beside the load itself.
	tightMargin = 500 * time.Millisecond
)

// roomKey is a question for room at a server.
type roomKey struct {
	server    *server
	weightsMB float64
}

// room is what making room at a server takes.
type room struct {
	victims []string
	penalty float64
}

// roomFor is victims, worked out once for all models of a size.
func (r *round) roomFor(s *server, model routetable.Model) ([]string, float64) {
	key := roomKey{server: s, weightsMB: model.WeightsMB}
	known, ok := r.rooms[key]
	if !ok {
		known.victims, known.penalty = r.victims(s, model)
		if r.rooms == nil {
			r.rooms = make(map[roomKey]room)
		}
		r.rooms[key] = known
	}
	return known.victims, known.penalty
}

// victims are the models to drop from the server to make room for one more, and
// what that costs; the cost is infinite where it cannot be done.
func (r *round) victims(s *server, model routetable.Model) ([]string, float64) {
	room := r.engine.MemoryMB - s.usedMB(r.engine) - model.WeightsMB
	if room >= 0 {
		return nil, 0
	}
	type candidate struct {
		model   string
		penalty float64
	}
	var candidates []candidate
	for name := range s.held {
		candidates = append(candidates, candidate{name, r.penalty(s, name)})
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
		room += r.engine.Models[victim.model].WeightsMB
	}
	if room < 0 {
		return nil, math.Inf(1)
	}
	return victims, total
}

// penalty is what dropping a copy of a model from a server costs.
func (r *round) penalty(s *server, name string) float64 {
	cost := r.penaltyTo(s, name, asker{
		known: r.interest(name), copies: r.copiesOf(name), kept: r.kept(name), waits: r.core.demand.waitsFor(r.service, name),
	})
	for _, bounded := range r.boundedOf(name) {
		if bounded.adapter == "" && r.isIn(s, bounded.regions) && r.now.Sub(bounded.known.lastAsk) <= interestAge {
			cost = max(cost, r.penaltyTo(s, name, asker{
				known: bounded.known, copies: r.copiesIn(name, bounded.regions), kept: r.neededIn(bounded), waits: bounded.waits,
			}))
		}
	}
	return cost
}

// asker is who asks for a model: those whose requests may run anywhere, or in the same
// regions; how many copies there are and are kept for them, and how many requests wait.
type asker struct {
	known  *interest
	copies int
	kept   int
	waits  int
}

// penaltyTo is what dropping a copy of a model from a server costs those who ask for it.
func (r *round) penaltyTo(s *server, name string, by asker) float64 {
	silent := r.now.Sub(s.held[name].since)
	if by.known != nil {
		// What waited for the model began to run when it came.
		silent = min(silent, r.now.Sub(by.known.lastAsk))
	}
	switch {
	case by.copies > max(1, by.kept):
		if silent < runTime {
			return surplusPenalty + replicaPenalty
		}
		return surplusPenalty
	case by.known == nil:
		return unknownPenalty
	case by.waits > 0:
		return math.Inf(1)
	}
	last := 0.0
	if by.copies <= 1 && silent < interestAge {
		last = lastCopyPenalty
	}
	fades := 1 / (1 + silent.Seconds()/forgetTime.Seconds())
	// What is dropped stays on the server's disk.
	isTight := by.known.goal > 0 && by.known.goal < r.engine.Models[name].DiskLoad+tightMargin
	switch {
	case silent < runTime && isTight:
		return math.Inf(1)
	case silent < runTime:
		return replicaPenalty + last
	case isTight && by.copies > 1:
		return replicaPenalty + tightPenalty*fades/4
	case isTight:
		return replicaPenalty + tightPenalty*fades
	case by.copies > 1:
		return surplusPenalty
	default:
		return last + loosePenalty*fades
	}
}
