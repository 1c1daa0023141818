package platform

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"
)

// orderHoldTime is how long orders are held: longer than it takes until the next holder gives
// its first order, which is the lease, the quiet time between holders, their margin and
// the candidates' delays.
const orderHoldTime = 6 * time.Second

// reorderTime is the time that the holder needs to learn what servers lost, and to
// order it anew. It may order for a second and more after it is cut off from the store.
const reorderTime = 200 * time.Millisecond

// holdOrders lets the servers lose their models, holds what the holder of the lease then
// orders on its way to all of them, and takes the lease from it. What it ordered and gave
// up is set free once another has the lease. One is held at a time.
func (s *soak) holdOrders() {
	s.mu.Lock()
	isHeld := time.Now().Before(s.ordersHeldUntil)
	if !isHeld {
		s.ordersHeldUntil = time.Now().Add(reorderTime + orderHoldTime)
	}
	s.mu.Unlock()
	c := s.leaseHolder()
	if isHeld || c == nil {
		return
	}
	s.disturb(serverScope, "", "servers lose their models", reorderTime+orderHoldTime)
	held := fault{blockTo: true, containing: fmt.Sprintf("%q:%q", "holder", c.name)}
	for _, m := range s.activeServers() {
		if m.proxy == nil {
			continue
		}
		m.proxy.set(anySender, held)
		s.runAfter(reorderTime+orderHoldTime, func() { m.proxy.set(anySender, fault{}) })
		m.loseModels()
		m.register(s.store, "ready")
	}
	s.runAfter(reorderTime, func() {
		s.faultLink(c, c.storeProxy, anySender, "its orders are held, and it is cut off from the store", orderHoldTime, fault{refuse: true}, true)
	})
}

// loseModels lets a server hold nothing; what it loads goes on.
func (m *modelServer) loseModels() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.models)
}

// leaseHolder is the node that wrote the lease last; nil where none did.
func (s *soak) leaseHolder() *control {
	s.store.mu.Lock()
	text := s.store.objects["leases"]["leader"].Spec
	s.store.mu.Unlock()
	var lease struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(text, &lease) != nil {
		return nil
	}
	for _, c := range s.controls {
		if c.name == lease.Holder {
			return c
		}
	}
	return nil
}

// silenceTime is how long connections stay silent: nobody waits that long for one.
const silenceTime = 8 * time.Second

// silence lets the connections that are open go silent, in a direction that is drawn,
// while new ones work. Node, or server, is whom it concerns.
func (s *soak) silence(drawn drawnFault, w *proxy, name, what string) {
	if w == nil {
		return
	}
	direction, f := silentDirection(drawn)
	f.openedBefore = time.Now()
	s.disturb(nodeScope, name, fmt.Sprintf("%s silent %s", what, direction), silenceTime)
	w.set(anySender, f)
	s.runAfter(silenceTime, func() { w.set(anySender, fault{}) })
}

func silentDirection(drawn drawnFault) (direction string, f fault) {
	switch drawn.server % 3 {
	case 0:
		return "one way", fault{blockTo: true}
	case 1:
		return "the other way", fault{blockFrom: true}
	default:
		return "both ways", fault{blockTo: true, blockFrom: true}
	}
}

func (s *soak) silenceServer(drawn drawnFault) {
	staying := s.activeServers()
	m := staying[(drawn.server/3)%len(staying)]
	if m.proxy == nil {
		return
	}
	direction, f := silentDirection(drawn)
	f.openedBefore = time.Now()
	s.disturb(serverScope, "", fmt.Sprintf("connections to %s silent %s", m.id, direction), silenceTime)
	s.disturb(serverLinkScope, m.id, "its connections are silent", silenceTime)
	m.proxy.set(anySender, f)
	s.runAfter(silenceTime, func() { m.proxy.set(anySender, fault{}) })
}

// A holder of the lease ended while its orders were under way behind cut ways; the next holder ordered,
// and when the ways healed the orders of the former one arrived and were taken, under an older token.
// What is given up by a process that runs is reset, but one that ends gives nothing up: its kernel
// closed the connections in the ordinary way, so the bytes stayed deliverable. The books of five servers
// settled it, as the holder of token 27 had stopped as planned six seconds before:
//
//	ONE: i-2 took token 27 after 55
func TestOrdersOfAHolderThatEndedDoNotArrive(t *testing.T) {
	if testing.Short() {
		t.Skip("takes a minute")
	}
	for name, end := range map[string]func(s *soak, c *control){
		"it is killed":         func(s *soak, c *control) { s.kill(c, orderHoldTime) },
		"it stops, as planned": func(s *soak, c *control) { s.stopNode(c) },
	} {
		t.Run(name, func(t *testing.T) {
			s := startSoak(t, soakOptions{seed: 1, nodes: keptNodes, kinds: firstKinds(), hasProxies: true, slack: keptSlack})
			s.finish(s.run(func() {
				for range 2 {
					s.endHolderWithOrdersHeld(end)
					time.Sleep(soakReconnect)
				}
			}))
		})
	}
}

// endHolderWithOrdersHeld ends the holder of the lease while its orders are held before the servers, and
// sets them free when the next holder has long ordered.
func (s *soak) endHolderWithOrdersHeld(end func(s *soak, c *control)) {
	var c *control
	eventually(s.t, "somebody gives orders", func() bool {
		c = s.leaseHolder()
		return c != nil && slices.ContainsFunc(s.activeServers(), func(m *modelServer) bool {
			given := m.ordersTaken()
			return len(given) > 0 && given[len(given)-1].Holder == c.name
		})
	})
	s.disturb(serverScope, "", "servers lose their models", reorderTime+orderHoldTime)
	for _, m := range s.activeServers() {
		m.proxy.set(anySender, fault{blockTo: true, containing: fmt.Sprintf("%q:%q", "holder", c.name)})
		m.loseModels()
		m.register(s.store, "ready")
	}
	time.Sleep(reorderTime)
	end(s, c)
	time.Sleep(orderHoldTime)
	for _, m := range s.activeServers() {
		m.proxy.set(anySender, fault{})
	}
	s.activeFaults.Wait()
}
