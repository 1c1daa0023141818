package platform

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// arrivalsOf are the requests of a node that reached the server, by the node's name in
// their identities.
func (m *modelServer) arrivalsOf(node string) []arrival {
	m.mu.Lock()
	defer m.mu.Unlock()
	var own []arrival
	for _, came := range m.arrivals {
		if strings.HasPrefix(came.id, node+"/") {
			own = append(own, came)
		}
	}
	return own
}

func (m *modelServer) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// sendOwn sends a request whose identity names the node.
func (n *node) sendOwn(number int, path, model string) reply {
	return n.sendRequest(sending{id: n.name + "/" + strconv.Itoa(number), path: path, model: model, body: "body", deadline: 3 * time.Second})
}

// sendMany sends a burst of requests through the node, one after the other.
func (n *node) sendMany(from, count int, path, model string) []reply {
	replies := make([]reply, 0, count)
	for number := range count {
		replies = append(replies, n.sendOwn(from+number, path, model))
	}
	return replies
}

const burst = 12

// A server that goes away says so in each of its answers. While the store was silent, so that
// no entry said it as well, nodes passed such answers on and went on choosing that server, for
// seconds: of an answer they kept whether it had run and the load, and for its own request
// alone. Two lines of one node, a millisecond apart, settled it; nothing lay between the word
// and the next choice, which did not wait for anything:
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
	f.store.put("config", "main", configuration(1))
	f.awaitReady()
	f.nodes[0].sendOwn(0, "/chat/x", "m1")
	used := models[0]
	if used.runCount() == 0 {
		used = models[1]
	}
	// The store is silent from here on: the answers alone say who leaves.
	f.store.set(func() { f.store.down = true })
	leavers := []*modelServer{commands[0], used}
	for _, leaver := range leavers {
		leaver.set(func() { leaver.isLeaving, leaver.arrivals = true, nil })
	}
	for _, n := range f.nodes {
		for _, got := range append(n.sendMany(1, burst, "/command/x", ""), n.sendMany(1+burst, burst, "/chat/x", "m1")...) {
			if got.status != http.StatusOK {
				t.Errorf("%s: %+v, though another server stays", n.name, got)
			}
		}
		for _, leaver := range leavers {
			if came := leaver.arrivalsOf(n.name); len(came) > 1 {
				t.Errorf("%s: %d requests reached %s after it had told the node that it leaves", n.name, len(came)-1, leaver.id)
			}
		}
	}
}

// A server that turned a request away asked for a minute of rest, and got the next request of
// the same node at once, and the one after that: a rejection was taken to mean that what was
// wanted is not there, for a moment, and the time of rest was not read. Lines of one node
// settled it; each rejection is another request's, so it was no repeat of one request:
//
//	event=request_rejected status=503 server=i-commands-1 waited_ms=0.0 took_ms=0.2 rest_ms=60000.0
//	event=request_refused status=503 reason=rejected_by_server server=i-commands-1
//	event=request_rejected status=503 server=i-commands-1 waited_ms=0.0 took_ms=0.1 rest_ms=60000.0
func TestServerThatAskedForRestIsLeftAlone(t *testing.T) {
	f := newFleet(t, 2)
	commands := []*modelServer{newServer(t, f.store, "i-commands-1", "commands", 0), newServer(t, f.store, "i-commands-2", "commands", 0)}
	resting := newServerIn(t, f.store, "z", "i-models-1", "models", 50*time.Millisecond, "m1")
	f.store.put("config", "main", configuration(1))
	f.awaitReady()
	const rest = time.Minute
	for _, asking := range []*modelServer{commands[0], resting} {
		asking.set(func() { asking.restFor = rest })
	}
	for _, n := range f.nodes {
		n.sendMany(0, burst, "/command/x", "")
		for _, got := range n.sendMany(burst, 3, "/chat/x", "m1") {
			seconds, err := strconv.ParseFloat(got.retryAfter, 64)
			if got.status != http.StatusServiceUnavailable || err != nil {
				t.Errorf("%s: %+v, want a refusal that says when to come back", n.name, got)
			} else if seconds < rest.Seconds()/2 {
				t.Errorf("%s: a caller is to come back in %v s, before the only server's rest of %v ends", n.name, seconds, rest)
			}
		}
		for _, asking := range []*modelServer{commands[0], resting} {
			if came := asking.arrivalsOf(n.name); len(came) > 1 {
				t.Errorf("%s: %d requests reached %s in the rest that it had asked the node for", n.name, len(came)-1, asking.id)
			}
		}
	}
}

// TestOnlyCopyOfAServerThatLeavesIsLoadedElsewhere: the store goes on to say that it is ready, and
// the nodes tell each other what its answers say.
func TestOnlyCopyOfAServerThatLeavesIsLoadedElsewhere(t *testing.T) {
	f := newFleet(t, 3)
	leaver := newServerIn(t, f.store, "z", "i-models-1", "models", 50*time.Millisecond, "m1")
	other := newServerIn(t, f.store, "z", "i-models-2", "models", 50*time.Millisecond)
	f.store.put("config", "main", configuration(1))
	f.awaitReady()
	leaver.set(func() { leaver.isLeaving = true })
	f.nodes[2].sendOwn(0, "/chat/x", "m1")
	for _, n := range f.nodes {
		eventually(t, n.name+" hears of it", func() bool { return strings.Contains(n.log(), "event=server_word") })
		came := len(leaver.arrivalsOf(n.name))
		number := 100
		eventually(t, n.name+" serves the model from elsewhere", func() bool {
			number++
			return n.sendOwn(number, "/chat/x", "m1").status == http.StatusOK
		})
		if later := len(leaver.arrivalsOf(n.name)); later > came {
			t.Errorf("%s: %d requests reached the server that leaves after the node had heard of it", n.name, later-came)
		}
	}
	if other.runCount() == 0 {
		t.Error("nothing ran elsewhere")
	}
}

// TestRestThatIsProlongedAndEnds: nothing comes in either rest, and work does when it is over.
func TestRestThatIsProlongedAndEnds(t *testing.T) {
	f := newFleet(t, 1)
	resting := newServerIn(t, f.store, "z", "i-models-1", "models", 50*time.Millisecond, "m1")
	f.store.put("config", "main", configuration(1))
	f.awaitReady()
	n := f.nodes[0]
	resting.set(func() { resting.restFor = time.Second })
	started := time.Now()
	for number := 0; time.Since(started) < 2500*time.Millisecond; number++ {
		n.sendRequest(sending{id: n.name + "/" + strconv.Itoa(number), path: "/chat/x", model: "m1", body: "body", deadline: 50 * time.Millisecond})
	}
	came := resting.arrivalsOf(n.name)
	if len(came) < 2 {
		t.Fatalf("%d requests came in two rests and a half: the rest never ends", len(came))
	}
	for i := 1; i < len(came); i++ {
		if between := came[i].at.Sub(came[i-1].at); between < resting.restFor {
			t.Errorf("request %d came %v after the server had asked for %v", i, between, resting.restFor)
		}
	}
	resting.set(func() { resting.restFor = 0 })
	eventually(t, "it serves again", func() bool { return n.sendOwn(9999, "/chat/x", "m1").status == http.StatusOK })
}
