package verify

import (
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
)

// moves gives all that may happen next: any message is delivered, an engine
// restarts, a leader's time runs out, the record changes or is heard, a leader
// orders a load or an unload or confirms a limit. A leader that is paused is
// one that nothing happens to; a message that is lost is never delivered.
func (w *zoneModel) moves() []move[*zoneModel] {
	var moves []move[*zoneModel]
	for index, sent := range w.network {
		if sent.kind == readAsked && phaseOf(w.leaders[sent.leader].core) == phaseReading {
			continue
		}
		next := w.clone(sent.leader)
		next.network = slices.Delete(next.network, index, index+1)
		next.deliver(sent)
		moves = append(moves, named(next, "%v", sent))
		if w.repeats < w.bounds.repeats && (sent.kind == claimAsked || sent.kind >= loadOrdered) {
			again := w.clone(sent.leader)
			again.repeats++
			again.deliver(sent)
			moves = append(moves, named(again, "%v, doubled", sent))
		}
	}
	for engine := range w.bounds.engines {
		if w.restarts < w.bounds.restarts {
			next := w.clone(-1)
			next.restarts++
			next.engines[engine] = engineModel{incarnation: w.engines[engine].incarnation + 1}
			moves = append(moves, named(next, "%s restarts", engineNames[engine]))
		}
	}
	if w.stored < len(w.bounds.limits) {
		next := w.clone(-1)
		next.stored++
		moves = append(moves, named(next, "the record changes"))
	}
	for index := range w.leaders {
		moves = append(moves, w.leaderMoves(index)...)
	}
	return moves
}

func (w *zoneModel) leaderMoves(index int) []move[*zoneModel] {
	leader := &w.leaders[index]
	phase := phaseOf(leader.core)
	if phase == phaseReading {
		return w.readMoves(index)
	}
	var moves []move[*zoneModel]
	if !leader.core.NextWake().IsZero() && (phase != phaseIdle || leader.rounds < w.bounds.rounds) {
		next := w.clone(index)
		next.wake(index)
		moves = append(moves, named(next, "%c's time runs out", 'A'+index))
	}
	if leader.heard < w.stored {
		next := w.clone(index)
		next.leaders[index].heard = w.stored
		next.step(index, leadership.RecordReceived{Record: w.bounds.record(w.stored)})
		moves = append(moves, named(next, "%c hears the record", 'A'+index))
	}
	if !leader.core.Leading() {
		return moves
	}
	carried := int(leader.core.RoundRecord().Generation)
	if !w.confirmed && carried == len(w.bounds.limits) && carried > 1 && leader.count() <= w.bounds.limits[carried-1] {
		next := w.clone(-1)
		next.confirmed = true
		moves = append(moves, named(next, "%c confirms", 'A'+index))
	}
	for engine := range w.bounds.engines {
		if leader.held[engine] {
			moves = append(moves, w.engineMoves(index, engine)...)
		}
	}
	return moves
}

func (w *zoneModel) wake(index int) {
	w.leaders[index].now = w.leaders[index].core.NextWake()
	w.step(index, leadership.Tick{})
}

// readMoves let some of the engines answer the first reads of a round at once,
// the others not. That an engine changes after its answer and before another's
// is the same as that it changes after both: a claim names what was read.
func (w *zoneModel) readMoves(index int) []move[*zoneModel] {
	var asked []message
	for _, sent := range w.network {
		if sent.leader == index && sent.kind == readAsked {
			asked = append(asked, sent)
		}
	}
	var moves []move[*zoneModel]
	for answered := range 1 << len(asked) {
		next := w.clone(index)
		for place, sent := range asked {
			if answered&(1<<place) != 0 {
				next.step(index, leadership.StateRead{ID: sent.id, Engine: engineNames[sent.engine], State: next.stateOf(sent.engine)})
			}
		}
		if phaseOf(next.leaders[index].core) == phaseReading {
			next.wake(index)
		}
		if len(w.bounds.limits) == 1 {
			// The record does not change: it may as well be learned at once.
			next.learnAtOnce(index)
		}
		moves = append(moves, named(next, "%c reads engines %b of %d", 'A'+index, answered, len(asked)))
	}
	return moves
}

func (w *zoneModel) learnAtOnce(index int) {
	for place, sent := range w.network {
		if sent.leader == index && sent.kind == learnAsked {
			w.network = slices.Delete(w.network, place, place+1)
			w.deliver(sent)
			return
		}
	}
}

