package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

var promiseStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// refuseFirst gives the first request of all servers that share it the status without a proof that it did not
// run, and serves all others.
func refuseFirst(status int, served string) responder {
	var isRefused atomic.Bool
	return func(conn net.Conn, request *http.Request) bool {
		if isRefused.CompareAndSwap(false, true) {
			return respondWith(status, "own", "X-Stamp: s")(conn, request)
		}
		return respondWith(http.StatusOK, served)(conn, request)
	}
}

// Guards against a server's refusal that nothing proves, passed on as a promise: a request that may be repeated
// goes to another server, any other fails.
func TestUnprovenRefusalIsNoPromise(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	for _, status := range promiseStatuses {
		for _, c := range []struct {
			path                string
			wantStatus, wantRun int
		}{
			{"/once/", http.StatusBadGateway, 1},
			{"/command/", http.StatusBadGateway, 1},
			{"/stream/", http.StatusBadGateway, 1},
			{"/often/", http.StatusOK, 2},
			{"/resume/", http.StatusOK, 2},
		} {
			for _, isForwarded := range []bool{false, true} {
				t.Run(fmt.Sprint(status, c.path, "forwarded ", isForwarded), func(t *testing.T) {
					respond := refuseFirst(status, event)
					servers := []*fakeServer{newFakeServer(t, respond), newFakeServer(t, respond)}
					f := newFixture(t, servers...)
					if isForwarded {
						f, _, _ = newCutOff(t, servers...)
					}
					got := f.send(t, http.MethodPost, c.path, "body")
					if got.status != c.wantStatus || got.header.Get("X-Stamp") != "" || got.header.Get("Retry-After") != "" {
						t.Errorf("status %d, %v, want %d of the node itself", got.status, got.header, c.wantStatus)
					}
					if sent := servers[0].count() + servers[1].count(); sent != c.wantRun {
						t.Errorf("sent %d times, want %d", sent, c.wantRun)
					}
				})
			}
		}
	}
}

// Guards against a refusal of a peer that does not say whether a server ran the request, as peers of earlier
// builds do not, passed on as a promise.
func TestPeersRefusalWithoutProofIsNoPromise(t *testing.T) {
	for _, status := range promiseStatuses {
		peer := newFakeServer(t, respondWith(status, "", "Retry-After: 0.1"))
		f := newFixture(t)
		f.cutOff(peer.address)
		if got := f.send(t, http.MethodPost, "/command/", "body"); got.status != http.StatusBadGateway || peer.count() != 1 {
			t.Errorf("status %d after the peer's %d, which was asked %d times; want 502 and once", got.status, status, peer.count())
		}
	}
}

// Guards against a node's own promise for a request that may have run at a server before, as when the request
// waits for a second server at a node whose queue is full.
func TestRequestThatMayHaveRunIsNotRefused(t *testing.T) {
	server := newFakeServer(t, func(net.Conn, *http.Request) bool { return false })
	f := newFixture(t, server)
	f.handler.options.MaxWaiting = -1
	if got := f.send(t, http.MethodGet, "/often/", ""); got.status != http.StatusBadGateway || server.count() != 1 {
		t.Errorf("status %d after %d sends, want 502 after one", got.status, server.count())
	}
}
