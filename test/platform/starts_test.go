package platform

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// TestServerThatStartsAgainUnderItsIdentityIsOrderedAnew: a server restarted under its
// identity, with no models and its sequence number back at zero. The leader considered each
// of its reports older than its own orders, because of the lower sequence number, and only
// asked again. The server never got another order, and callers of its former models were
// refused:
//
//	event=report_read server=i-models sequence=0 busy=false models=0 ok=true
//	event=report_read server=i-models sequence=0 busy=false models=0 ok=true
func TestServerThatStartsAgainUnderItsIdentityIsOrderedAnew(t *testing.T) {
	f := newFleet(t, 2)
	models := newServer(t, f.store, "i-models", "models", 50*time.Millisecond)
	models.set(func() { models.startID = time.Now().UnixMilli() })
	models.register(f.store, "ready")
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	number := 0
	isServed := func(n *node) func() bool {
		return func() bool {
			number++
			return n.sendNamed(number, "/chat/x", "m1").status == http.StatusOK
		}
	}
	for range 3 {
		for _, n := range f.nodes {
			eventually(t, "m1 is served by "+n.name, isServed(n))
		}
		models.restart(f.store)
	}
	eventually(t, "m1 is served after the last restart", isServed(f.nodes[0]))
}

// TestPoisonRequestEndsThreeStartsOfOneServer: each start of a server that crashes on a
// request counts, although the server keeps its identity.
func TestPoisonRequestEndsThreeStartsOfOneServer(t *testing.T) {
	log := newPoisonLog()
	f := newFleet(t, 2)
	f.hidesLogs = true
	for range 2 {
		(&crashingServer{t: t, store: f.store, log: log, downFor: 300 * time.Millisecond, keepsID: true}).start()
	}
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	for number := range 40 {
		f.nodes[number%2].sendBody("p"+strconv.Itoa(number), poisonBody)
		time.Sleep(poisonPause)
	}
	log.check(t, poisonBody, 0)
}
