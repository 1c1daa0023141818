package relay

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// drainingStart is the start of the first server of a fixture.
var drainingStart = inventory.Start{ID: "s0"}

func TestServerThatLeavesBetweenChoiceAndWriteIsNotSentTo(t *testing.T) {
	for name, hint := range map[string]inventory.Hint{"draining": {Draining: true}, "backoff": {Backoff: time.Minute}} {
		servers := []*fakeServer{newFakeServer(t, respondWith(http.StatusOK, "ok")), newFakeServer(t, respondWith(http.StatusOK, "ok"))}
		f := newFixture(t, servers...)
		f.onDial = func() {
			f.dispatch.Do(func(core *dispatch.Core) { core.ReceiveHint(time.Now(), drainingStart, hint) })
		}
		for range 6 {
			if got := f.send(t, http.MethodPost, "/once/", ""); got.status != http.StatusOK {
				t.Errorf("%s: status %d, want 200 from the other server", name, got.status)
			}
		}
		if servers[0].count() != 0 {
			t.Errorf("%s: %d requests were sent after the hint", name, servers[0].count())
		}
	}
}

// streamUntil sends the head of a stream and an event, waits, and then ends the stream or resets the
// connection.
func streamUntil(wait <-chan struct{}, ends bool, headers string) responder {
	return func(conn net.Conn, request *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\n"+headers+"Connection: close\r\n\r\nid: 1\ndata: a\n\n")
		<-wait
		if !ends {
			return reset(conn)
		}
		write(conn, "id: 2\ndata: b\n\n")
		return false
	}
}

// An announcement in the head of a stream applies to later choices while the stream still runs, and the
// stream itself is completed.
func TestWordInTheHeadOfAStreamCounts(t *testing.T) {
	wait := make(chan struct{})
	servers := []*fakeServer{
		newFakeServer(t, streamUntil(wait, true, "X-Leaving: 1\r\n")),
		newFakeServer(t, respondWith(http.StatusOK, "id: 1\n\n")),
	}
	f := newFixture(t, servers...)
	hints := make(chan inventory.Start, 1)
	f.handler.options.OnHint = func(start inventory.Start, _ inventory.Hint) { hints <- start }
	ended := make(chan result, 40)
	sent := 0
	for servers[0].count() == 0 {
		sent++
		go func() { ended <- f.send(t, http.MethodPost, "/stream/", "") }()
		time.Sleep(5 * time.Millisecond)
	}
	if start := <-hints; start != drainingStart {
		t.Errorf("hint of %v, want one of the first server", start)
	}
	served := servers[0].count()
	for range 10 {
		if got := f.send(t, http.MethodPost, "/stream/", ""); got.status != http.StatusOK {
			t.Errorf("status %d, want 200 from the other server", got.status)
		}
	}
	if servers[0].count() != served {
		t.Errorf("%d requests were sent to the server after its stream announced that it is draining", servers[0].count()-served)
	}
	close(wait)
	wholeStreams := 0
	for range sent {
		if got := <-ended; got.err == nil && got.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
			wholeStreams++
		}
	}
	if wholeStreams != served {
		t.Errorf("%d of %d streams of the draining server are whole", wholeStreams, served)
	}
}

// A broken stream is not resumed at a server that announced that it is draining.
func TestBrokenStreamIsNotResumedAtAServerThatLeaves(t *testing.T) {
	now := make(chan struct{})
	close(now)
	server := newFakeServer(t, streamUntil(now, false, "X-Leaving: 1\r\n"))
	f := newFixture(t, server)
	f.handler.SetTable(resumeTable())
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{
			ID: "s0", Service: "svc", Address: server.address, Zone: "z", Slots: 8, Position: storepos.At(0, 2), Models: []inventory.HeldModel{{Name: "m"}},
		}}})
	})
	got := f.send(t, http.MethodPost, "/resume/", "", "X-Model", "m", "X-Wait", "400ms")
	if server.count() != 1 {
		t.Errorf("sent %d times (%+v), want once", server.count(), got)
	}
}

// An announcement in a late response to an earlier request, which precedes the expected response on the
// connection, counts as well.
func TestWordOfALateAnswerCounts(t *testing.T) {
	server := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		write(conn, reply("earlier", http.StatusOK, "", "X-Leaving: 1")+reply(request.Header.Get("X-Id"), http.StatusOK, "own"))
		return true
	})
	f := newFixture(t, server)
	if got := f.send(t, http.MethodPost, "/once/", ""); got.body != "own" {
		t.Errorf("got %+v", got)
	}
	if got := f.send(t, http.MethodPost, "/once/", ""); got.status != http.StatusServiceUnavailable || server.count() != 1 {
		t.Errorf("status %d, sent %d times: a late response announced that the server is draining", got.status, server.count())
	}
}

// A server may ask for a backoff in a plain failure, too, without saying that the request did not run.
func TestRestIsKeptWithoutPromise(t *testing.T) {
	for name, headers := range map[string][]string{"not run": {"X-Not-Run: 1", "X-Rest: 60s"}, "a failure": {"X-Rest: 60s"}} {
		backingOff := newFakeServer(t, respondWith(http.StatusServiceUnavailable, "", headers...))
		f := newFixture(t, backingOff, newFakeServer(t, respondWith(http.StatusOK, "ok")))
		for range 20 {
			f.send(t, http.MethodPost, "/once/", "")
		}
		if backingOff.count() > 1 {
			t.Errorf("%s: %d requests were sent during the backoff", name, backingOff.count()-1)
		}
	}
}

// Callers are told to retry when the backoff is over: not before, and not all at the same time.
func TestCallersComeBackWhenTheRestIsOver(t *testing.T) {
	backingOff := newFakeServer(t, respondWith(http.StatusServiceUnavailable, "", "X-Not-Run: 1", "X-Rest: 60s"))
	f := newFixture(t, backingOff)
	delays := make(map[float64]bool)
	for _, path := range []string{"/once/", "/once/", "/command/", "/often/", "/once/"} {
		got := f.send(t, http.MethodPost, path, "")
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || err != nil || seconds < 55 || seconds > 65 {
			t.Errorf("%s: status %d, Retry-After %v s (%v), want 503 after the backoff", path, got.status, seconds, err)
		}
		delays[seconds] = true
	}
	if len(delays) < 4 {
		t.Errorf("five callers got %d different values of Retry-After, want 4 at least", len(delays))
	}
	if backingOff.count() != 1 {
		t.Errorf("sent %d times, want once", backingOff.count())
	}
}

// Guards against sending request after request to an address that another server has taken over, until
// the old server's entry was removed. What the new server announces of itself does not apply to the old
// one.
func TestServerWhoseAddressAnotherHasIsNotSentToAgain(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusMisdirectedRequest, "", "X-By: another", "X-Rest: 60s"))
	f := newFixture(t, server)
	var hints []inventory.Hint
	f.handler.options.OnHint = func(start inventory.Start, hint inventory.Hint) {
		if start == drainingStart {
			hints = append(hints, hint)
		}
	}
	for range 3 {
		f.send(t, http.MethodPost, "/once/", "")
	}
	if server.count() != 1 || len(hints) != 1 || hints[0] != (inventory.Hint{Draining: true}) {
		t.Errorf("sent %d times, hints %v; want one send and one hint that the start is over", server.count(), hints)
	}
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "s0", StartedAtMs: 2, Service: "svc", Address: server.address, Zone: "z", Slots: 8, Position: storepos.At(0, 2)}}})
	})
	if f.send(t, http.MethodPost, "/once/", ""); server.count() != 2 {
		t.Error("nothing was sent to the next start of the server")
	}
}
