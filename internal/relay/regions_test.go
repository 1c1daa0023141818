package relay

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// regionFixture has a server in each of two regions: s0 in the north, which is the
// node's, and s1 in the south.
func regionFixture(t *testing.T, north, south *standinServer) *fixture {
	t.Helper()
	f := newFixture(t, north, south)
	places := locality.NewMap(map[string]string{"n": "north", "s": "south"})
	shared := dispatch.NewShared(dispatch.Options{Zone: "n", Topology: places, Seed: 1})
	shared.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{
			{Server: inventory.Server{ID: "s0", Service: "svc", Address: north.address, Zone: "n", Slots: 8, Models: []inventory.HeldModel{{Name: "m"}}}},
			{Server: inventory.Server{ID: "s1", Service: "svc", Address: south.address, Zone: "s", Slots: 8, Models: []inventory.HeldModel{{Name: "m"}}}},
		})
	})
	f.handler.options.Dispatch = shared
	f.dispatch = shared
	return f
}

// regionTable has all kinds of routes, whose requests may run in the regions.
func regionTable(version int64, regions locality.Regions, ofTenant locality.Regions) *routetable.Table {
	parts := []routetable.WeightedService{{Service: "svc", Weight: 1}}
	routes := []routetable.Route{
		{Name: "once", Host: "127.0.0.1", Prefix: "/once/", MaxAttempts: 1, Services: parts},
		{Name: "often", Host: "127.0.0.1", Prefix: "/often/", RetryPolicy: routetable.RetrySafe, MaxAttempts: 2, Services: parts},
		{Name: "resume", Host: "127.0.0.1", Prefix: "/resume/", Stream: true, RetryPolicy: routetable.RetryResume, MaxAttempts: 2, Services: parts},
	}
	for i := range routes {
		routes[i].Regions = regions
	}
	table := routetable.New(version, routes, []routetable.Service{{Name: "svc"}}, routetable.Limits{})
	table.SetTenants([]routetable.Tenant{{Name: "t", Keys: []routetable.KeyHash{routetable.HashKey("k")}, Regions: ofTenant}})
	return table
}

// TestRequestsStayInTheirRegions, those of the route and of the tenant; where there are
// none, or no server in them, the request is refused at once as not run.
func TestRequestsStayInTheirRegions(t *testing.T) {
	north, south := newStandin(t, answering(http.StatusOK, "north")), newStandin(t, answering(http.StatusOK, "south"))
	f := regionFixture(t, north, south)
	anywhere := locality.Regions{}
	cases := []struct {
		name              string
		ofRoute, ofTenant locality.Regions
		want              string
	}{
		{"anywhere: the nearest", anywhere, anywhere, "north"},
		{"the route's", locality.Only("south"), anywhere, "south"},
		{"the tenant's", anywhere, locality.Only("south"), "south"},
		{"both bind", locality.Only("north", "south"), locality.Only("south"), "south"},
		{"they do not meet", locality.Only("north"), locality.Only("south"), reasonNoRegion},
		{"a region without servers", locality.Only("east"), anywhere, reasonNoRegionServer},
	}
	for i, c := range cases {
		f.handler.SetTable(regionTable(int64(i+1), c.ofRoute, c.ofTenant))
		sent, started := north.count()+south.count(), time.Now()
		got := f.send(t, http.MethodPost, "/once/", "b", "X-Key", "k", "X-Model", "m")
		if !strings.Contains(got.body, c.want) {
			t.Errorf("%s: %d %q, want %q", c.name, got.status, got.body, c.want)
		}
		if got.status == http.StatusOK {
			continue
		}
		took := time.Since(started)
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "not-run") || north.count()+south.count() != sent || took > waiting.AnnouncementGracePeriod {
			t.Errorf("%s: %d %q after %v, want a refusal at once as not run", c.name, got.status, got.body, took)
		}
	}
	if got := f.handler.Metrics.RegionRefused.Load(); got != 2 {
		t.Errorf("%d refusals for want of a place counted, want 2", got)
	}
}

// TestRetriesAndResumesStayInTheirRegions: a server of another region is not asked though
// the one that failed was the last.
func TestRetriesAndResumesStayInTheirRegions(t *testing.T) {
	fails := newStandin(t, answering(http.StatusInternalServerError, "broken"))
	south := newStandin(t, answering(http.StatusOK, "south"))
	f := regionFixture(t, fails, south)
	f.handler.SetTable(regionTable(1, locality.Only("north"), locality.Regions{}))
	if got := f.send(t, http.MethodPost, "/often/", "b", "X-Key", "k"); got.status != http.StatusInternalServerError || south.count() != 0 {
		t.Errorf("a retry: %d, %d sends to the other region", got.status, south.count())
	}
	breaks := newStandin(t, func(conn net.Conn, request *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		write(conn, "f\r\nid: 1\ndata: a\n\n\r\n")
		time.Sleep(20 * time.Millisecond)
		return reset(conn)
	})
	f = regionFixture(t, breaks, south)
	f.handler.SetTable(regionTable(1, locality.Only("north"), locality.Regions{}))
	if got := f.send(t, http.MethodPost, "/resume/", "b", "X-Key", "k"); got.err == nil || south.count() != 0 {
		t.Errorf("a resumed stream: %v, %d sends to the other region", got.err, south.count())
	}
}

