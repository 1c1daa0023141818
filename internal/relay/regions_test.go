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

// newRegionFixture has a server in each of two regions: s0 in the north, which is the node's region, and
// s1 in the south.
func newRegionFixture(t *testing.T, north, south *fakeServer) *fixture {
	t.Helper()
	f := newFixture(t, north, south)
	topology := locality.NewMap(map[string]string{"n": "north", "s": "south"})
	shared := dispatch.NewShared(dispatch.Options{Zone: "n", Topology: topology, Seed: 1})
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

// regionTable has routes of several kinds, all restricted to the regions, and one tenant.
func regionTable(version int64, regions locality.Regions, ofTenant locality.Regions) *routetable.Table {
	services := []routetable.WeightedService{{Service: "svc", Weight: 1}}
	routes := []routetable.Route{
		{Name: "once", Host: "127.0.0.1", Prefix: "/once/", MaxAttempts: 1, Services: services},
		{Name: "often", Host: "127.0.0.1", Prefix: "/often/", RetryPolicy: routetable.RetrySafe, MaxAttempts: 2, Services: services},
		{Name: "resume", Host: "127.0.0.1", Prefix: "/resume/", Stream: true, RetryPolicy: routetable.RetryResume, MaxAttempts: 2, Services: services},
	}
	for i := range routes {
		routes[i].Regions = regions
	}
	table := routetable.New(version, routes, []routetable.Service{{Name: "svc"}}, routetable.Limits{})
	table.SetTenants([]routetable.Tenant{{Name: "t", Keys: []routetable.KeyHash{routetable.HashKey("k")}, Regions: ofTenant}})
	return table
}

// A request runs only in the regions allowed for both its route and its tenant; if there is none, or no
// server in them, it is refused at once as not run.
func TestRequestsStayInTheirRegions(t *testing.T) {
	north, south := newFakeServer(t, respondWith(http.StatusOK, "north")), newFakeServer(t, respondWith(http.StatusOK, "south"))
	f := newRegionFixture(t, north, south)
	anywhere := locality.Regions{}
	cases := []struct {
		name              string
		ofRoute, ofTenant locality.Regions
		want              string
	}{
		{"no restriction: the nearest", anywhere, anywhere, "north"},
		{"the route's", locality.Only("south"), anywhere, "south"},
		{"the tenant's", anywhere, locality.Only("south"), "south"},
		{"both apply", locality.Only("north", "south"), locality.Only("south"), "south"},
		{"no common region", locality.Only("north"), locality.Only("south"), reasonNoRegion},
		{"a region without servers", locality.Only("east"), anywhere, reasonNoRegionServer},
	}
	for i, c := range cases {
		f.handler.SetTable(regionTable(int64(i+1), c.ofRoute, c.ofTenant))
		sent, started := north.count()+south.count(), time.Now()
		got := f.send(t, http.MethodPost, "/once/", "b", "X-Key", "k", "X-Model", "m")
		if !strings.Contains(got.body, c.want) {
			t.Errorf("%s: status %d %q, want %q", c.name, got.status, got.body, c.want)
		}
		if got.status == http.StatusOK {
			continue
		}
		took := time.Since(started)
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "not-run") || north.count()+south.count() != sent || took > waiting.AnnouncementGracePeriod {
			t.Errorf("%s: status %d %q after %v, want a refusal at once as not run", c.name, got.status, got.body, took)
		}
	}
	if got := f.handler.Metrics.RegionRefused.Load(); got != 2 {
		t.Errorf("%d region refusals counted, want 2", got)
	}
}

// A server of another region is not used for a retry or a resume, even if the failed one was the only one
// in the allowed region.
func TestRetriesAndResumesStayInTheirRegions(t *testing.T) {
	failing := newFakeServer(t, respondWith(http.StatusInternalServerError, "broken"))
	south := newFakeServer(t, respondWith(http.StatusOK, "south"))
	f := newRegionFixture(t, failing, south)
	f.handler.SetTable(regionTable(1, locality.Only("north"), locality.Regions{}))
	if got := f.send(t, http.MethodPost, "/often/", "b", "X-Key", "k"); got.status != http.StatusInternalServerError || south.count() != 0 {
		t.Errorf("a retry: status %d, %d sends to the other region", got.status, south.count())
	}
	breaking := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		write(conn, "f\r\nid: 1\ndata: a\n\n\r\n")
		time.Sleep(20 * time.Millisecond)
		return reset(conn)
	})
	f = newRegionFixture(t, breaking, south)
	f.handler.SetTable(regionTable(1, locality.Only("north"), locality.Regions{}))
	if got := f.send(t, http.MethodPost, "/resume/", "b", "X-Key", "k"); got.err == nil || south.count() != 0 {
		t.Errorf("a resumed stream: %v, %d sends to the other region", got.err, south.count())
	}
}

