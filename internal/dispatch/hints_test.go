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
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// startEntry returns the entry of one start of a server that holds the model m.
func startEntry(id string, startedAtMs, revision int64) inventory.Change {
	change := entry(id, "z", "m")
	change.Server.StartedAtMs, change.Server.Position = startedAtMs, storepos.At(0, revision)
	return change
}

// respondWithHint sends a request to a server that responds with the hint.
func respondWithHint(t *testing.T, core *Core, now time.Time, hint inventory.Hint) inventory.Start {
	t.Helper()
	choice, ok := core.Pick(now, Request{Service: "s", Model: "m"})
	if !ok {
		t.Fatal("no server picked")
	}
	start := choice.Attempt.Start()
	core.ReceiveHint(now, start, hint)
	core.RecordFirstByte(now, choice.Attempt)
	core.End(now, choice.Attempt, OutcomeServed)
	return start
}

func TestLeavingHoldsForOneStart(t *testing.T) {
	core := newCore(startEntry("a", 7, 1))
	respondWithHint(t, core, begin, inventory.Hint{Draining: true})
	request := Request{Model: "m"}
	steps := []struct {
		name   string
		change inventory.Change
		want   string
	}{
		{"newer entry without draining", startEntry("a", 7, 5), ""},
		{"entry removed", inventory.Change{Server: inventory.Server{ID: "a", StartedAtMs: 7}, Gone: true}, ""},
		{"entry restored by an outdated list", startEntry("a", 7, 2), ""},
		{"later start", startEntry("a", 8, 6), "a"},
		{"late entry of the earlier start", startEntry("a", 7, 5), "a"},
	}
	for _, step := range steps {
		core.SetServers([]inventory.Change{step.change})
		if got := pick(core, begin, request); got != step.want {
			t.Errorf("%s: picked %q, want %q", step.name, got, step.want)
		}
	}
	if core.ReceiveHint(begin, inventory.Start{ID: "a", StartedAtMs: 7}, inventory.Hint{Draining: true}) || pick(core, begin, request) != "a" {
		t.Error("a late response of the earlier start affects the later one")
	}
}

func TestBackoffThenProbeThenMore(t *testing.T) {
	core := newCore(entry("a", "z", "m"))
	respondWithHint(t, core, begin, inventory.Hint{Backoff: 3 * time.Second})
	request := Request{Service: "s", Model: "m"}
	requirements := Requirements{Service: "s", Model: "m"}
	if left, elsewhere, ok := core.BackoffEndsIn(begin.Add(time.Second), requirements); left != 2*time.Second || elsewhere || !ok {
		t.Errorf("backoff ends in %v, can be loaded elsewhere: %v, backing off: %v", left, elsewhere, ok)
	}
	if _, known := core.ReadyIn(begin, requirements); known || core.CanPick(begin.Add(2999*time.Millisecond), request) {
		t.Error("the server is picked, or expected to be ready, during its backoff")
	}
	now := begin.Add(3 * time.Second)
	first, ok := core.Pick(now, request)
	if !ok || core.CanPick(now, request) {
		t.Fatalf("after the backoff one request is sent: %v, a second one meanwhile: %v", ok, core.CanPick(now, request))
	}
	core.ReceiveHint(now, first.Attempt.Start(), inventory.Hint{Backoff: time.Second})
	core.RecordFirstByte(now, first.Attempt)
	core.End(now, first.Attempt, OutcomeRejected)
	if core.CanPick(now.Add(999*time.Millisecond), request) {
		t.Error("the server can be picked during its second backoff")
	}
	now = now.Add(time.Second)
	again, _ := core.Pick(now, request)
	core.End(now, again.Attempt, OutcomeFailed)
	if again, ok = core.Pick(now, request); !ok || core.CanPick(now, request) {
		t.Error("after a probe without a response, the next request is not sent as a probe")
	}
	core.RecordFirstByte(now, again.Attempt)
	if !core.CanPick(now, request) {
		t.Error("the server takes work again but can't be picked")
	}
}

// TestFirstRequestAfterARestIsNotWaitedForLong: a server that still rejects requests does so at
// once, so a probe without a response must not block others for long.
func TestFirstRequestAfterARestIsNotWaitedForLong(t *testing.T) {
	core := newCore(entry("a", "z", "m"))
	respondWithHint(t, core, begin, inventory.Hint{Backoff: time.Second})
	now := begin.Add(time.Second)
	request := Request{Service: "s", Model: "m"}
	if _, ok := core.Pick(now, request); !ok {
		t.Fatal("no server picked after the backoff")
	}
	if left, known := core.ReadyIn(now, Requirements{Service: "s", Model: "m"}); !known || left != admission.ProbeTimeout {
		t.Errorf("the next request has to wait for %v, known %v", left, known)
	}
	if !core.CanPick(now.Add(admission.ProbeTimeout), request) {
		t.Error("all requests wait for a probe without a response")
	}
}

