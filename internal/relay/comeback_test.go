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

// Guards against a retry delay shorter than a server needs to register: callers were told to retry in
// 270 ms and were then held until their deadlines.
func TestNobodyIsHeldForAServiceWithoutServers(t *testing.T) {
	f := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, "ok")))
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "s0"}, Gone: true}})
	})
	for _, wait := range []string{"4s", "900ms", "600ms"} {
		started := time.Now()
		got := f.send(t, http.MethodPost, "/once/", "body", "X-Wait", wait)
		retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || err != nil || retryAfter < waiting.ServerRegistrationTime.Seconds() {
			t.Errorf("%s: %+v, want 503 with Retry-After at the expected registration of a server", wait, got)
		}
		if took := time.Since(started); took > 500*time.Millisecond {
			t.Errorf("%s: held for %v", wait, took)
		}
	}
}

// Retries of refused requests are ranked before new ones, and more urgent routes before both.
func TestWhoCameBackGoesBeforeWhoIsNew(t *testing.T) {
	rank := func(priority int, returned bool) int {
		x := &exchange{needsModel: true, route: &routetable.Route{Priority: priority}, isRetry: returned}
		return x.urgency()
	}
	order := []int{rank(0, true), rank(0, false), rank(1, true), rank(1, false), rank(2, true), rank(2, false)}
	for i := 1; i < len(order); i++ {
		if order[i-1] >= order[i] {
			t.Errorf("ranks %v do not increase at %d", order, i)
		}
	}
	if got := rank(9, false); got != waiting.LowestRank {
		t.Errorf("the least urgent rank is %d, want %d", got, waiting.LowestRank)
	}
	if got := (&exchange{route: &routetable.Route{}}).urgency(); got >= 0 {
		t.Errorf("a request for no model has rank %d, want none", got)
	}
}

// A request waits until a starting node is ready, and is refused with a Retry-After if it does not
// become ready.
func TestRequestWaitsForWhatAStartingNodeHasToKnow(t *testing.T) {
	f := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, "ok")))
	table := f.handler.Table()
	f.handler.table.Store(nil)
	f.handler.options.IsReady = func() bool { return f.handler.Table() != nil }
	f.handler.options.AwaitReady = func(ctx context.Context) { <-ctx.Done() }
	if got := f.send(t, http.MethodPost, "/once/", "body"); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("%+v, want 503 with Retry-After", got)
	}
	f.handler.options.AwaitReady = func(context.Context) { f.handler.SetTable(table) }
	if got := f.send(t, http.MethodPost, "/once/", "body"); got.status != http.StatusOK {
		t.Errorf("status %d, want 200 once the node is ready", got.status)
	}
	if waiting := f.handler.Waiting(); waiting != 0 {
		t.Errorf("%d requests counted as waiting at the end", waiting)
	}
}
