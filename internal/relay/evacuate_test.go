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

// wantEvacuated checks that a request was refused as not run, and told when to come
// back within the time that its caller had.
func wantEvacuated(t *testing.T, what string, got result, held, deadline time.Duration) {
	t.Helper()
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, reasonEvacuated) || !strings.Contains(got.body, "not-run") {
		t.Errorf("%s: status %d %s, want a refusal as evacuated", what, got.status, got.body)
	}
	if held > deadline/4 {
		t.Errorf("%s: held for %v of %v", what, held, deadline)
	}
	back, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil || back <= 0 || back > min(evacuatedTime, deadline).Seconds() {
		t.Errorf("%s: Retry-After %q with %v left", what, got.header.Get("Retry-After"), deadline)
	}
}

// TestEvacuatedServiceRefusesAtOnce commands and generations alike, what comes and what
// waits already; and serves again when it is taken back.
func TestEvacuatedServiceRefusesAtOnce(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.evacuate("z")
	for _, path := range []string{"/once/", "/often/", "/stream/"} {
		started := time.Now()
		wantEvacuated(t, path, f.send(t, http.MethodPost, path, "", "X-Wait", "2s"), time.Since(started), 2*time.Second)
	}
	f.evacuate()
	if got := f.send(t, http.MethodPost, "/once/", ""); got.status != http.StatusOK || server.count() != 1 {
		t.Errorf("status %d after %d sends once it is taken back, want 200 after one", got.status, server.count())
	}
	f.handler.SetTable(engineTable(5 * time.Second))
	f.setView(map[string][]string{}, map[string]time.Duration{"m": time.Second})
	time.AfterFunc(200*time.Millisecond, func() { f.evacuate("z") })
	started := time.Now()
	wantEvacuated(t, "what waits", f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"), time.Since(started), 5*time.Second)
}

// TestZoneEvacuatedWhileItsServerIsDialledGetsNothing: the connection that was kept or
// opened carries no new request.
func TestZoneEvacuatedWhileItsServerIsDialledGetsNothing(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.onDial = func() { f.evacuate("z") }
	got := f.send(t, http.MethodPost, "/once/", "", "X-Wait", "2s")
	if got.status != http.StatusServiceUnavailable || server.count() != 0 {
		t.Errorf("status %d after %d sends, want 503 after none", got.status, server.count())
	}
}

// TestWhatRunsInAnEvacuatedZoneRunsOn to its end.
func TestWhatRunsInAnEvacuatedZoneRunsOn(t *testing.T) {
	var f *fixture
	server := newStandin(t, func(conn net.Conn, _ *http.Request) bool {
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

// TestBrokenStreamIsNotResumedInAnEvacuatedZone, and not held for one either.
func TestBrokenStreamIsNotResumedInAnEvacuatedZone(t *testing.T) {
	var f *fixture
	script := func(conn net.Conn, _ *http.Request) bool {
		write(conn, streamHead+chunk(events(1, 2)))
		f.evacuate("z")
		time.Sleep(30 * time.Millisecond)
		return false
	}
	servers := []*standinServer{newStandin(t, script), newStandin(t, script)}
	f = newFixture(t, servers...)
	started := time.Now()
	got := f.send(t, http.MethodPost, "/resume/", "")
	if got.err == nil || servers[0].count()+servers[1].count() != 1 {
		t.Errorf("got %q, %v after %d sends; want a broken answer after one", got.body, got.err, servers[0].count()+servers[1].count())
	}
	if held := time.Since(started); held > 2*time.Second {
		t.Errorf("held for %v", held)
	}
}

// TestNodeThatDoesNotKnowEnoughSendsNothing: a node that had a configuration and servers
// from a peer, but had not heard yet which zones are evacuated, sent requests there.
func TestNodeThatDoesNotKnowEnoughSendsNothing(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.handler.options.IsReady = func() bool { return false }
	f.handler.options.AwaitReady = func(context.Context) {}
	got := f.send(t, http.MethodPost, "/once/", "body")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || server.count() != 0 {
		t.Errorf("%+v after %d sends, want 503 with when to come back after none", got, server.count())
	}
}
