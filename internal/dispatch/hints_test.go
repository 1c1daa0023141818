package dispatch

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// bornEntry is the entry of one start of a server that holds m.
func bornEntry(id string, born, revision int64) inventory.Change {
	change := entry(id, "z", "m")
	change.Server.StartedAtMs, change.Server.Position = born, storepos.At(0, revision)
	return change
}

// hear lets a server tell something with its answer to a request.
func hear(t *testing.T, core *Core, now time.Time, hint inventory.Hint) inventory.Start {
	t.Helper()
	choice, ok := core.Pick(now, Request{Service: "s", Model: "m"})
	if !ok {
		t.Fatal("no server takes a request")
	}
	start := choice.Attempt.Start()
	core.ReceiveHint(now, start, hint)
	core.RecordFirstByte(now, choice.Attempt)
	core.End(now, choice.Attempt, OutcomeServed)
	return start
}

func TestLeavingHoldsForOneStart(t *testing.T) {
	core := newCore(bornEntry("a", 7, 1))
	hear(t, core, begin, inventory.Hint{Draining: true})
	ask := Request{Model: "m"}
	steps := []struct {
		name   string
		change inventory.Change
		want   string
	}{
		{"a newer entry that does not say so", bornEntry("a", 7, 5), ""},
		{"its entry goes", inventory.Change{Server: inventory.Server{ID: "a", StartedAtMs: 7}, Gone: true}, ""},
		{"an old list brings it back", bornEntry("a", 7, 2), ""},
		{"a later start", bornEntry("a", 8, 6), "a"},
		{"the earlier start, told late", bornEntry("a", 7, 5), "a"},
	}
	for _, step := range steps {
		core.SetServers([]inventory.Change{step.change})
		if got := pick(core, begin, ask); got != step.want {
			t.Errorf("%s: picked %q, want %q", step.name, got, step.want)
		}
	}
	if core.ReceiveHint(begin, inventory.Start{ID: "a", StartedAtMs: 7}, inventory.Hint{Draining: true}) || pick(core, begin, ask) != "a" {
		t.Error("a late answer of the earlier start binds the later one")
	}
}

func TestRestThenOneThenMore(t *testing.T) {
	core := newCore(entry("a", "z", "m"))
	hear(t, core, begin, inventory.Hint{Backoff: 3 * time.Second})
	ask := Request{Service: "s", Model: "m"}
	wanted := Requirements{Service: "s", Model: "m"}
	if left, elsewhere, ok := core.BackoffEndsIn(begin.Add(time.Second), wanted); left != 2*time.Second || elsewhere || !ok {
		t.Errorf("rests for %v, could be loaded elsewhere: %v, rests: %v", left, elsewhere, ok)
	}
	if _, known := core.ReadyIn(begin, wanted); known || core.CanPick(begin.Add(2999*time.Millisecond), ask) {
		t.Error("it is sent to, or foretold, in its rest")
	}
	now := begin.Add(3 * time.Second)
	first, ok := core.Pick(now, ask)
	if !ok || core.CanPick(now, ask) {
		t.Fatalf("after the rest one request goes: %v, and a second beside it: %v", ok, core.CanPick(now, ask))
	}
	core.ReceiveHint(now, first.Attempt.Start(), inventory.Hint{Backoff: time.Second})
	core.RecordFirstByte(now, first.Attempt)
	core.End(now, first.Attempt, OutcomeRejected)
	if core.CanPick(now.Add(999*time.Millisecond), ask) {
		t.Error("it is sent to in its second rest")
	}
	now = now.Add(time.Second)
	again, _ := core.Pick(now, ask)
	core.End(now, again.Attempt, OutcomeFailed)
	if again, ok = core.Pick(now, ask); !ok || core.CanPick(now, ask) {
		t.Error("a request that brought no answer shows nothing: the next goes alone")
	}
	core.RecordFirstByte(now, again.Attempt)
	if !core.CanPick(now, ask) {
		t.Error("the server takes work again, and is left alone")
	}
}

// TestFirstRequestAfterARestIsNotWaitedForLong: a server that turns away does so at once.
func TestFirstRequestAfterARestIsNotWaitedForLong(t *testing.T) {
	core := newCore(entry("a", "z", "m"))
	hear(t, core, begin, inventory.Hint{Backoff: time.Second})
	now := begin.Add(time.Second)
	ask := Request{Service: "s", Model: "m"}
	if _, ok := core.Pick(now, ask); !ok {
		t.Fatal("nothing goes after the rest")
	}
	if left, known := core.ReadyIn(now, Requirements{Service: "s", Model: "m"}); !known || left != admission.ProbeTimeout {
		t.Errorf("the next is told to wait for %v, %v", left, known)
	}
	if !core.CanPick(now.Add(admission.ProbeTimeout), ask) {
		t.Error("all wait for an answer that takes long")
	}
}