// TestRestsOfOneServer: the longest backoff counts, responses in the meantime don't end it, and
// other servers are not affected.
func TestRestsOfOneServer(t *testing.T) {
	core := newCore(entry("a", "z", "m"), entry("b", "z"))
	choice, _ := core.Pick(begin, Request{Service: "s", Model: "m"})
	later, _ := core.Pick(begin, Request{Service: "s", Model: "m"})
	core.ReceiveHint(begin, choice.Attempt.Start(), inventory.Hint{Backoff: 3 * time.Second})
	core.ReceiveHint(begin.Add(time.Second), later.Attempt.Start(), inventory.Hint{Backoff: time.Second})
	core.RecordFirstByte(begin, later.Attempt)
	core.End(begin, later.Attempt, OutcomeServed)
	if core.CanPick(begin.Add(2500*time.Millisecond), Request{Service: "s", Model: "m"}) {
		t.Error("a shorter backoff, or a response to an earlier request, ends a longer backoff")
	}
	if got := pick(core, begin, Request{}); got != "b" {
		t.Errorf("picked %q, want the server that is not backing off", got)
	}
	if left, elsewhere, ok := core.BackoffEndsIn(begin, Requirements{Service: "s", Model: "m"}); !ok || !elsewhere || left != 3*time.Second {
		t.Errorf("backoff ends in %v, elsewhere %v, ok %v", left, elsewhere, ok)
	}
}

// TestPeerHints: a server that a peer reports as draining gets no requests. A backoff reported by a
// peer only binds that peer, and moves the server behind the others.
func TestPeerHints(t *testing.T) {
	core := newCore(startEntry("a", 1, 1), startEntry("b", 1, 1))
	a, b := inventory.Start{ID: "a", StartedAtMs: 1}, inventory.Start{ID: "b", StartedAtMs: 1}
	core.ReceivePeerHint(begin, a, inventory.Hint{Backoff: 3 * time.Second})
	for range 20 {
		if got := pick(core, begin, Request{Model: "m"}); got != "b" {
			t.Fatalf("picked %q, which asked a peer for a backoff", got)
		}
	}
	if got := core.UnavailableStarts(begin); len(got) != 1 || got[0] != a {
		t.Errorf("unavailable: %v", got)
	}
	core.ReceivePeerHint(begin, b, inventory.Hint{Draining: true})
	if got := pick(core, begin, Request{Model: "m"}); got != "a" {
		t.Errorf("picked %q, want the server that is not draining", got)
	}
	if got := core.UnavailableStarts(begin.Add(2500 * time.Millisecond)); len(got) != 1 || got[0] != b {
		t.Errorf("unavailable: %v, want only the draining server", got)
	}
}

func TestHintStateIsBounded(t *testing.T) {
	core := newCore(startEntry("listed", 1, 1))
	core.ReceiveHint(begin, inventory.Start{ID: "listed", StartedAtMs: 1}, inventory.Hint{Draining: true})
	for i := range maxStarts + 100 {
		core.ReceivePeerHint(begin.Add(time.Duration(i)*time.Millisecond), inventory.Start{ID: strconv.Itoa(i)}, inventory.Hint{Draining: true})
	}
	if len(core.starts) > maxStarts+1 {
		t.Errorf("%d starts are kept", len(core.starts))
	}
	core.ReceivePeerHint(begin.Add(time.Hour), inventory.Start{ID: "late"}, inventory.Hint{Draining: true})
	if len(core.starts) != 2 || pick(core, begin, Request{Model: "m"}) != "" {
		t.Errorf("%d starts kept after an hour, want the one with an entry and the latest", len(core.starts))
	}
}

// hintWorld runs random steps on a core, and tracks what the servers reported for comparison.
type hintWorld struct {
	core *Core
	now  time.Time
	// listed are the current entries; revision is the one of the latest.
	listed       map[string]inventory.Server
	revision     int64
	draining     map[inventory.Start]bool
	backoffUntil map[inventory.Start]time.Time
	// defect is the fault injected into the core's handling of hints.
	defect defect
}

type defect string

const (
	noDefect                 defect = ""
	forgetsHintAfterResponse defect = "hint dropped after the response"
	keepsHintAfterRestart    defect = "hint kept after a restart"
	entryClearsHint          defect = "hint cleared by an entry"
	peerHintWithoutStart     defect = "peer hint without the start"
	backoffForWholeService   defect = "backoff applied to the whole service"
)

func newHintWorld(injected defect) *hintWorld {
	return &hintWorld{
		core: newCore(), now: begin, defect: injected, listed: make(map[string]inventory.Server),
		draining: make(map[inventory.Start]bool), backoffUntil: make(map[inventory.Start]time.Time),
	}
}

