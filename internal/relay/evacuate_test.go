package relay

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
)

func (f *fixture) evacuate(zones ...string) {
	f.dispatch.Do(func(core *dispatch.Core) { core.SetEvacuated(zones) })
}

// wantEvacuatedRefusal checks that a request was refused at once as not run, with a Retry-After before
// its deadline.
func wantEvacuatedRefusal(t *testing.T, what string, got result, held, deadline time.Duration) {
	t.Helper()
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, reasonEvacuated) || !strings.Contains(got.body, "not-run") {
		t.Errorf("%s: status %d %s, want a refusal for evacuated zones", what, got.status, got.body)
	}
	if held > deadline/4 {
		t.Errorf("%s: held for %v of %v", what, held, deadline)
	}
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil || retryAfter <= 0 || retryAfter > min(evacuatedRetryDelay, deadline).Seconds() {
		t.Errorf("%s: Retry-After %q with %v left", what, got.header.Get("Retry-After"), deadline)
	}
}

// While all servers of a service are evacuated, new and waiting requests of all kinds are refused at
// once; after the evacuation it serves again.
func TestEvacuatedServiceRefusesAtOnce(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.evacuate("z")
	for _, path := range []string{"/once/", "/often/", "/stream/"} {
		started := time.Now()
		wantEvacuatedRefusal(t, path, f.send(t, http.MethodPost, path, "", "X-Wait", "2s"), time.Since(started), 2*time.Second)
	}
	f.evacuate()
	if got := f.send(t, http.MethodPost, "/once/", ""); got.status != http.StatusOK || server.count() != 1 {
		t.Errorf("status %d after %d sends once the evacuation is over, want 200 after one", got.status, server.count())
	}
	f.handler.SetTable(engineTable(5 * time.Second))
	f.setView(map[string][]string{}, map[string]time.Duration{"m": time.Second})
	time.AfterFunc(200*time.Millisecond, func() { f.evacuate("z") })
	started := time.Now()
	wantEvacuatedRefusal(t, "a waiting request", f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"), time.Since(started), 5*time.Second)
}

// Guards against sending a request to a zone that was evacuated while the connection was opened.
func TestZoneEvacuatedWhileItsServerIsDialledGetsNothing(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.onDial = func() { f.evacuate("z") }
	got := f.send(t, http.MethodPost, "/once/", "", "X-Wait", "2s")
	if got.status != http.StatusServiceUnavailable || server.count() != 0 {
		t.Errorf("status %d after %d sends, want 503 after none", got.status, server.count())
	}
}

// A stream that runs in a zone when it is evacuated continues to its end.
func TestWhatRunsInAnEvacuatedZoneRunsOn(t *testing.T) {
	var f *fixture
	server := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool {
		write(conn, streamHead+chunk(events(1, 2)))
		f.evacuate("z")
		time.Sleep(50 * time.Millisecond)
		write(conn, chunk(events(3))+"0\r\n\r\n")
		return true
	})
	f = newFixture(t, server)
	if got := f.send(t, http.MethodPost, "/stream/", ""); got.err != nil || got.body != events(1, 2, 3) {
		t.Errorf("got %q, %v; want the whole stream", got.body, got.err)
	}
}

// A broken stream is neither resumed in an evacuated zone nor held until the evacuation ends.
func TestBrokenStreamIsNotResumedInAnEvacuatedZone(t *testing.T) {
	var f *fixture
	respond := func(conn net.Conn, _ *http.Request) bool {
		write(conn, streamHead+chunk(events(1, 2)))
		f.evacuate("z")
		time.Sleep(30 * time.Millisecond)
		return false
	}
	servers := []*fakeServer{newFakeServer(t, respond), newFakeServer(t, respond)}
	f = newFixture(t, servers...)
	started := time.Now()
	got := f.send(t, http.MethodPost, "/resume/", "")
	if got.err == nil || servers[0].count()+servers[1].count() != 1 {
		t.Errorf("got %q, %v after %d sends; want a truncated response after one", got.body, got.err, servers[0].count()+servers[1].count())
	}
	if held := time.Since(started); held > 2*time.Second {
		t.Errorf("held for %v", held)
	}
}

// Guards against sending before the node is ready: a node that had got its configuration and servers from
// a peer, but not yet the evacuated zones, sent requests there.
func TestNodeThatDoesNotKnowEnoughSendsNothing(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.handler.options.IsReady = func() bool { return false }
	f.handler.options.AwaitReady = func(context.Context) {}
	got := f.send(t, http.MethodPost, "/once/", "body")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || server.count() != 0 {
		t.Errorf("%+v after %d sends, want 503 with Retry-After after none", got, server.count())
	}
}
