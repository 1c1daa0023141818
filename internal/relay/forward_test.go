package relay

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// fixedReachability is the reachability of one node, as the test sets it.
type fixedReachability struct{ unreachable, reachesOthers bool }

func (r *fixedReachability) IsUnreachable(string) bool         { return r.unreachable }
func (r *fixedReachability) RecordContact(string, string)      {}
func (r *fixedReachability) RecordFailure(string, string)      {}
func (r *fixedReachability) ReachesOthers(string, string) bool { return r.reachesOthers }

// listedPeers offers its peers in order.
type listedPeers struct {
	addresses []string
	inFlight  atomic.Int64
	pool      *backendconn.Pool
}

func (p *listedPeers) Pick(_ string, _ locality.Regions, exclude []string) (string, func(), bool) {
	for _, address := range p.addresses {
		if !slices.Contains(exclude, address) {
			p.inFlight.Add(1)
			return address, func() { p.inFlight.Add(-1) }, true
		}
	}
	return "", nil, false
}

func (p *listedPeers) Connect(ctx context.Context, address, requestID string) (*backendconn.Conn, error) {
	return p.pool.Get(ctx, address, requestID)
}

// newPeer makes the fixture's handler serve a peer, and returns its address.
func (f *fixture) newPeer(t *testing.T) string {
	server := httptest.NewServer(http.HandlerFunc(f.handler.ServePeer))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// cutOff makes the fixture's node reach no server, with these peers.
func (f *fixture) cutOff(peers ...string) *listedPeers {
	listed := &listedPeers{addresses: peers, pool: backendconn.New(backendconn.Options{})}
	f.handler.options.Reachability = &fixedReachability{unreachable: true}
	f.handler.options.Forwarder = listed
	return listed
}

// newCutOff returns a node that reaches no server and a peer that reaches the given ones.
func newCutOff(t *testing.T, servers ...*fakeServer) (node, peer *fixture, peers *listedPeers) {
	t.Helper()
	node, peer = newFixture(t, servers...), newFixture(t, servers...)
	return node, peer, node.cutOff(peer.newPeer(t))
}

func TestForwardedRequestIsServedWhole(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusCreated, "the bytes", "X-Stamp: abc", "Spanlanding-Declined: planted", "Spanlanding-Not-Run: 1"))
	node, peer, peers := newCutOff(t, server)
	got := node.send(t, http.MethodPost, "/once/a%2Fb?c=d", "body", "X-Other", "kept", "X-Reserved", "x", "Spanlanding-Forwarded", "planted")
	if got.status != http.StatusCreated || got.body != "the bytes" || got.header.Get("X-Stamp") != "abc" {
		t.Fatalf("got %+v, want the server's response", got)
	}
	sent := server.last()
	if server.count() != 1 || sent.RequestURI != "/once/a%2Fb?c=d" || server.bodies[0] != "body" || sent.Header.Get("X-Other") != "kept" || sent.Header.Get("X-Reserved") != "" {
		t.Errorf("%d sent, the last %s %v", server.count(), sent.RequestURI, sent.Header)
	}
	for _, header := range []http.Header{sent.Header, got.header} {
		for name := range header {
			if strings.HasPrefix(name, peerHeaderPrefix) {
				t.Errorf("header %s left the nodes", name)
			}
		}
	}
	left, err := time.ParseDuration(sent.Header.Get("X-Left"))
	if err != nil || left <= 4*time.Second || left >= 5*time.Second {
		t.Errorf("time left sent to the server: %v, %v", left, err)
	}
	if node.handler.Metrics.Forwarded.Load() != 1 || peer.handler.Metrics.TakenFromPeers.Load() != 1 || peers.inFlight.Load() != 0 {
		t.Error("the request is not counted as forwarded once and ended")
	}
}

// TestForwardedRequestGoesOneHop guards against requests that nodes pass to each other for ever.
func TestForwardedRequestGoesOneHop(t *testing.T) {
	node, peer, _ := newCutOff(t)
	peer.cutOff(node.newPeer(t))
	got := node.send(t, http.MethodPost, "/once/", "body")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %+v, want a refusal", got)
	}
	if taken := node.handler.Metrics.TakenFromPeers.Load() + peer.handler.Metrics.TakenFromPeers.Load(); taken != 0 {
		t.Errorf("%d forwarded requests were taken by nodes without servers", taken)
	}
}

