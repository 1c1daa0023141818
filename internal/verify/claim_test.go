package verify

import (
	"fmt"
	"slices"
	"testing"

	"github.com/spanlanding/spanlanding/internal/claim"
)

// moves gives all that may happen next: any message is delivered, an asker's
// time runs out, a granted call is told to have run or not, the table changes,
// a keeper ends for good.
func (w *claimModel) moves() []move[*claimModel] {
	var moves []move[*claimModel]
	for index, sent := range w.network {
		asker, keeper := -1, sent.to
		if sent.voted != nil {
			asker, keeper = sent.to, -1
		}
		next := w.clone(asker, keeper)
		next.network = slices.Delete(next.network, index, index+1)
		next.deliver(sent)
		moves = append(moves, named(next, "%v", sent))
		if w.repeats < w.bounds.repeats && sent.grant != nil {
			again := w.clone(-1, keeper)
			again.repeats++
			again.deliver(sent)
			moves = append(moves, named(again, "%v, doubled", sent))
		}
	}
	for index := range w.askers {
		moves = append(moves, w.askerMoves(index)...)
	}
	return append(moves, w.keeperMoves()...)
}

func (w *claimModel) askerMoves(index int) []move[*claimModel] {
	var moves []move[*claimModel]
	asker := &w.askers[index]
	if !asker.begun {
		// Its table may be older than the newest.
		for version := 1; version <= w.version; version++ {
			next := w.clone(index, -1)
			next.askers[index].begun = true
			next.stepAsker(index, claim.Begin{Slot: w.bounds.slot(version)})
			moves = append(moves, named(next, "asker %d begins in version %d", index, version))
		}
		return moves
	}
	if asker.asked == nil && asker.timeouts < w.bounds.timeouts {
		next := w.clone(index, -1)
		next.askers[index].timeouts++
		next.askers[index].now = asker.core.NextWake()
		next.stepAsker(index, claim.Tick{})
		moves = append(moves, named(next, "time of asker %d runs out", index))
	}
	if !asker.granted || asker.told || !w.bounds.fails {
		return moves
	}
	outcomes := []claim.Outcome{claim.Ran, claim.NotRun}
	for _, outcome := range outcomes {
		next := w.clone(-1, -1)
		next.askers[index].told = true
		if outcome == claim.NotRun {
			next.sent--
		}
		next.tell(asker.asked, claim.Complete{Key: callKey, Fingerprint: []byte("body"), Outcome: outcome,
			Attempt: fmt.Sprintf("attempt-%d", index), Window: keyWindow, Slot: asker.slot})
		moves = append(moves, named(next, "call %d ends as %d", index, outcome))
	}
	return moves
}

func (w *claimModel) keeperMoves() []move[*claimModel] {
	var moves []move[*claimModel]
	if w.version == 1 && w.bounds.changed != nil {
		next := w.clone(-1, -1)
		next.version++
		// Others learn of it from these, or from askers.
		joined := w.bounds.changed[len(w.bounds.changed)-1]
		next.keepers[joined] = deepCopy(next.keepers[joined])
		next.stepKeeper(joined, claim.SlotUpdate{Slot: w.bounds.slot(2)}, claimMessage{})
		moves = append(moves, named(next, "the table changes"))
	}
	for index := range w.bounds.ends {
		// The last of the first seats end first.
		ending := 2 - index
		if w.ends != index {
			continue
		}
		next := w.clone(-1, -1)
		next.ends++
		next.ended[ending] = true
		for _, other := range w.bounds.changed {
			next.send(claimMessage{to: other, gone: &claim.ProcessEnded{Seat: keeperSeats[ending]}})
		}
		moves = append(moves, named(next, "keeper %s ends", keeperSeats[ending].Name))
	}
	return moves
}

func (m claimMessage) String() string {
	switch {
	case m.grant != nil:
		return fmt.Sprintf("%s asks keeper %s in version %d", m.grant.Attempt, keeperSeats[m.to].Name, m.grant.Slot.Version)
	case m.voted != nil:
		return fmt.Sprintf("keeper %s answers asker %d: vote %d", m.voted.From.Name, m.to, m.voted.Reply.Vote)
	case m.complete != nil:
		return fmt.Sprintf("keeper %s hears that %s ended as %d", keeperSeats[m.to].Name, m.complete.Attempt, m.complete.Outcome)
	case m.seal != nil:
		return fmt.Sprintf("keeper %s is asked for records by %s", keeperSeats[m.to].Name, keeperSeats[m.from].Name)
	case m.handed != nil:
		return fmt.Sprintf("keeper %s takes the records of %s", keeperSeats[m.to].Name, m.handed.From.Name)
	case m.learn != nil:
		return fmt.Sprintf("keeper %s learns version %d", keeperSeats[m.to].Name, m.learn.Slot.Version)
	}
	return fmt.Sprintf("keeper %s hears that %s ended", keeperSeats[m.to].Name, m.gone.Seat.Name)
}

func exploreClaims(bounds claimBounds, limit int) outcome {
	return explore(space[*claimModel]{
		initial: newClaims(&bounds),
		moves:   (*claimModel).moves,
		key:     (*claimModel).key,
		broken:  (*claimModel).broken,
		limit:   limit,
	})
}

var claimModels = map[string]claimBounds{
	"one version":            {slow: true},
	"calls that fail":        {fails: true},
	"doubled questions":      {repeats: 1, timeouts: 1},
	"one seat is replaced":   {changed: []int{0, 1, 3}, ends: 1},
	"all but one replaced":   {changed: []int{0, 3}},
	"two seats end":          {changed: []int{0, 3}, ends: 2},
	"seats move while alive": {changed: []int{0, 1, 3}},
}

// Keepers and askers cost more to copy than leaders: of claims a fifth of the
// states is looked at.
const claimShare = 5

func TestNoOrderOfEventsSendsTwice(t *testing.T) {
	for name, bounds := range claimModels {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := exploreClaims(bounds, *statesLimit/claimShare)
			t.Log(found)
			if found.broken != "" {
				t.Error(found)
			}
		})
	}
}

// TestExplorationFindsPlantedDefectsOfClaims proves that it can fail.
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
			found := exploreClaims(bounds, defectsLimit)
			t.Log(found)
			if found.broken == "" {
				t.Error("the planted defect was not found")
			}
		})
	}
}
