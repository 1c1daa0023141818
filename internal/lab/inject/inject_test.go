package inject

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

func zoneTargets() []Target {
	return []Target{
		{Name: "e1", URL: "u1", Zone: "a", role: roleEngine}, {Name: "e2", URL: "u2", Zone: "b", role: roleEngine},
		{Name: "platform", URL: "p", Zone: faults.PlatformZone, role: rolePlatform},
		{Name: "s1", URL: "s", Zone: "a", role: roleService},
	}
}

func TestEveryKindHasAWindowThatOverlapsTheNext(t *testing.T) {
	windows := plan(Kinds(), zoneTargets(), 20*time.Second, 3)
	if len(windows) != len(Kinds()) {
		t.Fatalf("%d windows for %d kinds", len(windows), len(Kinds()))
	}
	for index, window := range windows {
		if window.to-window.from > longestWindow || window.to > 20*time.Second+time.Microsecond {
			t.Errorf("%s lasts from %s to %s", window.kind, window.from, window.to)
		}
		if index > 0 && windows[index-1].to <= window.from {
			t.Errorf("window of %s starts after that of %s has ended", window.kind, windows[index-1].kind)
		}
	}
	if difference := cmp.Diff(windows, plan(Kinds(), zoneTargets(), 20*time.Second, 3), cmp.AllowUnexported(window{})); difference != "" {
		t.Errorf("the same seed produced different plans:\n%s", difference)
	}
}

func TestZoneCutGoesBothWays(t *testing.T) {
	windows := plan([]Kind{ZoneCut}, zoneTargets(), 10*time.Second, 1)
	cut, other := windows[0].target, "b"
	if cut == "b" {
		other = "a"
	}
	inside, outside := map[string]string{"a": "u1", "b": "u2"}[cut], map[string]string{"a": "u1", "b": "u2"}[other]
	for _, wanted := range []struct{ url, from, to string }{
		{inside, other, cut}, {outside, cut, other}, {"p", cut, string(faults.PlatformZone)},
	} {
		set := windows[0].sets[wanted.url]
		if len(set.Cuts) != 1 || string(set.Cuts[0].From) != wanted.from || string(set.Cuts[0].To) != wanted.to {
			t.Errorf("%s: got cuts %v, expected one from %s to %s", wanted.url, set.Cuts, wanted.from, wanted.to)
		}
	}
}

// recorder records the fault sets posted to a target.
type recorder struct {
	mutex sync.Mutex
	sets  []faults.Set
}

func (r *recorder) ServeHTTP(_ http.ResponseWriter, request *http.Request) {
	var set faults.Set
	if json.NewDecoder(request.Body).Decode(&set) != nil {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.sets = append(r.sets, set)
}

func TestFaultsAtOneTargetAddUpAndEnd(t *testing.T) {
	recorded := &recorder{}
	server := httptest.NewServer(recorded)
	defer server.Close()
	log, err := Run(t.Context(), Options{
		Kinds:   []Kind{"store-slow", "store-stale"},
		Targets: Targets(server.URL, nil), Duration: 90 * time.Millisecond, Seed: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(recorded.sets) != 4 || len(log) != 4 {
		t.Fatalf("got %d sets and %d log entries, expected 4 of each", len(recorded.sets), len(log))
	}
	both := recorded.sets[1]
	if both.Delay == 0 || !both.StaleReads {
		t.Errorf("got second set %+v, expected both faults", both)
	}
	if difference := cmp.Diff(faults.Set{}, recorded.sets[3]); difference != "" {
		t.Errorf("faults remain after the last set:\n%s", difference)
	}
	if log[0].Kind != history.FaultInjected || log[3].Kind != history.FaultCleared {
		t.Errorf("unexpected log entries: %v", log)
	}
}

func TestFaultsEndWithTheRun(t *testing.T) {
	recorded := &recorder{}
	server := httptest.NewServer(recorded)
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Calls interrupted by the cancellation return errors. Only the posted
		// sets matter here.
		_, _ = Run(ctx, Options{Kinds: []Kind{"store-down"}, Targets: Targets(server.URL, nil), Duration: time.Hour, Seed: 1})
	}()
	for received := 0; received == 0; {
		recorded.mutex.Lock()
		received = len(recorded.sets)
		recorded.mutex.Unlock()
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	last := recorded.sets[len(recorded.sets)-1]
	if difference := cmp.Diff(faults.Set{}, last); difference != "" {
		t.Errorf("faults remain after the last set:\n%s", difference)
	}
}

func TestKindsAreCheckedByName(t *testing.T) {
	if kinds, err := ParseKinds([]string{"all"}); err != nil || len(kinds) != len(definitions) {
		t.Errorf("ParseKinds(all) returned %v, %v", kinds, err)
	}
	if kinds, err := ParseKinds([]string{"none"}); err != nil || len(kinds) != 0 {
		t.Errorf("ParseKinds(none) returned %v, %v", kinds, err)
	}
	if _, err := ParseKinds([]string{"store-up"}); err == nil {
		t.Error("ParseKinds accepted an unknown fault")
	}
}
