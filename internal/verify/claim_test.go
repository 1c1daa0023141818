package verify

import (
	"fmt"
	"slices"
	"testing"

	"github.com/spanlanding/spanlanding/internal/claim"
)

// transitions returns every possible next transition: a message is delivered, an
// asker times out, the outcome of a granted call is reported, the keeper table
// changes, or a keeper's process ends for good.
func (w *claimModel) transitions() []transition[*claimModel] {
	var transitions []transition[*claimModel]
	for index, sent := range w.network {
		asker, keeper := -1, sent.to
		if sent.vote != nil {
			asker, keeper = sent.to, -1
		}
		next := w.clone(asker, keeper)
		next.network = slices.Delete(next.network, index, index+1)
		next.deliver(sent)
		transitions = append(transitions, newTransition(next, "%v", sent))
		if w.duplicates < w.bounds.duplicates && sent.grant != nil {
			duplicated := w.clone(-1, keeper)
			duplicated.duplicates++
			duplicated.deliver(sent)
			transitions = append(transitions, newTransition(duplicated, "%v, delivered twice", sent))
		}
	}
	for index := range w.askers {
		transitions = append(transitions, w.askerTransitions(index)...)
	}
	return append(transitions, w.keeperTransitions()...)
}

func (w *claimModel) askerTransitions(index int) []transition[*claimModel] {
	var transitions []transition[*claimModel]
	asker := &w.askers[index]
	if !asker.started {
		// The asker may start with an older version of the table.
		for version := 1; version <= w.version; version++ {
			next := w.clone(index, -1)
			next.askers[index].started = true
			next.stepAsker(index, claim.Begin{Slot: w.bounds.slot(version)})
			transitions = append(transitions, newTransition(next, "asker %d starts in version %d", index, version))
		}
		return transitions
	}
	if asker.askedSeats == nil && asker.timeouts < w.bounds.timeouts {
		next := w.clone(index, -1)
		next.askers[index].timeouts++
		next.askers[index].now = asker.core.NextWake()
		next.stepAsker(index, claim.Tick{})
		transitions = append(transitions, newTransition(next, "asker %d times out", index))
	}
	if !asker.granted || asker.completed || !w.bounds.allowFailures {
		return transitions
	}
	outcomes := []claim.Outcome{claim.Ran, claim.NotRun}
	for _, outcome := range outcomes {
		next := w.clone(-1, -1)
		next.askers[index].completed = true
		if outcome == claim.NotRun {
			next.sent--
		}
		next.sendComplete(asker.askedSeats, claim.Complete{Key: callKey, Fingerprint: []byte("body"), Outcome: outcome,
			Attempt: fmt.Sprintf("attempt-%d", index), Window: keyWindow, Slot: asker.slot})
		transitions = append(transitions, newTransition(next, "call %d ends as %d", index, outcome))
	}
	return transitions
}

func (w *claimModel) keeperTransitions() []transition[*claimModel] {
	var transitions []transition[*claimModel]
	if w.version == 1 && w.bounds.secondSeats != nil {
		next := w.clone(-1, -1)
		next.version++
		// Other keepers learn of the new version from this one or from askers.
		joined := w.bounds.secondSeats[len(w.bounds.secondSeats)-1]
		next.keepers[joined] = deepCopy(next.keepers[joined])
		next.stepKeeper(joined, claim.SlotUpdate{Slot: w.bounds.slot(2)}, claimMessage{})
		transitions = append(transitions, newTransition(next, "the table changes"))
	}
	for index := range w.bounds.ends {
		// The seats of the first version end from the last to the first.
		ending := 2 - index
		if w.ends != index {
			continue
		}
		next := w.clone(-1, -1)
		next.ends++
		next.ended[ending] = true
		for _, other := range w.bounds.secondSeats {
			next.send(claimMessage{to: other, processEnded: &claim.ProcessEnded{Seat: keeperSeats[ending]}})
		}
		transitions = append(transitions, newTransition(next, "keeper %s ends", keeperSeats[ending].Name))
	}
	return transitions
}

func (m claimMessage) String() string {
	switch {
	case m.grant != nil:
		return fmt.Sprintf("%s requests a grant from keeper %s in version %d", m.grant.Attempt, keeperSeats[m.to].Name, m.grant.Slot.Version)
	case m.vote != nil:
		return fmt.Sprintf("keeper %s replies to asker %d: vote %d", m.vote.From.Name, m.to, m.vote.Reply.Vote)
	case m.complete != nil:
		return fmt.Sprintf("keeper %s learns that %s ended as %d", keeperSeats[m.to].Name, m.complete.Attempt, m.complete.Outcome)
	case m.seal != nil:
		return fmt.Sprintf("keeper %s is asked for records by %s", keeperSeats[m.to].Name, keeperSeats[m.from].Name)
	case m.sealAnswer != nil:
		return fmt.Sprintf("keeper %s receives the records of %s", keeperSeats[m.to].Name, m.sealAnswer.From.Name)
	case m.slotUpdate != nil:
		return fmt.Sprintf("keeper %s learns version %d", keeperSeats[m.to].Name, m.slotUpdate.Slot.Version)
	}
	return fmt.Sprintf("keeper %s learns that the process of %s ended", keeperSeats[m.to].Name, m.processEnded.Seat.Name)
}

func exploreClaims(bounds claimBounds, limit int) exploration {
	return explore(searchSpace[*claimModel]{
		initial:     newClaimModel(&bounds),
		transitions: (*claimModel).transitions,
		key:         (*claimModel).key,
		violation:   (*claimModel).violation,
		limit:       limit,
	})
}

var claimModels = map[string]claimBounds{
	"one version":            {delayReplies: true},
	"calls that fail":        {allowFailures: true},
	"duplicated requests":    {duplicates: 1, timeouts: 1},
	"one seat is replaced":   {secondSeats: []int{0, 1, 3}, ends: 1},
	"all but one replaced":   {secondSeats: []int{0, 3}},
	"two seats end":          {secondSeats: []int{0, 3}, ends: 2},
	"seats move while alive": {secondSeats: []int{0, 1, 3}},
}

// States of the claim model cost more to copy than those of the leadership model, so
// only a fifth as many are visited.
const claimStatesDivisor = 5

func TestNoOrderOfEventsSendsTwice(t *testing.T) {
	for name, bounds := range claimModels {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result := exploreClaims(bounds, *statesLimit/claimStatesDivisor)
			t.Log(result)
			if result.violation != "" {
				t.Error(result)
			}
		})
	}
}

// TestExplorationFindsPlantedDefectsOfClaims proves that the exploration can fail.
func TestExplorationFindsPlantedDefectsOfClaims(t *testing.T) {
	defects := map[string]struct {
		model   string
		defects claim.Defects
	}{
		"one grant is enough": {"one version", claim.Defects{AnyGrant: true}},
		"young keepers vouch": {"all but one replaced", claim.Defects{YoungVouches: true}},
	}
	for name, planted := range defects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bounds := claimModels[planted.model]
			bounds.defects = planted.defects
			result := exploreClaims(bounds, defectsLimit)
			t.Log(result)
			if result.violation == "" {
				t.Error("the exploration did not find the planted defect")
			}
		})
	}
}