// engineMoves are those of a leader with an engine that it holds.
func (w *zoneModel) engineMoves(index, engine int) []move[*zoneModel] {
	leader := &w.leaders[index]
	seen := w.incarnationSeen(index, engine)
	var moves []move[*zoneModel]
	if w.engines[engine].incarnation != seen || w.engines[engine].fence > leader.core.Fence() {
		next := w.clone(index)
		next.step(index, leadership.StateRead{Engine: engineNames[engine], State: next.stateOf(engine)})
		moves = append(moves, named(next, "%c polls %s", 'A'+index, engineNames[engine]))
	}
	if w.orders >= w.bounds.orders {
		return moves
	}
	kind := loadOrdered
	switch {
	case leader.holds[engine] && w.mayUnload(index, engine):
		kind = unloadOrdered
	case leader.holds[engine]:
		return moves
	case leader.count() >= w.bounds.limits[leader.heard-1]:
		return moves
	}
	next := w.clone(-1)
	next.orders++
	next.leaders[index].holds[engine] = true
	ordered := message{kind: kind, leader: index, engine: engine, fence: leader.core.Fence(), incarnation: seen}
	if w.bounds.repeats > 0 {
		ordered.id = uint64(next.orders)
	}
	next.send(ordered)
	return append(moves, named(next, "sent: %v", ordered))
}

// mayUnload: a load that is still in flight must show first.
func (w *zoneModel) mayUnload(index, engine int) bool {
	inFlight := slices.ContainsFunc(w.network, func(sent message) bool {
		return sent.kind == loadOrdered && sent.leader == index && sent.engine == engine
	})
	return w.bounds.unloads && !inFlight
}

// incarnationSeen is the one that the leader's claim named: its orders name it
// too.
func (w *zoneModel) incarnationSeen(index, engine int) uint64 {
	return incarnationOf(w.leaders[index].core, engineNames[engine])
}

func (w *zoneModel) stateOf(engine int) fleet.EngineState {
	return engineState(engine, w.engines[engine].incarnation, w.engines[engine].fence, w.engines[engine].loaded)
}

func engineState(engine int, incarnation uint64, fence fleet.Fence, loaded bool) fleet.EngineState {
	state := fleet.EngineState{
		Backend:     fleet.Backend{Name: engineNames[engine]},
		Incarnation: incarnation,
		Fence:       fence,
	}
	if loaded {
		state.Models = []fleet.LoadedModel{{Model: oneModel, State: fleet.LoadReady}}
	}
	return state
}

// deliver lets a message arrive.
func (w *zoneModel) deliver(sent message) {
	switch sent.kind {
	case readAsked:
		engine := w.engines[sent.engine]
		answer := message{kind: readAnswered, leader: sent.leader, engine: sent.engine, id: sent.id,
			incarnation: engine.incarnation, fence: engine.fence, loaded: engine.loaded}
		w.answer(answer)
	case readAnswered:
		w.step(sent.leader, leadership.StateRead{ID: sent.id, Engine: engineNames[sent.engine],
			State: engineState(sent.engine, sent.incarnation, sent.fence, sent.loaded)})
	case learnAsked:
		w.leaders[sent.leader].heard = w.stored
		w.step(sent.leader, leadership.RecordLearned{ID: sent.id, Record: w.bounds.record(w.stored)})
	case claimAsked:
		w.claim(sent)
	case claimAnswered:
		w.takeClaimAnswer(sent)
	case loadOrdered, unloadOrdered:
		w.order(sent)
	}
}

func (w *zoneModel) answer(answer message) {
	if !w.bounds.slow {
		w.deliver(answer)
		return
	}
	w.send(answer)
}

func (w *zoneModel) claim(sent message) {
	engine := &w.engines[sent.engine]
	answer := message{kind: claimAnswered, leader: sent.leader, engine: sent.engine, id: sent.id}
	if sent.incarnation == engine.incarnation && sent.fence > engine.fence {
		engine.fence = sent.fence
		answer.granted = true
	}
	answer.incarnation, answer.fence, answer.loaded = engine.incarnation, engine.fence, engine.loaded
	w.answer(answer)
}

func (w *zoneModel) takeClaimAnswer(sent message) {
	answer := leadership.ClaimAnswered{ID: sent.id, Engine: engineNames[sent.engine], Result: leadership.ClaimRefused, Fence: sent.fence}
	if sent.granted {
		answer.Result = leadership.ClaimGranted
		answer.State = engineState(sent.engine, sent.incarnation, sent.fence, sent.loaded)
	}
	w.step(sent.leader, answer)
}

// order is carried out once in an incarnation, and only under the fence and
// incarnation that it names. The leader hears of a refusal, and of an unload.
func (w *zoneModel) order(sent message) {
	engine := &w.engines[sent.engine]
	leader := &w.leaders[sent.leader]
	inRound := leader.core.Leading() && leader.core.Fence() == sent.fence
	if sent.incarnation != engine.incarnation || sent.fence != engine.fence {
		if inRound {
			w.step(sent.leader, leadership.OrderRefused{Engine: engineNames[sent.engine], Fence: engine.fence})
		}
		return
	}
	if bit := uint16(1) << sent.id; sent.id == 0 || engine.taken&bit == 0 {
		engine.taken |= bit &^ 1
		engine.loaded = sent.kind == loadOrdered
	}
	if inRound && sent.kind == unloadOrdered {
		leader.holds[sent.engine] = engine.loaded
	}
}