// TestRestsOfOneServer: the longest counts, answers meanwhile end none, and others are not meant.
func TestRestsOfOneServer(t *testing.T) {
	core := newCore(entry("a", "z", "m"), entry("b", "z"))
	choice, _ := core.Pick(begin, Request{Service: "s", Model: "m"})
	later, _ := core.Pick(begin, Request{Service: "s", Model: "m"})
	core.ReceiveHint(begin, choice.Attempt.Start(), inventory.Hint{Backoff: 3 * time.Second})
	core.ReceiveHint(begin.Add(time.Second), later.Attempt.Start(), inventory.Hint{Backoff: time.Second})
	core.RecordFirstByte(begin, later.Attempt)
	core.End(begin, later.Attempt, OutcomeServed)
	if core.CanPick(begin.Add(2500*time.Millisecond), Request{Service: "s", Model: "m"}) {
		t.Error("a shorter rest, or an answer to an earlier request, ends a longer one")
	}
	if got := pick(core, begin, Request{}); got != "b" {
		t.Errorf("picked %q, want the one that does not rest", got)
	}
	if left, elsewhere, ok := core.BackoffEndsIn(begin, Requirements{Service: "s", Model: "m"}); !ok || !elsewhere || left != 3*time.Second {
		t.Errorf("%v, elsewhere %v, %v", left, elsewhere, ok)
	}
}

// TestWordsOfPeers: that a server leaves holds for all; a rest bound the peer alone, and puts the
// server behind the others.
func TestWordsOfPeers(t *testing.T) {
	core := newCore(bornEntry("a", 1, 1), bornEntry("b", 1, 1))
	a, b := inventory.Start{ID: "a", StartedAtMs: 1}, inventory.Start{ID: "b", StartedAtMs: 1}
	core.ReceivePeerHint(begin, a, inventory.Hint{Backoff: 3 * time.Second})
	for range 20 {
		if got := pick(core, begin, Request{Model: "m"}); got != "b" {
			t.Fatalf("picked %q, which asked a peer for rest", got)
		}
	}
	if got := core.UnavailableStarts(begin); len(got) != 1 || got[0] != a {
		t.Errorf("away: %v", got)
	}
	core.ReceivePeerHint(begin, b, inventory.Hint{Draining: true})
	if got := pick(core, begin, Request{Model: "m"}); got != "a" {
		t.Errorf("picked %q, want the one that stays", got)
	}
	if got := core.UnavailableStarts(begin.Add(2500 * time.Millisecond)); len(got) != 1 || got[0] != b {
		t.Errorf("away: %v, want only the one that leaves", got)
	}
}

func TestWordsAreBounded(t *testing.T) {
	core := newCore(bornEntry("listed", 1, 1))
	core.ReceiveHint(begin, inventory.Start{ID: "listed", StartedAtMs: 1}, inventory.Hint{Draining: true})
	for i := range maxStarts + 100 {
		core.ReceivePeerHint(begin.Add(time.Duration(i)*time.Millisecond), inventory.Start{ID: strconv.Itoa(i)}, inventory.Hint{Draining: true})
	}
	if len(core.starts) > maxStarts+1 {
		t.Errorf("%d words are kept", len(core.starts))
	}
	core.ReceivePeerHint(begin.Add(time.Hour), inventory.Start{ID: "late"}, inventory.Hint{Draining: true})
	if len(core.starts) != 2 || pick(core, begin, Request{Model: "m"}) != "" {
		t.Errorf("%d words after an hour, want those of the server with an entry and the last", len(core.starts))
	}
}

// wordsWorld plays drawn steps on a core and keeps what servers told, to compare with.
type wordsWorld struct {
	core *Core
	now  time.Time
	// listed are the entries that stand, and revision is that of the last.
	listed   map[string]inventory.Server
	revision int64
	leaving  map[inventory.Start]bool
	resting  map[inventory.Start]time.Time
	// defect is planted in how the core takes what it is told.
	defect defect
}

type defect string

const (
	soundCore        defect = ""
	forgetsAtOnce    defect = "forgotten at the answer's end"
	keepsBeyondStart defect = "held beyond the start"
	entryBringsBack  defect = "brought back by an old entry"
	toldWithoutBorn  defect = "told without the start"
	restsByService   defect = "rest by service in place of server"
)

func newWordsWorld(planted defect) *wordsWorld {
	return &wordsWorld{
		core: newCore(), now: begin, defect: planted, listed: make(map[string]inventory.Server),
		leaving: make(map[inventory.Start]bool), resting: make(map[inventory.Start]time.Time),
	}
}

