package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// mostWritten is what an endless response has if nobody closes its connection, and mostTaken what may be
	// taken of one: the kernel's buffers included.
	mostWritten = 256 << 20
	mostTaken   = 16 << 20
)

// writeEndless writes the unit until the connection is closed, and returns how many bytes were taken.
func writeEndless(conn net.Conn, unit string) int64 {
	var taken int64
	for taken < mostWritten {
		count, err := io.WriteString(conn, unit)
		taken += int64(count)
		if err != nil {
			break
		}
	}
	return taken
}

// Guards against an event without end, which was kept until memory ran out: a stream that may be resumed goes
// on at another server, after its last whole event.
func TestEventsWithoutEndAreNotKept(t *testing.T) {
	unit := strings.Repeat("x", 32<<10)
	for name, c := range map[string]struct {
		path, begin, want string
		isWhole           bool
	}{
		"first event":               {"/stream/", "", "", false},
		"after whole events":        {"/stream/", events(1, 2), events(1, 2), false},
		"after whole ones, resumed": {"/resume/", events(1, 2), events(1, 2, 3, 4), true},
		"first event, begun anew":   {"/resume/", "", events(1, 2, 3, 4), true},
		"lines that end no event":   {"/resume/", events(1) + "id: 2\ndata: ", events(1, 2, 3, 4), true},
	} {
		t.Run(name, func(t *testing.T) {
			var isBroken atomic.Bool
			var taken atomic.Int64
			respond := func(conn net.Conn, request *http.Request) bool {
				if !isBroken.CompareAndSwap(false, true) {
					remaining := map[string]string{"": events(1, 2, 3, 4), "1": events(2, 3, 4), "2": events(3, 4)}[request.Header.Get("X-Last")]
					write(conn, streamHead+chunk(remaining)+"0\r\n\r\n")
					return true
				}
				write(conn, streamHead)
				if c.begin != "" {
					write(conn, chunk(c.begin))
				}
				taken.Store(writeEndless(conn, chunk(unit)))
				return false
			}
			f := newFixture(t, newFakeServer(t, respond), newFakeServer(t, respond))
			got := f.send(t, http.MethodPost, c.path, "")
			isWhole := got.err == nil && got.status == http.StatusOK
			if isWhole != c.isWhole || got.status == http.StatusOK && got.body != c.want {
				t.Errorf("status %d, %d bytes, error %v, want %q", got.status, len(got.body), got.err, c.want)
			}
			if taken.Load() > mostTaken {
				t.Errorf("%d bytes were taken", taken.Load())
			}
			if counted := f.handler.Metrics.EventsTooLong.Load(); counted != 1 {
				t.Errorf("%d events are counted as too long, want one", counted)
			}
		})
	}
}

// answeredFirst has a server send the text, and no more until the caller has its response.
type answeredFirst struct {
	text     string
	answered chan struct{}
	isLate   atomic.Bool
}

// mostSilent is how long such a server waits for that.
const mostSilent = 3 * time.Second

func (a *answeredFirst) respond(conn net.Conn, _ *http.Request) bool {
	write(conn, a.text)
	select {
	case <-a.answered:
	case <-time.After(mostSilent):
		a.isLate.Store(true)
	}
	return false
}

