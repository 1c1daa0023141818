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

// leavingStart is the start of the first server of a fixture.
var leavingStart = inventory.Start{ID: "s0"}

func TestServerThatLeavesBetweenChoiceAndWriteIsNotSentTo(t *testing.T) {
	for name, hint := range map[string]inventory.Hint{"leaves": {Draining: true}, "rests": {Backoff: time.Minute}} {
		servers := []*standinServer{newStandin(t, answering(http.StatusOK, "ok")), newStandin(t, answering(http.StatusOK, "ok"))}
		f := newFixture(t, servers...)
		f.onDial = func() {
			f.dispatch.Do(func(core *dispatch.Core) { core.ReceiveHint(time.Now(), leavingStart, hint) })
		}
		for range 6 {
			if got := f.send(t, http.MethodPost, "/once/", ""); got.status != http.StatusOK {
				t.Errorf("%s: status %d, want 200 from the server that stays", name, got.status)
			}
		}
		if servers[0].count() != 0 {
			t.Errorf("%s: %d requests were sent, though it was known before they left", name, servers[0].count())
		}
	}
}

// streamThen sends the head of a stream and an event, waits, and ends it.
func streamThen(wait <-chan struct{}, ends bool, headers string) script {
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

// TestWordInTheHeadOfAStreamCounts: later choices go by it while the stream runs, which is whole.
func TestWordInTheHeadOfAStreamCounts(t *testing.T) {
	wait := make(chan struct{})
	servers := []*standinServer{
		newStandin(t, streamThen(wait, true, "X-Leaving: 1\r\n")),
		newStandin(t, answering(http.StatusOK, "id: 1\n\n")),
	}
	f := newFixture(t, servers...)
	heard := make(chan inventory.Start, 1)
	f.handler.options.OnHint = func(start inventory.Start, _ inventory.Hint) { heard <- start }
	ended := make(chan result, 40)
	sent := 0
	for servers[0].count() == 0 {
		sent++
		go func() { ended <- f.send(t, http.MethodPost, "/stream/", "") }()
		time.Sleep(5 * time.Millisecond)
	}
	if start := <-heard; start != leavingStart {
		t.Errorf("heard of %v", start)
	}
	came := servers[0].count()
	for range 10 {
		if got := f.send(t, http.MethodPost, "/stream/", ""); got.status != http.StatusOK {
			t.Errorf("status %d, want 200 from the server that stays", got.status)
		}
	}
	if servers[0].count() != came {
		t.Errorf("%d requests were sent while the stream ran that said that the server leaves", servers[0].count()-came)
	}
	close(wait)
	wholeStreams := 0
	for range sent {
		if got := <-ended; got.err == nil && got.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
			wholeStreams++
		}
	}
	if wholeStreams != came {
		t.Errorf("%d of %d streams of the server that leaves are whole", wholeStreams, came)
	}
}

// TestBrokenStreamIsNotResumedAtAServerThatLeaves: it has its resume call, and wants no new work.
func TestBrokenStreamIsNotResumedAtAServerThatLeaves(t *testing.T) {
	now := make(chan struct{})
	close(now)
	server := newStandin(t, streamThen(now, false, "X-Leaving: 1\r\n"))
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

// TestWordOfALateAnswerCounts: the answer to an earlier request comes in the place of the next.
func TestWordOfALateAnswerCounts(t *testing.T) {
	server := newStandin(t, func(conn net.Conn, request *http.Request) bool {
		write(conn, reply("earlier", http.StatusOK, "", "X-Leaving: 1")+reply(request.Header.Get("X-Id"), http.StatusOK, "own"))
		return true
	})
	f := newFixture(t, server)
	if got := f.send(t, http.MethodPost, "/once/", ""); got.body != "own" {
		t.Errorf("got %+v", got)
	}
	if got := f.send(t, http.MethodPost, "/once/", ""); got.status != http.StatusServiceUnavailable || server.count() != 1 {
		t.Errorf("status %d, sent %d times: a late answer said that the server leaves", got.status, server.count())
	}
}

// TestRestIsKeptWithoutPromise: a server may ask for rest with a failure of its own, too.
func TestRestIsKeptWithoutPromise(t *testing.T) {
	for name, headers := range map[string][]string{"not run": {"X-Not-Run: 1", "X-Rest: 60s"}, "a failure": {"X-Rest: 60s"}} {
		resting := newStandin(t, answering(http.StatusServiceUnavailable, "", headers...))
		f := newFixture(t, resting, newStandin(t, answering(http.StatusOK, "ok")))
		for range 20 {
			f.send(t, http.MethodPost, "/once/", "")
		}
		if resting.count() > 1 {
			t.Errorf("%s: %d requests were sent in the rest", name, resting.count()-1)
		}
	}
}

// TestCallersComeBackWhenTheRestIsOver: not before, and not all at once.
func TestCallersComeBackWhenTheRestIsOver(t *testing.T) {
	resting := newStandin(t, answering(http.StatusServiceUnavailable, "", "X-Not-Run: 1", "X-Rest: 60s"))
	f := newFixture(t, resting)
	told := make(map[float64]bool)
	for _, path := range []string{"/once/", "/once/", "/command/", "/often/", "/once/"} {
		got := f.send(t, http.MethodPost, path, "")
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		if got.status != http.StatusServiceUnavailable || err != nil || seconds < 55 || seconds > 65 {
			t.Errorf("%s: status %d, to come back in %v s (%v)", path, got.status, seconds, err)
		}
		told[seconds] = true
	}
	if len(told) < 4 {
		t.Errorf("five callers are told %d times to come back at", len(told))
	}
	if resting.count() != 1 {
		t.Errorf("sent %d times", resting.count())
	}
}

// TestServerWhoseAddressAnotherHasIsNotSentToAgain: another server has the address by now, and
// answers for itself. The node went on to send there, request after request, until the entry
// went; what the other one tells of itself is not meant.
func TestServerWhoseAddressAnotherHasIsNotSentToAgain(t *testing.T) {
	server := newStandin(t, answering(http.StatusMisdirectedRequest, "", "X-By: another", "X-Rest: 60s"))
	f := newFixture(t, server)
	var heard []inventory.Hint
	f.handler.options.OnHint = func(start inventory.Start, hint inventory.Hint) {
		if start == leavingStart {
			heard = append(heard, hint)
		}
	}
	for range 3 {
		f.send(t, http.MethodPost, "/once/", "")
	}
	if server.count() != 1 || len(heard) != 1 || heard[0] != (inventory.Hint{Draining: true}) {
		t.Errorf("sent %d times, heard %v: its start is over", server.count(), heard)
	}
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "s0", StartedAtMs: 2, Service: "svc", Address: server.address, Zone: "z", Slots: 8, Position: storepos.At(0, 2)}}})
	})
	if f.send(t, http.MethodPost, "/once/", ""); server.count() != 2 {
		t.Error("its next start is not sent to")
	}
}