// TestRetryGoesByTheNewestRegions: they change while the request is at its first server.
func TestRetryGoesByTheNewestRegions(t *testing.T) {
	var f *fixture
	south := newStandin(t, answering(http.StatusOK, "south"))
	north := newStandin(t, func(conn net.Conn, request *http.Request) bool {
		f.handler.SetTable(regionTable(2, locality.Only("south"), locality.Regions{}))
		return answering(http.StatusInternalServerError, "broken")(conn, request)
	})
	f = regionFixture(t, north, south)
	f.handler.SetTable(regionTable(1, locality.Only("north"), locality.Regions{}))
	if got := f.send(t, http.MethodPost, "/often/", "b", "X-Key", "k"); got.status != http.StatusOK || got.body != "south" {
		t.Errorf("got %d %q, want the answer of the region that is allowed by now", got.status, got.body)
	}
}

// TestRegionsThatChangeRightBeforeTheSend: opening a connection takes a while.
func TestRegionsThatChangeRightBeforeTheSend(t *testing.T) {
	north, south := newStandin(t, answering(http.StatusOK, "north")), newStandin(t, answering(http.StatusOK, "south"))
	f := regionFixture(t, north, south)
	f.handler.SetTable(regionTable(1, locality.Regions{}, locality.Regions{}))
	f.onDial = func() { f.handler.SetTable(regionTable(2, locality.Regions{}, locality.Only("south"))) }
	if got := f.send(t, http.MethodPost, "/once/", "b", "X-Key", "k"); got.body != "south" || north.count() != 0 {
		t.Errorf("got %q, %d requests reached the north", got.body, north.count())
	}
}

// TestWaitingGoesByTheNewestRegions: what waits for a model follows the regions as they
// change, and the leader hears of it.
func TestWaitingGoesByTheNewestRegions(t *testing.T) {
	north, south := newStandin(t, answering(http.StatusOK, "north")), newStandin(t, answering(http.StatusOK, "south"))
	f := regionFixture(t, north, south)
	table := func(version int64, regions locality.Regions) *routetable.Table {
		engine := &routetable.Engine{Models: map[string]routetable.Model{"x": {Name: "x", Load: time.Second}}}
		return routetable.New(version, []routetable.Route{{
			Name: "llm", Host: "127.0.0.1", Prefix: "/llm/", LatencyGoal: 5 * time.Second, MaxAttempts: 1, Regions: regions,
			Services: []routetable.WeightedService{{Service: "svc", Weight: 1}},
		}}, []routetable.Service{{Name: "svc", Engine: engine}}, routetable.Limits{})
	}
	f.handler.SetTable(table(1, locality.Only("north")))
	f.dispatch.Do(func(core *dispatch.Core) { core.SetLeader(clock.Now(), 1, false, 0) })
	answer := make(chan result, 1)
	go func() { answer <- f.send(t, http.MethodPost, "/llm/", "b", "X-Model", "x") }()
	waitsFor := func(regions locality.Regions) bool {
		waits := false
		f.dispatch.Do(func(core *dispatch.Core) {
			for _, count := range core.Demand(clock.Now().Add(-time.Minute)) {
				waits = waits || count.Requirements.Regions == regions && count.Waiting == 1 && count.Requests == 1
			}
		})
		return waits
	}
	await(t, "it waits in the north", func() bool { return waitsFor(locality.Only("north")) })
	f.handler.SetTable(table(2, locality.Only("south")))
	await(t, "it waits in the south", func() bool { return waitsFor(locality.Only("south")) && !waitsFor(locality.Only("north")) })
	held := func(id, zone, address string) inventory.Change {
		return inventory.Change{Server: inventory.Server{ID: id, Service: "svc", Address: address, Zone: zone, Models: []inventory.HeldModel{{Name: "x"}}}}
	}
	f.dispatch.Do(func(core *dispatch.Core) { core.SetServers([]inventory.Change{held("s0", "n", north.address)}) })
	time.Sleep(waiting.RecheckInterval / 2)
	f.dispatch.Do(func(core *dispatch.Core) { core.SetServers([]inventory.Change{held("s1", "s", south.address)}) })
	if got := <-answer; got.body != "south" || north.count() != 0 {
		t.Errorf("got %d %q, %d requests reached the north", got.status, got.body, north.count())
	}
	await(t, "nothing waits", func() bool { return !waitsFor(locality.Only("north")) && !waitsFor(locality.Only("south")) })
	// One that waits as its last region is taken away is refused at once, as not run.
	go func() { answer <- f.send(t, http.MethodPost, "/llm/", "b", "X-Model", "y") }()
	time.Sleep(waiting.AnnouncementGracePeriod / 2)
	f.handler.SetTable(table(3, locality.Only()))
	if got := <-answer; got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, reasonNoRegion) || !strings.Contains(got.body, "not-run") {
		t.Errorf("got %d %q, want a refusal as not run", got.status, got.body)
	}
}

func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not so: %s", what)
}
