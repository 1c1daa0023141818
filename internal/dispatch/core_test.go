package dispatch

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

var begin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

func entry(id, zone string, models ...string) inventory.Change {
	info := inventory.Server{ID: id, Service: "s", Address: id + ":1", Zone: zone, Slots: 8, Position: storepos.At(0, 1)}
	for _, model := range models {
		info.Models = append(info.Models, inventory.HeldModel{Name: model, Adapters: []string{"a1"}})
	}
	return inventory.Change{Server: info}
}

func newCore(changes ...inventory.Change) *Core {
	core := New(Options{Zone: "z", Seed: 1})
	core.SetServers(changes)
	return core
}

func pick(core *Core, now time.Time, request Request) string {
	request.Service = "s"
	choice, ok := core.Pick(now, request)
	if !ok {
		return ""
	}
	core.End(now, choice.Attempt, OutcomeServed)
	return choice.ServerID
}

func TestFilter(t *testing.T) {
	draining := entry("d", "z", "m")
	draining.Server.Draining = true
	core := newCore(entry("a", "z", "m"), entry("b", "z"), draining)
	cases := []struct {
		name    string
		request Request
		want    string
	}{
		{"holds the model", Request{Model: "m"}, "a"},
		{"holds the model and the adapter", Request{Model: "m", Adapter: "a1"}, "a"},
		{"adapter not held", Request{Model: "m", Adapter: "a2"}, ""},
		{"model not held", Request{Model: "n"}, ""},
		{"excluded", Request{Model: "m", Exclude: []string{"a"}}, ""},
		{"not allowed", Request{Model: "m", AllowedServers: []string{"b"}}, ""},
	}
	for _, c := range cases {
		if got := pick(core, begin, c.request); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
	core.MarkModelAbsent(begin, "a", "m", "")
	if got := pick(core, begin.Add(time.Millisecond), Request{Model: "m"}); got != "" {
		t.Errorf("picked %q right after it reported the model as absent", got)
	}
	if got := pick(core, begin.Add(time.Second), Request{Model: "m"}); got != "a" {
		t.Errorf("picked %q a second later, want a", got)
	}
}

// TestLeadersViewGoesBeforeTheEntry: a fresh view overrides the entry, which lags behind.
func TestLeadersViewGoesBeforeTheEntry(t *testing.T) {
	core := newCore(entry("a", "z", "old"))
	core.SetViews(begin, 5, []View{{
		ServerID: "a", Sequence: 3, Held: map[string][]string{"new": {"a1"}},
		Loading: map[string]time.Duration{"next": 2 * time.Second, "new/a2": 100 * time.Millisecond},
	}})
	if pick(core, begin, Request{Model: "old"}) != "" || pick(core, begin, Request{Model: "new"}) != "a" {
		t.Error("the entry overrides a fresh view")
	}
	if pick(core, begin.Add(150*time.Millisecond), Request{Model: "new", Adapter: "a2"}) != "a" {
		t.Error("an adapter is not used after its expected load time")
	}
	if left, known := core.ReadyIn(begin.Add(time.Second), Requirements{Service: "s", Model: "next"}); !known || left != time.Second {
		t.Errorf("ready in %v, known %v; want 1s", left, known)
	}
	if pick(core, begin.Add(2500*time.Millisecond), Request{Model: "next"}) != "" {
		t.Error("a model is used before the leader confirmed its load")
	}
	core.SetViews(begin, 4, []View{{ServerID: "a", Sequence: 9}})
	if pick(core, begin, Request{Model: "new"}) != "a" {
		t.Error("a view of an older term is applied")
	}
	// Nodes that learn from their peers may get no entry for long: an older entry doesn't override
	// the last view, a newer one does.
	if pick(core, begin.Add(4*time.Second), Request{Model: "old"}) != "" || pick(core, begin.Add(4*time.Second), Request{Model: "new"}) != "a" {
		t.Error("an older entry overrides a view that is no longer confirmed")
	}
	core.SetServers([]inventory.Change{entry("a", "z", "old")})
	if pick(core, begin.Add(4*time.Second), Request{Model: "old"}) != "a" {
		t.Error("a newer entry does not override a view that is no longer confirmed")
	}
	core.ConfirmViews(begin.Add(5*time.Second), 5, 0)
	if pick(core, begin.Add(6*time.Second), Request{Model: "new"}) != "a" {
		t.Error("the entry overrides a view that the leader confirmed after it")
	}
}

// TestAdapterComesSoonWhereItsModelStands: guards against refusing callers for the load time of a
// further copy of the model, while a server that holds the model can load the adapter quickly.
func TestAdapterComesSoonWhereItsModelStands(t *testing.T) {
	core := newCore(entry("a", "z", "m"), entry("b", "z"))
	core.SetLeader(begin, 1, false, 0)
	core.SetViews(begin, 1, []View{{ServerID: "b", Sequence: 1, Loading: map[string]time.Duration{"m": 2 * time.Second}}})
	requirements := Requirements{Service: "s", Model: "m", Adapter: "a9"}
	if left, known := core.ReadyIn(begin, requirements); !known || left > 200*time.Millisecond {
		t.Errorf("ready in %v, known %v; want 200ms at most", left, known)
	}
	core.SetDraining("a", storepos.At(0, 9))
	if left, known := core.ReadyIn(begin, requirements); !known || left < 2*time.Second {
		t.Errorf("ready in %v, known %v; want 2s at least, after the load of its model", left, known)
	}
}

// TestOrdersAreExpectedOnlyWhereSomebodyMayGiveThem: guards against callers that wait in vain for
// adapters while no leader holds its lease.
func TestOrdersAreExpectedOnlyWhereSomebodyMayGiveThem(t *testing.T) {
	core := newCore(entry("a", "z", "m"))
	requirements := Requirements{Service: "s", Model: "m", Adapter: "a9"}
	steps := []struct {
		name   string
		change func()
		want   time.Duration
	}{
		{"no leader", func() {}, takeoverTime},
		{"leader", func() { core.SetLeader(begin, 3, false, 0) }, 0},
		{"leader that may order later", func() { core.SetLeader(begin, 4, false, 2*time.Second) }, 2 * time.Second},
		{"leader of an older term", func() { core.SetViews(begin, 5, nil); core.SetLeader(begin, 4, false, 0) }, 2 * time.Second},
		{"leader with a lapsed lease", func() { core.SetLeader(begin, 6, true, 0) }, 2 * time.Second},
	}
	for _, step := range steps {
		step.change()
		if got := core.OrdersIn(begin); got != step.want {
			t.Errorf("%s: orders in %v, want %v", step.name, got, step.want)
		}
	}
	if left, _ := core.ReadyIn(begin.Add(5*time.Second), requirements); left < takeoverTime {
		t.Errorf("an adapter is expected in %v although no leader is heard", left)
	}
}

func TestPromptsGoWhereTheyAreKept(t *testing.T) {
	core := newCore(entry("a", "z", "m"), entry("b", "z", "m"), entry("c", "z", "m"))
	request := Request{Model: "m", PromptTokens: 9000, Parts: []PromptPart{{"p1", 2500}, {"p2", 3500}, {"own", 3000}}}
	first := pick(core, begin, request)
	for i := range 10 {
		request.Parts[2].ID = string(rune('a' + i))
		if got := pick(core, begin.Add(time.Duration(i)*time.Second), request); got != first {
			t.Errorf("picked %s, want %s, which caches the shared parts", got, first)
		}
	}
	other := newCore(entry("c", "z", "m"), entry("b", "z", "m"), entry("a", "z", "m"))
	if got := pick(other, begin, request); got != first {
		t.Errorf("another node picks %s first, want %s as well", got, first)
	}
	core.SetPeerLoads(begin.Add(20*time.Second), "peer", []PeerLoad{{ServerID: first, Running: 4, PendingTokens: 40_000}})
	if got := pick(core, begin.Add(20*time.Second), request); got == first {
		t.Error("picked the server that caches the prompt although it is loaded by peers")
	}
}

func TestFailingServersAreAvoidedAndTriedAgain(t *testing.T) {
	core := newCore(entry("a", "z"), entry("b", "other"))
	if got := pick(core, begin, Request{}); got != "a" {
		t.Fatalf("picked %s, want the server in the own zone", got)
	}
	for range 6 {
		choice, _ := core.Pick(begin, Request{Service: "s", AllowedServers: []string{"a"}})
		core.End(begin, choice.Attempt, OutcomeFailed)
	}
	if core.CountServers(begin, StateSuspect) != 1 {
		t.Error("a server with six failures is not suspect")
	}
	if got := pick(core, begin.Add(time.Second), Request{}); got != "b" {
		t.Errorf("picked %s, want b while a fails", got)
	}
	if got := pick(core, begin.Add(20*time.Second), Request{}); got != "a" {
		t.Errorf("picked %s, want a again after a while", got)
	}
}

func TestServersOwnWordOfItsLoadCounts(t *testing.T) {
	core := newCore(entry("a", "z"), entry("b", "z"))
	core.SetReportedLoad(begin, "a", Load{Running: 8, Waiting: 4, Slots: 8})
	if got := pick(core, begin.Add(100*time.Millisecond), Request{}); got != "b" {
		t.Errorf("picked %s, want b: a reports that it is full", got)
	}
}

func TestCacheIsBounded(t *testing.T) {
	cache := newPromptCache()
	for i := range uint64(5000) {
		cache.add(begin.Add(time.Duration(i)*time.Millisecond), []uint64{i})
	}
	if len(cache.lastUse) > maxCachedParts {
		t.Errorf("%d parts are tracked, want %d at most", len(cache.lastUse), maxCachedParts)
	}
	if _, ok := cache.lastUse[4999]; !ok {
		t.Error("the newest part was evicted")
	}
}

// TestSupplyTellsWhyNobodyTakesWork: the counts tell a service without servers from one whose
// servers are all taken to be draining, which a refusal did not.
func TestSupplyTellsWhyNobodyTakesWork(t *testing.T) {
	core := newCore(entry("a", "z"), entry("b", "z"))
	core.SetDraining("a", storepos.At(0, 9))
	core.SetDraining("unknown", storepos.At(0, 9))
	if got := core.ServerCounts(begin, "s"); got != (ServerCounts{Known: 2, Draining: 1}) {
		t.Errorf("got %+v", got)
	}
}
