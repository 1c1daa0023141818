package relay

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// TestNobodyIsHeldForAServiceWithoutServers: callers were told to come back in 270 ms
// and, when they did, held until their deadlines.
func TestNobodyIsHeldForAServiceWithoutServers(t *testing.T) {
	f := newFixture(t, newStandin(t, answering(http.StatusOK, "ok")))
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "s0"}, Gone: true}})
	})
	for _, wait := range []string{"4s", "900ms", "600ms"} {
		started := time.Now()
		got := f.send(t, http.MethodPost, "/once/", "body", "X-Wait", wait)
		back, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || err != nil || back < waiting.ServerRegistrationTime.Seconds() {
			t.Errorf("%s: %+v, want 503 with when a server is expected", wait, got)
		}
		if took := time.Since(started); took > 500*time.Millisecond {
			t.Errorf("%s: held for %v", wait, took)
		}
	}
}

// TestWhoCameBackGoesBeforeWhoIsNew, and the more urgent route before both.
func TestWhoCameBackGoesBeforeWhoIsNew(t *testing.T) {
	rank := func(priority int, returned bool) int {
		x := &exchange{engine: true, route: &routetable.Route{Priority: priority}, returned: returned}
		return x.urgency()
	}
	order := []int{rank(0, true), rank(0, false), rank(1, true), rank(1, false), rank(2, true), rank(2, false)}
	for i := 1; i < len(order); i++ {
		if order[i-1] >= order[i] {
			t.Errorf("ranks %v do not rise at %d", order, i)
		}
	}
	if got := rank(9, false); got != waiting.LowestRank {
		t.Errorf("the least urgent rank is %d, want %d", got, waiting.LowestRank)
	}
	if got := (&exchange{route: &routetable.Route{}}).urgency(); got >= 0 {
		t.Errorf("a plain request has the rank %d, want none", got)
	}
}

// TestRequestWaitsForWhatAStartingNodeHasToKnow, and is refused with when to come back
// where that does not come.
func TestRequestWaitsForWhatAStartingNodeHasToKnow(t *testing.T) {
	f := newFixture(t, newStandin(t, answering(http.StatusOK, "ok")))
	table := f.handler.Table()
	f.handler.table.Store(nil)
	f.handler.options.IsReady = func() bool { return f.handler.Table() != nil }
	f.handler.options.AwaitReady = func(ctx context.Context) { <-ctx.Done() }
	if got := f.send(t, http.MethodPost, "/once/", "body"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("%+v, want 503 with when to come back", got)
	}
	f.handler.options.AwaitReady = func(context.Context) { f.handler.SetTable(table) }
	if got := f.send(t, http.MethodPost, "/once/", "body"); got.status != http.StatusOK {
		t.Errorf("status %d, want the answer once the node knows enough", got.status)
	}
	if waiting := f.handler.Waiting(); waiting != 0 {
		t.Errorf("%d requests wait at the end", waiting)
	}
}
