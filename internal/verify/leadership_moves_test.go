package verify

import (
	"slices"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
)

// transitions returns every possible next transition: a message is delivered, an engine
// restarts, a leader's timer expires, the record changes or reaches a leader, a leader
// orders a load or an unload or confirms a limit. A paused leader is one without
// transitions, a lost message one that is never delivered.
func (w *zoneModel) transitions() []transition[*zoneModel] {
	var transitions []transition[*zoneModel]
	for index, sent := range w.network {
		if sent.kind == readRequest && phaseOf(w.leaders[sent.leader].core) == phaseReading {
			continue
		}
		next := w.clone(sent.leader)
		next.network = slices.Delete(next.network, index, index+1)
		next.deliver(sent)
		transitions = append(transitions, newTransition(next, "%v", sent))
		if w.duplicates < w.bounds.duplicates && (sent.kind == claimRequest || sent.kind >= loadOrder) {
			duplicated := w.clone(sent.leader)
			duplicated.duplicates++
			duplicated.deliver(sent)
			transitions = append(transitions, newTransition(duplicated, "%v, delivered twice", sent))
		}
	}
	for engine := range w.bounds.engines {
		if w.restarts < w.bounds.restarts {
			next := w.clone(-1)
			next.restarts++
			next.engines[engine] = engineModel{incarnation: w.engines[engine].incarnation + 1}
			transitions = append(transitions, newTransition(next, "%s restarts", engineNames[engine]))
		}
	}
	if w.storedGeneration < len(w.bounds.limits) {
		next := w.clone(-1)
		next.storedGeneration++
		transitions = append(transitions, newTransition(next, "the record changes"))
	}
	for index := range w.leaders {
		transitions = append(transitions, w.leaderTransitions(index)...)
	}
	return transitions
}

func (w *zoneModel) leaderTransitions(index int) []transition[*zoneModel] {
	leader := &w.leaders[index]
	phase := phaseOf(leader.core)
	if phase == phaseReading {
		return w.readTransitions(index)
	}
	var transitions []transition[*zoneModel]
	if !leader.core.NextWake().IsZero() && (phase != phaseIdle || leader.rounds < w.bounds.rounds) {
		next := w.clone(index)
		next.wake(index)
		transitions = append(transitions, newTransition(next, "timer of %c expires", 'A'+index))
	}
	if leader.knownGeneration < w.storedGeneration {
		next := w.clone(index)
		next.leaders[index].knownGeneration = w.storedGeneration
		next.step(index, leadership.RecordReceived{Record: w.bounds.record(w.storedGeneration)})
		transitions = append(transitions, newTransition(next, "%c receives the record", 'A'+index))
	}
	if !leader.core.Leading() {
		return transitions
	}
	generation := int(leader.core.RoundRecord().Generation)
	if !w.confirmed && generation == len(w.bounds.limits) && generation > 1 && leader.replicaCount() <= w.bounds.limits[generation-1] {
		next := w.clone(-1)
		next.confirmed = true
		transitions = append(transitions, newTransition(next, "%c confirms the limit", 'A'+index))
	}
	for engine := range w.bounds.engines {
		if leader.claimed[engine] {
			transitions = append(transitions, w.engineTransitions(index, engine)...)
		}
	}
	return transitions
}

func (w *zoneModel) wake(index int) {
	w.leaders[index].now = w.leaders[index].core.NextWake()
	w.step(index, leadership.Tick{})
}

// readTransitions lets each subset of the engines answer the first reads of a round
// immediately. An engine that changes after its own answer and before another one's is
// equivalent to one that changes after both, because a claim names the state that was read.
func (w *zoneModel) readTransitions(index int) []transition[*zoneModel] {
	var requests []message
	for _, sent := range w.network {
		if sent.leader == index && sent.kind == readRequest {
			requests = append(requests, sent)
		}
	}
	var transitions []transition[*zoneModel]
	for answered := range 1 << len(requests) {
		next := w.clone(index)
		for place, sent := range requests {
			if answered&(1<<place) != 0 {
				next.step(index, leadership.StateRead{ID: sent.id, Engine: engineNames[sent.engine], State: next.stateOf(sent.engine)})
			}
		}
		if phaseOf(next.leaders[index].core) == phaseReading {
			next.wake(index)
		}
		if len(w.bounds.limits) == 1 {
			// The record does not change, so it can be learned immediately.
			next.deliverLearnRequest(index)
		}
		transitions = append(transitions, newTransition(next, "%c reads engines %b of %d", 'A'+index, answered, len(requests)))
	}
	return transitions
}

func (w *zoneModel) deliverLearnRequest(index int) {
	for place, sent := range w.network {
		if sent.leader == index && sent.kind == learnRequest {
			w.network = slices.Delete(w.network, place, place+1)
			w.deliver(sent)
			return
		}
	}
}

