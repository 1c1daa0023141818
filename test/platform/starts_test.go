package platform

import (
	"net/http"
	"strconv"
	"testing"
	"time"
)

// A server ended and started again under the identity that it had, with nothing loaded and its
// count of orders at nought. The leader took each of its reports for one from before its own
// orders, as they counted less, and asked again, for as long as the server lived; nothing was
// ordered there any more, and callers of what it had held were refused:
//
//	event=report_read server=i-models sequence=0 busy=false models=0 ok=true
//	event=report_read server=i-models sequence=0 busy=false models=0 ok=true
func TestServerThatStartsAgainUnderItsIdentityIsOrderedAnew(t *testing.T) {
	f := newFleet(t, 2)
	models := newServer(t, f.store, "i-models", "models", 50*time.Millisecond)
	models.set(func() { models.born = time.Now().UnixMilli() })
	models.enter(f.store, "ready")
	f.store.put("config", "main", configuration(1))
	f.awaitReady()
	number := 0
	isServed := func(n *node) func() bool {
		return func() bool {
			number++
			return n.sendOwn(number, "/chat/x", "m1").status == http.StatusOK
		}
	}
	for range 3 {
		for _, n := range f.nodes {
			eventually(t, "m1 is served by "+n.name, isServed(n))
		}
		models.startAgain(f.store)
	}
	eventually(t, "the last start serves m1", isServed(f.nodes[0]))
}

// TestPoisonRequestEndsThreeStartsOfOneServer: each start that ends under a request counts,
// though the identity is the same.
func TestPoisonRequestEndsThreeStartsOfOneServer(t *testing.T) {
	books := newPoisonBooks()
	f := newFleet(t, 2)
	f.isQuiet = true
	for range 2 {
		(&crashingServer{t: t, store: f.store, books: books, downFor: 300 * time.Millisecond, keepsID: true}).start()
	}
	f.store.put("config", "main", configuration(1))
	f.awaitReady()
	for number := range 40 {
		f.nodes[number%2].sendBody("p"+strconv.Itoa(number), poisonBody)
		time.Sleep(poisonPause)
	}
	books.check(t, poisonBody, 0)
}