// step plays one drawn step and says what is wrong then; empty is nothing.
func (w *wordsWorld) step(draw func(below int) int) string {
	id := string(rune('a' + draw(2)))
	switch draw(5) {
	case 0:
		w.revision++
		w.enter(bornEntry(id, int64(1+draw(3)), max(1, w.revision-int64(draw(3)))).Server)
	case 1:
		w.core.SetServers([]inventory.Change{{Server: inventory.Server{ID: id}, Gone: true}})
		delete(w.listed, id)
	case 2:
		w.now = w.now.Add(time.Duration(draw(4)) * time.Second)
	case 3:
		w.tellOfPeer(inventory.Start{ID: id, StartedAtMs: int64(1 + draw(3))})
	case 4:
		return w.answer(draw)
	}
	return w.check()
}

// enter lets an entry of a start come, which may be an old one.
func (w *wordsWorld) enter(entry inventory.Server) {
	var before *admission.Server
	known, isListed := w.listed[entry.ID]
	if isListed {
		before = w.core.servers[entry.ID].bounds
	}
	w.core.SetServers([]inventory.Change{{Server: entry}})
	isOlder := entry.Position.IsBefore(known.Position) || entry.Position == known.Position && entry.StartedAtMs < known.StartedAtMs
	if !isListed || !isOlder || entry.Start() == known.Start() {
		w.listed[entry.ID] = entry
	}
	server := w.core.servers[entry.ID]
	switch {
	case w.defect == keepsBeyondStart && server.bounds == nil:
		server.bounds = before
	case w.defect == entryBringsBack:
		server.bounds = nil
	}
}

func (w *wordsWorld) tellOfPeer(start inventory.Start) {
	told := start
	if w.defect == toldWithoutBorn {
		told.StartedAtMs = 0
		if server, ok := w.core.servers[start.ID]; ok {
			told.StartedAtMs = server.info.StartedAtMs
		}
	}
	w.core.ReceivePeerHint(w.now, told, inventory.Hint{Draining: true})
	w.leaving[start] = true
}

// answer lets a server answer a request, and tell something with it.
func (w *wordsWorld) answer(draw func(below int) int) string {
	choice, ok := w.core.Pick(w.now, Request{Service: "s", Model: "m"})
	if !ok {
		return ""
	}
	start := choice.Attempt.start
	switch {
	case w.leaving[start]:
		return fmt.Sprintf("%v is sent to, which leaves", start)
	case w.now.Before(w.resting[start]):
		return fmt.Sprintf("%v is sent to, which rests", start)
	}
	hint := inventory.Hint{Draining: draw(4) == 0, Backoff: time.Duration(draw(3)) * time.Second}
	w.core.ReceiveHint(w.now, choice.Attempt.Start(), hint)
	w.core.RecordFirstByte(w.now, choice.Attempt)
	w.core.End(w.now, choice.Attempt, OutcomeServed)
	w.leaving[start] = w.leaving[start] || hint.Draining
	w.resting[start] = later(w.resting[start], w.now.Add(hint.Backoff))
	if w.defect == restsByService && hint.Backoff > 0 {
		for _, other := range w.core.servers {
			w.core.ReceiveHint(w.now, other.info.Start(), hint)
		}
	}
	if w.defect == forgetsAtOnce {
		clear(w.core.starts)
		choice.Attempt.server.bounds = nil
	}
	return w.check()
}

// check says which server is left alone that told nothing in this start.
func (w *wordsWorld) check() string {
	for id, entry := range w.listed {
		start := entry.Start()
		if w.leaving[start] || w.now.Before(w.resting[start]) {
			continue
		}
		if !w.core.CanPick(w.now, Request{Service: "s", Model: "m", AllowedServers: []string{id}}) {
			return fmt.Sprintf("%v is left alone, which told nothing", start)
		}
	}
	return ""
}

const wordSteps = 60

func TestWordsUnderDrawnSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newWordsWorld(soundCore)
		for range wordSteps {
			if wrong := world.step(func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "draw") }); wrong != "" {
				t.Fatal(wrong)
			}
		}
	})
}

// TestDrawnStepsFindPlantedDefects: the steps above would show each of them.
func TestDrawnStepsFindPlantedDefects(t *testing.T) {
	for _, planted := range []defect{forgetsAtOnce, keepsBeyondStart, entryBringsBack, toldWithoutBorn, restsByService} {
		found := ""
		for seed := uint64(0); seed < 200 && found == ""; seed++ {
			random := rand.New(rand.NewPCG(seed, seed))
			world := newWordsWorld(planted)
			for step := 0; step < wordSteps && found == ""; step++ {
				found = world.step(random.IntN)
			}
		}
		if found == "" {
			t.Errorf("not found: %s", planted)
		}
	}
}