// A retry follows regions that changed while the request was at its first server.
func TestRetryGoesByTheNewestRegions(t *testing.T) {
	var f *fixture
	south := newFakeServer(t, respondWith(http.StatusOK, "south"))
	north := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		f.handler.SetTable(regionTable(2, locality.Only("south"), locality.Regions{}))
		return respondWith(http.StatusInternalServerError, "broken")(conn, request)
	})
	f = newRegionFixture(t, north, south)
	f.handler.SetTable(regionTable(1, locality.Only("north"), locality.Regions{}))
	if got := f.send(t, http.MethodPost, "/often/", "b", "X-Key", "k"); got.status != http.StatusOK || got.body != "south" {
		t.Errorf("got %d %q, want the response of the region that is allowed now", got.status, got.body)
	}
}

// Guards against sending to a region that was forbidden while the connection was opened.
func TestRegionsThatChangeRightBeforeTheSend(t *testing.T) {
	north, south := newFakeServer(t, respondWith(http.StatusOK, "north")), newFakeServer(t, respondWith(http.StatusOK, "south"))
	f := newRegionFixture(t, north, south)
	f.handler.SetTable(regionTable(1, locality.Regions{}, locality.Regions{}))
	f.onDial = func() { f.handler.SetTable(regionTable(2, locality.Regions{}, locality.Only("south"))) }
	if got := f.send(t, http.MethodPost, "/once/", "b", "X-Key", "k"); got.body != "south" || north.count() != 0 {
		t.Errorf("got %q, %d requests reached the north", got.body, north.count())
	}
}

// A request that waits for a model follows the regions as they change, and the leader's demand counts
// follow as well.
func TestWaitingGoesByTheNewestRegions(t *testing.T) {
	north, south := newFakeServer(t, respondWith(http.StatusOK, "north")), newFakeServer(t, respondWith(http.StatusOK, "south"))
	f := newRegionFixture(t, north, south)
	table := func(version int64, regions locality.Regions) *routetable.Table {
		engine := &routetable.Engine{Models: map[string]routetable.Model{"x": {Name: "x", Load: time.Second}}}
		return routetable.New(version, []routetable.Route{{
			Name: "llm", Host: "127.0.0.1", Prefix: "/llm/", LatencyGoal: 5 * time.Second, MaxAttempts: 1, Regions: regions,
			Services: []routetable.WeightedService{{Service: "svc", Weight: 1}},
		}}, []routetable.Service{{Name: "svc", Engine: engine}}, routetable.Limits{})
	}
	f.handler.SetTable(table(1, locality.Only("north")))
	f.dispatch.Do(func(core *dispatch.Core) { core.SetLeader(clock.Now(), 1, false, 0) })
	response := make(chan result, 1)
	go func() { response <- f.send(t, http.MethodPost, "/llm/", "b", "X-Model", "x") }()
	waitsFor := func(regions locality.Regions) bool {
		isWaiting := false
		f.dispatch.Do(func(core *dispatch.Core) {
			for _, count := range core.Demand(clock.Now().Add(-time.Minute)) {
				isWaiting = isWaiting || count.Requirements.Regions == regions && count.Waiting == 1 && count.Requests == 1
			}
		})
		return isWaiting
	}
	await(t, "the request waits in the north", func() bool { return waitsFor(locality.Only("north")) })
	f.handler.SetTable(table(2, locality.Only("south")))
	await(t, "the request waits in the south", func() bool { return waitsFor(locality.Only("south")) && !waitsFor(locality.Only("north")) })
	held := func(id, zone, address string) inventory.Change {
		return inventory.Change{Server: inventory.Server{ID: id, Service: "svc", Address: address, Zone: zone, Models: []inventory.HeldModel{{Name: "x"}}}}
	}
	f.dispatch.Do(func(core *dispatch.Core) { core.SetServers([]inventory.Change{held("s0", "n", north.address)}) })
	time.Sleep(waiting.RecheckInterval / 2)
	f.dispatch.Do(func(core *dispatch.Core) { core.SetServers([]inventory.Change{held("s1", "s", south.address)}) })
	if got := <-response; got.body != "south" || north.count() != 0 {
		t.Errorf("got %d %q, %d requests reached the north", got.status, got.body, north.count())
	}
	await(t, "no request waits", func() bool { return !waitsFor(locality.Only("north")) && !waitsFor(locality.Only("south")) })
	// A waiting request whose last region is removed is refused at once, as not run.
	go func() { response <- f.send(t, http.MethodPost, "/llm/", "b", "X-Model", "y") }()
	time.Sleep(waiting.AnnouncementGracePeriod / 2)
	f.handler.SetTable(table(3, locality.Only()))
	if got := <-response; got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, reasonNoRegion) || !strings.Contains(got.body, "not-run") {
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
	t.Fatalf("timed out waiting until %s", what)
}
