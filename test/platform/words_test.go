package platform

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// arrivalsFrom returns the requests from a node that reached the server. Request IDs start
// with the node's name.
func (m *modelServer) arrivalsFrom(node string) []arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	var own []arrival
	for _, a := range m.arrivals {
		if strings.HasPrefix(a.id, node+"/") {
			own = append(own, a)
		}
	}
	return own
}

func (m *modelServer) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// sendNamed sends a request whose ID starts with the node's name.
func (n *node) sendNamed(number int, path, model string) reply {
	return n.sendRequest(callerRequest{id: n.name + "/" + strconv.Itoa(number), path: path, model: model, body: "body", deadline: 3 * time.Second})
}

// sendMany sends a sequence of requests through the node.
func (n *node) sendMany(from, count int, path, model string) []reply {
	replies := make([]reply, 0, count)
	for number := range count {
		replies = append(replies, n.sendNamed(from+number, path, model))
	}
	return replies
}

const burst = 12

// TestServerThatSaysItLeavesGetsNoMoreWork: a server announces in each response that it is
// leaving. While the store was unavailable, so that its entry did not say so, nodes kept
// choosing the server for seconds: of a response they kept only the load and whether it had
// run, and that only for the same request. These log lines of one node are a millisecond
// apart:
//
//	event=request_answered status=200 server=i-commands-1 waited_ms=0.0 took_ms=0.3 server_leaving=true
//	event=request_answered status=200 server=i-commands-1 waited_ms=0.0 took_ms=0.2 server_leaving=true
func TestServerThatSaysItLeavesGetsNoMoreWork(t *testing.T) {
	f := newFleet(t, 3)
	commands := []*modelServer{newServer(t, f.store, "i-commands-1", "commands", 0), newServer(t, f.store, "i-commands-2", "commands", 0)}
	models := []*modelServer{
		newServerIn(t, f.store, "z", "i-models-1", "models", 50*time.Millisecond, "m1"),
		newServerIn(t, f.store, "z", "i-models-2", "models", 50*time.Millisecond, "m1"),
	}
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	f.nodes[0].sendNamed(0, "/chat/x", "m1")
	used := models[0]
	if used.runCount() == 0 {
		used = models[1]
	}
	// The store is unavailable from here on, so only responses tell that a server is leaving.
	f.store.set(func() { f.store.unavailable = true })
	draining := []*modelServer{commands[0], used}
	for _, leaver := range draining {
		leaver.set(func() { leaver.isDraining, leaver.arrivals = true, nil })
	}
	for _, n := range f.nodes {
		for _, got := range append(n.sendMany(1, burst, "/command/x", ""), n.sendMany(1+burst, burst, "/chat/x", "m1")...) {
			if got.status != http.StatusOK {
				t.Errorf("%s: %+v, although another server stays", n.name, got)
			}
		}
		for _, leaver := range draining {
			if arrivals := leaver.arrivalsFrom(n.name); len(arrivals) > 1 {
				t.Errorf("%s: %d requests reached %s after it had told the node that it is leaving", n.name, len(arrivals)-1, leaver.id)
			}
		}
	}
}