func TestNodesThatDeclineForwardedRequests(t *testing.T) {
	cases := map[string]func(peer *fixture){
		"no configuration":    func(peer *fixture) { peer.handler.table.Store(nil) },
		"older configuration": func(peer *fixture) { peer.handler.SetTable(routetable.New(0, nil, nil, routetable.Limits{})) },
		"no server reached":   func(peer *fixture) { peer.handler.options.Reachability = &fixedReachability{unreachable: true} },
		"closed":              func(peer *fixture) { peer.handler.Close() },
		"too many":            func(peer *fixture) { peer.handler.forwardedActive.Store(maxForwardedActive) },
	}
	for name, decline := range cases {
		server := newFakeServer(t, respondWith(http.StatusOK, "done"))
		node, first, _ := newCutOff(t)
		decline(first)
		second := newFixture(t, server)
		node.cutOff(first.newPeer(t), second.newPeer(t))
		if got := node.send(t, http.MethodPost, "/once/", "body"); got.status != http.StatusOK || server.count() != 1 {
			t.Errorf("%s: status %d after %d runs, want that of the second peer", name, got.status, server.count())
		}
		if node.handler.Metrics.ForwardsDeclined.Load() != 1 {
			t.Errorf("%s: the peer did not decline", name)
		}
	}
}

// TestPeerThatBreaksOff guards against a second run of a request that may not be repeated: a peer
// that fell silent may have sent it.
func TestPeerThatBreaksOff(t *testing.T) {
	cases := []struct {
		name, path, body string
		status, runs     int
	}{
		{"may not be repeated", "/once/", "done", http.StatusBadGateway, 0},
		{"may be repeated", "/often/", "done", http.StatusOK, 1},
		{"stream that may be resumed", "/resume/", "id: 2\n\n", http.StatusOK, 1},
	}
	for _, c := range cases {
		server := newFakeServer(t, respondWith(http.StatusOK, c.body))
		node, peer := newFixture(t), newFixture(t, server)
		broken := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool { return reset(conn) })
		node.cutOff(broken.address, peer.newPeer(t))
		got := node.send(t, http.MethodPost, c.path, "body")
		if got.status != c.status || server.count() != c.runs || broken.count() != 1 {
			t.Errorf("%s: status %d, %d runs, want %d and %d", c.name, got.status, server.count(), c.status, c.runs)
		}
	}
}

// TestStreamGoesOnOverAnotherPeer checks that a resumed stream has each event once.
func TestStreamGoesOnOverAnotherPeer(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "id: 2\n\nid: 3\n\n"))
	node, peer := newFixture(t), newFixture(t, server)
	broken := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nid: 1\n\nid:")
		return false
	})
	node.cutOff(broken.address, peer.newPeer(t))
	got := node.send(t, http.MethodPost, "/resume/", "body")
	if got.body != "id: 1\n\nid: 2\n\nid: 3\n\n" || got.err != nil {
		t.Errorf("the caller got %q, %v", got.body, got.err)
	}
	if server.count() != 1 || server.last().Header.Get("X-Last") != "1" {
		t.Errorf("resumed %d times, after %q", server.count(), server.last().Header.Get("X-Last"))
	}
}

// TestRefusalOfAPeerIsPassedOn checks that the caller learns when to come back, unless the request
// may have run before.
func TestRefusalOfAPeerIsPassedOn(t *testing.T) {
	node, _, _ := newCutOff(t)
	got := node.send(t, http.MethodPost, "/once/", "body")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || !strings.Contains(got.body, outcomeNotRun) {
		t.Errorf("got %+v, want the peer's refusal", got)
	}
	refusing := newFixture(t)
	broken := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool { return reset(conn) })
	node.cutOff(broken.address, refusing.newPeer(t))
	if got := node.send(t, http.MethodPost, "/often/", "body"); got.status != http.StatusBadGateway {
		t.Errorf("status %d after a send that may have run, want 502", got.status)
	}
}

// TestCallerThatLeavesEndsAForwardedRun checks that a close goes on over the peer to the server.
func TestCallerThatLeavesEndsAForwardedRun(t *testing.T) {
	running, closed := make(chan struct{}), make(chan struct{})
	server := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool {
		close(running)
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	node, _, _ := newCutOff(t, server)
	ctx, leave := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, node.url+"/once/", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Id", "r1")
	go func() { _, _ = http.DefaultTransport.RoundTrip(request) }()
	<-running
	leave()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the server still runs the request 5 s after its caller left")
	}
}

// TestForwardedRequestIsCountedOnce checks that the retry budget grows by one for each request.
func TestForwardedRequestIsCountedOnce(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	node, peer, _ := newCutOff(t, server)
	counted := func(f *fixture) int64 {
		f.handler.mu.Lock()
		defer f.handler.mu.Unlock()
		return f.handler.budget.Usage(time.Second)[0].Requests
	}
	before := counted(node) + counted(peer)
	node.send(t, http.MethodPost, "/once/", "body")
	if after := counted(node) + counted(peer); after != before+1 {
		t.Errorf("counted %d times, want once", after-before)
	}
}