// step runs one random step and returns what is wrong afterwards, or an empty string.
func (w *hintWorld) step(draw func(below int) int) string {
	id := string(rune('a' + draw(2)))
	switch draw(5) {
	case 0:
		w.revision++
		w.applyEntry(startEntry(id, int64(1+draw(3)), max(1, w.revision-int64(draw(3)))).Server)
	case 1:
		w.core.SetServers([]inventory.Change{{Server: inventory.Server{ID: id}, Gone: true}})
		delete(w.listed, id)
	case 2:
		w.now = w.now.Add(time.Duration(draw(4)) * time.Second)
	case 3:
		w.applyPeerHint(inventory.Start{ID: id, StartedAtMs: int64(1 + draw(3))})
	case 4:
		return w.respond(draw)
	}
	return w.check()
}

// applyEntry delivers the entry of a start, which may be outdated.
func (w *hintWorld) applyEntry(entry inventory.Server) {
	var before *admission.Server
	known, isListed := w.listed[entry.ID]
	if isListed {
		before = w.core.servers[entry.ID].admissionState
	}
	w.core.SetServers([]inventory.Change{{Server: entry}})
	isOlder := entry.Position.IsBefore(known.Position) || entry.Position == known.Position && entry.StartedAtMs < known.StartedAtMs
	if !isListed || !isOlder || entry.Start() == known.Start() {
		w.listed[entry.ID] = entry
	}
	server := w.core.servers[entry.ID]
	switch {
	case w.defect == keepsHintAfterRestart && server.admissionState == nil:
		server.admissionState = before
	case w.defect == entryClearsHint:
		server.admissionState = nil
	}
}

func (w *hintWorld) applyPeerHint(start inventory.Start) {
	hinted := start
	if w.defect == peerHintWithoutStart {
		hinted.StartedAtMs = 0
		if server, ok := w.core.servers[start.ID]; ok {
			hinted.StartedAtMs = server.info.StartedAtMs
		}
	}
	w.core.ReceivePeerHint(w.now, hinted, inventory.Hint{Draining: true})
	w.draining[start] = true
}

// respond has a server respond to a request, with a random hint.
func (w *hintWorld) respond(draw func(below int) int) string {
	choice, ok := w.core.Pick(w.now, Request{Service: "s", Model: "m"})
	if !ok {
		return ""
	}
	start := choice.Attempt.start
	switch {
	case w.draining[start]:
		return fmt.Sprintf("request sent to %v, which is draining", start)
	case w.now.Before(w.backoffUntil[start]):
		return fmt.Sprintf("request sent to %v, which is backing off", start)
	}
	hint := inventory.Hint{Draining: draw(4) == 0, Backoff: time.Duration(draw(3)) * time.Second}
	w.core.ReceiveHint(w.now, choice.Attempt.Start(), hint)
	w.core.RecordFirstByte(w.now, choice.Attempt)
	w.core.End(w.now, choice.Attempt, OutcomeServed)
	w.draining[start] = w.draining[start] || hint.Draining
	w.backoffUntil[start] = later(w.backoffUntil[start], w.now.Add(hint.Backoff))
	if w.defect == backoffForWholeService && hint.Backoff > 0 {
		for _, other := range w.core.servers {
			w.core.ReceiveHint(w.now, other.info.Start(), hint)
		}
	}
	if w.defect == forgetsHintAfterResponse {
		clear(w.core.starts)
		choice.Attempt.server.admissionState = nil
	}
	return w.check()
}

// check returns a server that gets no requests although this start sent no hint.
func (w *hintWorld) check() string {
	for id, entry := range w.listed {
		start := entry.Start()
		if w.draining[start] || w.now.Before(w.backoffUntil[start]) {
			continue
		}
		if !w.core.CanPick(w.now, Request{Service: "s", Model: "m", AllowedServers: []string{id}}) {
			return fmt.Sprintf("%v gets no requests although it sent no hint", start)
		}
	}
	return ""
}

const randomSteps = 60

func TestHintsUnderRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world := newHintWorld(noDefect)
		for range randomSteps {
			if problem := world.step(func(below int) int { return rapid.IntRange(0, below-1).Draw(t, "draw") }); problem != "" {
				t.Fatal(problem)
			}
		}
	})
}

// TestDrawnStepsFindPlantedDefects: the random steps detect each of the injected defects.
func TestDrawnStepsFindPlantedDefects(t *testing.T) {
	for _, injected := range []defect{forgetsHintAfterResponse, keepsHintAfterRestart, entryClearsHint, peerHintWithoutStart, backoffForWholeService} {
		found := ""
		for seed := uint64(0); seed < 200 && found == ""; seed++ {
			random := rand.New(rand.NewPCG(seed, seed))
			world := newHintWorld(injected)
			for step := 0; step < randomSteps && found == ""; step++ {
				found = world.step(random.IntN)
			}
		}
		if found == "" {
			t.Errorf("defect not detected: %s", injected)
		}
	}
}
