package placer

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// reservation keeps the room that is being made on a server for one model.
type reservation struct {
	model    string
	source   Source
	loadTime time.Duration
	until    time.Time
}

// Penalties for evicting a copy, in seconds of request waiting time. Models whose callers could
// wait for a load and still meet their latency goal are evicted first.
const (
	// surplusPenalty applies to a copy beyond those needed.
	surplusPenalty = 0.02
	// activeCopyPenalty applies to a copy that is in use.
	activeCopyPenalty = 0.35
	// relaxedGoalPenalty applies to the last copy if a load meets the latency goal, and
	// recentLastCopyPenalty to the last copy of any recently requested model.
	relaxedGoalPenalty    = 0.2
	recentLastCopyPenalty = 0.3
	// noDemandPenalty applies to a model that has not been requested yet.
	noDemandPenalty = 0.23
	// tightGoalPenalty applies to the last copy if a load misses the latency goal.
	tightGoalPenalty = 2.5
	// penaltyDecayTime is the time scale on which an idle model becomes less likely to be
	// requested.
	penaltyDecayTime = 10 * time.Second
	// requestRunTime is how long a request may still run; evicting its model waits for it.
	requestRunTime = 2 * time.Second
	// loadOverhead is the time that passes in addition to the load itself.
	loadOverhead = 500 * time.Millisecond
)

// evictionKey identifies the question of how to make room of a size on a server.
type evictionKey struct {
	server    *server
	weightsMB float64
}

// eviction is the set of models to evict to make room on a server, and its penalty.
type eviction struct {
	victims []string
	penalty float64
}

// evictionFor returns the result of selectVictims, computed once for all models of the same size. The room
// for a model that an unanswered order may still load there is set aside already.
func (r *planRound) evictionFor(s *server, model routetable.Model) ([]string, float64) {
	key := evictionKey{server: s, weightsMB: model.WeightsMB}
	if s.mayStillLoad(model.Name) {
		key.weightsMB = 0
	}
	cached, ok := r.evictions[key]
	if !ok {
		cached.victims, cached.penalty = r.selectVictims(s, key.weightsMB)
		if r.evictions == nil {
			r.evictions = make(map[evictionKey]eviction)
		}
		r.evictions[key] = cached
	}
	return cached.victims, cached.penalty
}

// selectVictims returns the models to evict from the server to make room for weightsMB more, and the
// total penalty, which is infinite if not enough room can be made.
func (r *planRound) selectVictims(s *server, weightsMB float64) ([]string, float64) {
	freeMB := r.engine.MemoryMB - s.usedMB(r.engine) - weightsMB
	if freeMB >= 0 {
		return nil, 0
	}
	type candidate struct {
		model   string
		penalty float64
	}
	var candidates []candidate
	for name := range s.models {
		candidates = append(candidates, candidate{name, r.dropPenalty(s, name)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.penalty, b.penalty), strings.Compare(a.model, b.model))
	})
	var victims []string
	total := 0.0
	for _, victim := range candidates {
		if freeMB >= 0 {
			break
		}
		victims = append(victims, victim.model)
		total += victim.penalty
		freeMB += r.engine.Models[victim.model].WeightsMB
	}
	if freeMB < 0 {
		return nil, math.Inf(1)
	}
	return victims, total
}

// dropPenalty returns the penalty of evicting a model from a server: the highest over all
// consumers that the server may serve.
func (r *planRound) dropPenalty(s *server, name string) float64 {
	cost := r.consumerPenalty(s, name, consumer{
		demand: r.demandFor(name), copies: r.copiesOf(name), retained: r.retainedCopies(name), waiting: r.core.demand.waitingFor(r.service, name),
	})
	for _, constrained := range r.constrainedDemandFor(name) {
		if constrained.adapter == "" && r.meets(s, constrained.constraint) && r.now.Sub(constrained.demand.lastRequest) <= modelDemandTTL {
			cost = max(cost, r.consumerPenalty(s, name, consumer{
				demand: constrained.demand, copies: r.copiesMeeting(name, constrained.constraint), retained: r.neededConstrainedCopies(constrained), waiting: constrained.waiting,
			}))
		}
	}
	return cost
}

// consumer is a group of callers of a model: those whose requests may run anywhere, or those
// bound by the same constraint. It states how many copies they have, how many are protected
// from eviction for them, and how many of their requests wait.
type consumer struct {
	demand   *demandRecord
	copies   int
	retained int
	waiting  int
}

// consumerPenalty returns the penalty of evicting a model from a server for one group of its
// callers.
func (r *planRound) consumerPenalty(s *server, name string, c consumer) float64 {
	idle := r.now.Sub(s.models[name].loadedAt)
	if c.demand != nil {
		// Requests that waited for the model started running when it was loaded.
		idle = min(idle, r.now.Sub(c.demand.lastRequest))
	}
	switch {
	case c.copies > max(1, c.retained):
		if idle < requestRunTime {
			return surplusPenalty + activeCopyPenalty
		}
		return surplusPenalty
	case c.demand == nil:
		return noDemandPenalty
	case c.waiting > 0:
		return math.Inf(1)
	}
	lastCopy := 0.0
	if c.copies <= 1 && idle < modelDemandTTL {
		lastCopy = recentLastCopyPenalty
	}
	decay := 1 / (1 + idle.Seconds()/penaltyDecayTime.Seconds())
	// An evicted model stays on the server's disk.
	isTight := c.demand.latencyGoal > 0 && c.demand.latencyGoal < r.engine.Models[name].DiskLoad+loadOverhead
	switch {
	case idle < requestRunTime && isTight:
		return math.Inf(1)
	case idle < requestRunTime:
		return activeCopyPenalty + lastCopy
	case isTight && c.copies > 1:
		return activeCopyPenalty + tightGoalPenalty*decay/4
	case isTight:
		return activeCopyPenalty + tightGoalPenalty*decay
	case c.copies > 1:
		return surplusPenalty
	default:
		return lastCopy + relaxedGoalPenalty*decay
	}
}