// Guards against rejections and failures that are told only once their bodies have ended, at the deadline at
// worst.
func TestBodiesThatNobodyNeedsAreNotAwaited(t *testing.T) {
	const endless = "X-Id: r1\r\nTransfer-Encoding: chunked\r\n"
	for name, c := range map[string]struct {
		text, path string
		want       int
	}{
		"rejection":                     {"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n" + endless + "\r\n", "/once/", http.StatusServiceUnavailable},
		"rejection, body begun":         {"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n" + endless + "\r\n" + chunk("body"), "/once/", http.StatusServiceUnavailable},
		"refusal without a proof":       {"HTTP/1.1 503 X\r\n" + endless + "\r\n", "/once/", http.StatusBadGateway},
		"failure that may be repeated":  {"HTTP/1.1 500 X\r\n" + endless + "\r\n", "/often/", http.StatusOK},
		"refusal that may be repeated":  {"HTTP/1.1 429 X\r\n" + endless + "\r\n", "/often/", http.StatusOK},
		"half a head, may be repeated":  {"HTTP/1.1 200 OK\r\nX-I", "/often/", http.StatusOK},
		"half a head, stream":           {"HTTP/1.1 200 OK\r\nX-I", "/resume/", http.StatusOK},
		"other answer, may be repeated": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nhalf", "/often/", http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent := &answeredFirst{text: c.text, answered: make(chan struct{})}
			var isAsked atomic.Bool
			respond := func(conn net.Conn, request *http.Request) bool {
				if isAsked.CompareAndSwap(false, true) {
					return silent.respond(conn, request)
				}
				return respondWith(http.StatusOK, events(1))(conn, request)
			}
			got := newFixture(t, newFakeServer(t, respond), newFakeServer(t, respond)).send(t, http.MethodPost, c.path, "")
			close(silent.answered)
			if got.status != c.want || silent.isLate.Load() {
				t.Errorf("status %d, error %v, want %d before the body ends", got.status, got.err, c.want)
			}
		})
	}
}

// Guards against a head that never ends, a byte at a time: a request that may be repeated goes to another server.
func TestHeadThatTricklesIsNotAwaited(t *testing.T) {
	var isAsked atomic.Bool
	wasClosed := make(chan bool, 1)
	respond := func(conn net.Conn, request *http.Request) bool {
		if !isAsked.CompareAndSwap(false, true) {
			return respondWith(http.StatusOK, "whole")(conn, request)
		}
		write(conn, "HTTP/1.1 200 OK\r\nX-Id: ")
		for range mostSilent / trickleInterval {
			if _, err := io.WriteString(conn, "r"); err != nil {
				wasClosed <- true
				return false
			}
			time.Sleep(trickleInterval)
		}
		wasClosed <- false
		return false
	}
	got := newFixture(t, newFakeServer(t, respond), newFakeServer(t, respond)).send(t, http.MethodGet, "/often/", "")
	if got.status != http.StatusOK || got.body != "whole" || !<-wasClosed {
		t.Errorf("status %d, %q, error %v, want the response of the second server, and the first connection closed", got.status, got.body, got.err)
	}
}

const trickleInterval = 50 * time.Millisecond

// Guards against heads without end that nobody can find in logs and metrics, and checks what becomes of their
// requests, sent by the node itself and by a peer.
func TestHeadsWithoutEndAreCounted(t *testing.T) {
	unit := strings.Repeat("v", 32<<10)
	for _, c := range []struct {
		path string
		want int
	}{{"/once/", http.StatusBadGateway}, {"/often/", http.StatusOK}, {"/resume/", http.StatusOK}} {
		for _, isForwarded := range []bool{false, true} {
			var isAsked atomic.Bool
			respond := func(conn net.Conn, request *http.Request) bool {
				if !isAsked.CompareAndSwap(false, true) {
					return respondWith(http.StatusOK, events(1))(conn, request)
				}
				write(conn, "HTTP/1.1 200 OK\r\nField: ")
				writeEndless(conn, unit)
				return false
			}
			servers := []*fakeServer{newFakeServer(t, respond), newFakeServer(t, respond)}
			f := newFixture(t, servers...)
			asking := f
			if isForwarded {
				f, asking, _ = newCutOff(t, servers...)
			}
			if got := f.send(t, http.MethodPost, c.path, ""); got.status != c.want {
				t.Errorf("%s, forwarded %v: status %d, error %v, want %d", c.path, isForwarded, got.status, got.err, c.want)
			}
			if counted := asking.handler.Metrics.HeadsTooLong.Load(); counted != 1 {
				t.Errorf("%s, forwarded %v: %d heads are counted as too long, want one", c.path, isForwarded, counted)
			}
		}
	}
}