func FuzzForwardedState(f *testing.F) {
	f.Add(forwardedState{Service: "a,b&c=d", ConfigVersion: 3, Elapsed: time.Second, SentTo: []string{"s1", "s2"}, IsCounted: true}.encode())
	f.Add("config=1&elapsed_ms=-1")
	f.Add("%")
	f.Fuzz(func(t *testing.T, text string) {
		state, ok := parseForwardedState(text)
		if !ok {
			return
		}
		again, ok := parseForwardedState(state.encode())
		if !ok || again.encode() != state.encode() {
			t.Errorf("%q became %+v, and that %+v", text, state, again)
		}
	})
}

// TestNodeThatReachesNoServerBlamesNoRequest guards against living servers that count as crashed: a
// partition may refuse connections to all of them.
func TestNodeThatReachesNoServerBlamesNoRequest(t *testing.T) {
	for _, reachesOthers := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		server := &fakeServer{address: listener.Addr().String()}
		f := newFixture(t, server)
		suspects := &fakeSuspects{status: poison.StatusClear}
		f.handler.options.Suspects = suspects
		f.handler.options.Reachability = &fixedReachability{reachesOthers: reachesOthers}
		go func() {
			if conn, err := listener.Accept(); err == nil {
				server.serve(conn, func(conn net.Conn, _ *http.Request) bool {
					_ = listener.Close()
					return reset(conn)
				})
			}
		}()
		f.send(t, http.MethodPost, "/once/x", "body")
		if blamed := len(suspects.blamedServers()) > 0; blamed != reachesOthers {
			t.Errorf("reaches other servers: %v, the request is blamed: %v", reachesOthers, blamed)
		}
	}
}

// TestStreamGoesOnAtAServerAfterAPeer guards against a stream that begins anew at a server after a peer
// has broken off: the caller has its first events already.
func TestStreamGoesOnAtAServerAfterAPeer(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "id: 2\n\n"))
	node := newFixture(t, server)
	broken := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\nid: 1\n\n")
		return false
	})
	node.cutOff(broken.address)
	before := node.handler.Metrics.Retries.Load()
	got := node.send(t, http.MethodPost, "/resume/", "body")
	if got.body != "id: 1\n\nid: 2\n\n" || server.count() != 1 || server.last().Header.Get("X-Last") != "1" {
		t.Errorf("the caller got %q; the server was sent to %d times", got.body, server.count())
	}
	if taken := node.handler.Metrics.Retries.Load() - before; taken != 1 {
		t.Errorf("%d retries taken for the second send, want 1", taken)
	}
}

// TestHopCountsTheServersBehindIt guards against a request that runs on more servers than its route allows
// because a peer that asked several of them counts as one.
func TestHopCountsTheServersBehindIt(t *testing.T) {
	cases := map[string]struct {
		path    string
		respond responder
		// silentPeer has the first peer break off without a word.
		silentPeer bool
		asked      int
	}{
		"streams that break off": {path: "/resume/", asked: 2, respond: func(conn net.Conn, request *http.Request) bool {
			write(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk("id: 1\n\n"))
			return reset(conn)
		}},
		"streams that do not begin":           {path: "/resume/", asked: 2, respond: func(conn net.Conn, _ *http.Request) bool { return reset(conn) }},
		"requests without a response":         {path: "/often/", asked: 2, respond: func(conn net.Conn, _ *http.Request) bool { return reset(conn) }},
		"commands that servers reject":        {path: "/command/", asked: 3, respond: respondWith(http.StatusServiceUnavailable, "", "X-Not-Run: 1")},
		"commands without a response":         {path: "/command/", asked: 1, respond: func(conn net.Conn, _ *http.Request) bool { return reset(conn) }},
		"after a peer that ends, no response": {path: "/often/", silentPeer: true, asked: 1, respond: func(conn net.Conn, _ *http.Request) bool { return reset(conn) }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var servers []*fakeServer
			for range 4 {
				servers = append(servers, newFakeServer(t, c.respond))
			}
			node := newFixture(t)
			var peers []string
			if c.silentPeer {
				peers = append(peers, newFakeServer(t, func(conn net.Conn, _ *http.Request) bool { return reset(conn) }).address)
			}
			for range 3 {
				peers = append(peers, newFixture(t, servers...).newPeer(t))
			}
			node.cutOff(peers...)
			node.send(t, http.MethodPost, c.path, "body", "X-Wait", "2s")
			asked := 0
			for _, server := range servers {
				asked += server.count()
			}
			if asked != c.asked {
				t.Errorf("%d servers asked, want %d", asked, c.asked)
			}
		})
	}
}