// engineTransitions returns the transitions of a leader with an engine that it has claimed.
func (w *zoneModel) engineTransitions(index, engine int) []transition[*zoneModel] {
	leader := &w.leaders[index]
	incarnation := w.claimedIncarnation(index, engine)
	var transitions []transition[*zoneModel]
	if w.engines[engine].incarnation != incarnation || w.engines[engine].fence > leader.core.Fence() {
		next := w.clone(index)
		next.step(index, leadership.StateRead{Engine: engineNames[engine], State: next.stateOf(engine)})
		transitions = append(transitions, newTransition(next, "%c polls %s", 'A'+index, engineNames[engine]))
	}
	if w.orders >= w.bounds.orders {
		return transitions
	}
	kind := loadOrder
	switch {
	case leader.occupied[engine] && w.canUnload(index, engine):
		kind = unloadOrder
	case leader.occupied[engine]:
		return transitions
	case leader.replicaCount() >= w.bounds.limits[leader.knownGeneration-1]:
		return transitions
	}
	next := w.clone(-1)
	next.orders++
	next.leaders[index].occupied[engine] = true
	order := message{kind: kind, leader: index, engine: engine, fence: leader.core.Fence(), incarnation: incarnation}
	if w.bounds.duplicates > 0 {
		order.id = uint64(next.orders)
	}
	next.send(order)
	return append(transitions, newTransition(next, "sent: %v", order))
}

// canUnload reports whether the leader may order an unload: no load order may be in flight.
func (w *zoneModel) canUnload(index, engine int) bool {
	inFlight := slices.ContainsFunc(w.network, func(sent message) bool {
		return sent.kind == loadOrder && sent.leader == index && sent.engine == engine
	})
	return w.bounds.unloads && !inFlight
}

// claimedIncarnation returns the engine incarnation that the leader's claim named; its
// orders name the same one.
func (w *zoneModel) claimedIncarnation(index, engine int) uint64 {
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
		state.Models = []fleet.LoadedModel{{Model: testModel, State: fleet.LoadReady}}
	}
	return state
}

// deliver delivers a message to its receiver.
func (w *zoneModel) deliver(sent message) {
	switch sent.kind {
	case readRequest:
		engine := w.engines[sent.engine]
		answer := message{kind: readReply, leader: sent.leader, engine: sent.engine, id: sent.id,
			incarnation: engine.incarnation, fence: engine.fence, loaded: engine.loaded}
		w.reply(answer)
	case readReply:
		w.step(sent.leader, leadership.StateRead{ID: sent.id, Engine: engineNames[sent.engine],
			State: engineState(sent.engine, sent.incarnation, sent.fence, sent.loaded)})
	case learnRequest:
		w.leaders[sent.leader].knownGeneration = w.storedGeneration
		w.step(sent.leader, leadership.RecordLearned{ID: sent.id, Record: w.bounds.record(w.storedGeneration)})
	case claimRequest:
		w.handleClaim(sent)
	case claimReply:
		w.handleClaimReply(sent)
	case loadOrder, unloadOrder:
		w.handleOrder(sent)
	}
}

func (w *zoneModel) reply(reply message) {
	if !w.bounds.delayReplies {
		w.deliver(reply)
		return
	}
	w.send(reply)
}

func (w *zoneModel) handleClaim(sent message) {
	engine := &w.engines[sent.engine]
	answer := message{kind: claimReply, leader: sent.leader, engine: sent.engine, id: sent.id}
	if sent.incarnation == engine.incarnation && sent.fence > engine.fence {
		engine.fence = sent.fence
		answer.granted = true
	}
	answer.incarnation, answer.fence, answer.loaded = engine.incarnation, engine.fence, engine.loaded
	w.reply(answer)
}

func (w *zoneModel) handleClaimReply(sent message) {
	answer := leadership.ClaimAnswered{ID: sent.id, Engine: engineNames[sent.engine], Result: leadership.ClaimRefused, Fence: sent.fence}
	if sent.granted {
		answer.Result = leadership.ClaimGranted
		answer.State = engineState(sent.engine, sent.incarnation, sent.fence, sent.loaded)
	}
	w.step(sent.leader, answer)
}

// handleOrder executes an order once per incarnation, and only under the fence and
// incarnation that it names. The leader learns of refusals and of completed unloads.
func (w *zoneModel) handleOrder(sent message) {
	engine := &w.engines[sent.engine]
	leader := &w.leaders[sent.leader]
	inRound := leader.core.Leading() && leader.core.Fence() == sent.fence
	if sent.incarnation != engine.incarnation || sent.fence != engine.fence {
		if inRound {
			w.step(sent.leader, leadership.OrderRefused{Engine: engineNames[sent.engine], Fence: engine.fence})
		}
		return
	}
	if bit := uint16(1) << sent.id; sent.id == 0 || engine.executedOrders&bit == 0 {
		engine.executedOrders |= bit &^ 1
		engine.loaded = sent.kind == loadOrder
	}
	if inRound && sent.kind == unloadOrder {
		leader.occupied[sent.engine] = engine.loaded
	}
}