// TestServerThatAskedForRestIsLeftAlone: a server rejected a request with a Retry-After of
// one minute and got the node's next requests immediately. A rejection was taken to mean
// that the requested model is temporarily missing, and Retry-After was not read. In these
// log lines of one node, each rejection belongs to another request:
//
//	event=request_rejected status=503 server=i-commands-1 waited_ms=0.0 took_ms=0.2 rest_ms=60000.0
//	event=request_refused status=503 reason=rejected_by_server server=i-commands-1
//	event=request_rejected status=503 server=i-commands-1 waited_ms=0.0 took_ms=0.1 rest_ms=60000.0
func TestServerThatAskedForRestIsLeftAlone(t *testing.T) {
	f := newFleet(t, 2)
	commands := []*modelServer{newServer(t, f.store, "i-commands-1", "commands", 0), newServer(t, f.store, "i-commands-2", "commands", 0)}
	models := newServerIn(t, f.store, "z", "i-models-1", "models", 50*time.Millisecond, "m1")
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	const backoff = time.Minute
	for _, rejecting := range []*modelServer{commands[0], models} {
		rejecting.set(func() { rejecting.retryAfter = backoff })
	}
	for _, n := range f.nodes {
		n.sendMany(0, burst, "/command/x", "")
		for _, got := range n.sendMany(burst, 3, "/chat/x", "m1") {
			seconds, err := strconv.ParseFloat(got.retryAfter, 64)
			if got.status != http.StatusServiceUnavailable || err != nil {
				t.Errorf("%s: %+v, want 503 with Retry-After", n.name, got)
			} else if seconds < backoff.Seconds()/2 {
				t.Errorf("%s: Retry-After is %v s, less than half of the only server's back-off of %v", n.name, seconds, backoff)
			}
		}
		for _, asking := range []*modelServer{commands[0], models} {
			if arrivals := asking.arrivalsFrom(n.name); len(arrivals) > 1 {
				t.Errorf("%s: %d requests reached %s during the back-off that it had asked the node for", n.name, len(arrivals)-1, asking.id)
			}
		}
	}
}

// TestOnlyCopyOfAServerThatLeavesIsLoadedElsewhere: while the store still lists the server
// as ready, nodes tell each other what its responses announced.
func TestOnlyCopyOfAServerThatLeavesIsLoadedElsewhere(t *testing.T) {
	f := newFleet(t, 3)
	draining := newServerIn(t, f.store, "z", "i-models-1", "models", 50*time.Millisecond, "m1")
	other := newServerIn(t, f.store, "z", "i-models-2", "models", 50*time.Millisecond)
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	draining.set(func() { draining.isDraining = true })
	f.nodes[2].sendNamed(0, "/chat/x", "m1")
	for _, n := range f.nodes {
		eventually(t, n.name+" learns that the server is leaving", func() bool { return strings.Contains(n.log(), "event=server_word") })
		before := len(draining.arrivalsFrom(n.name))
		number := 100
		eventually(t, n.name+" serves the model from another server", func() bool {
			number++
			return n.sendNamed(number, "/chat/x", "m1").status == http.StatusOK
		})
		if after := len(draining.arrivalsFrom(n.name)); after > before {
			t.Errorf("%s: %d requests reached the leaving server after the node had learned of it", n.name, after-before)
		}
	}
	if other.runCount() == 0 {
		t.Error("nothing ran at the other server")
	}
}

// TestRestThatIsProlongedAndEnds: no requests arrive during a back-off or its extension, and
// they do afterwards.
func TestRestThatIsProlongedAndEnds(t *testing.T) {
	f := newFleet(t, 1)
	rejecting := newServerIn(t, f.store, "z", "i-models-1", "models", 50*time.Millisecond, "m1")
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	n := f.nodes[0]
	rejecting.set(func() { rejecting.retryAfter = time.Second })
	started := time.Now()
	for number := 0; time.Since(started) < 2500*time.Millisecond; number++ {
		n.sendRequest(callerRequest{id: n.name + "/" + strconv.Itoa(number), path: "/chat/x", model: "m1", body: "body", deadline: 50 * time.Millisecond})
	}
	arrivals := rejecting.arrivalsFrom(n.name)
	if len(arrivals) < 2 {
		t.Fatalf("%d requests came within two and a half back-off periods: the back-off never ends", len(arrivals))
	}
	for i := 1; i < len(arrivals); i++ {
		if between := arrivals[i].at.Sub(arrivals[i-1].at); between < rejecting.retryAfter {
			t.Errorf("request %d came %v after the previous one, less than the back-off of %v", i, between, rejecting.retryAfter)
		}
	}
	rejecting.set(func() { rejecting.retryAfter = 0 })
	eventually(t, "the server serves again", func() bool { return n.sendNamed(9999, "/chat/x", "m1").status == http.StatusOK })
}
