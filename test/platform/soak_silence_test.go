package platform

import (
	"encoding/json"
	"fmt"
	"time"
)

// heldTime is how long orders are held: longer than it takes until the next holder gives
// its first order, which is the lease, the quiet time between holders, their margin and
// the candidates' delays.
const heldTime = 6 * time.Second

// untilOrdered is the time that the holder needs to learn what servers lost, and to
// order it anew. It may order for a second and more after it is cut off from the store.
const untilOrdered = 200 * time.Millisecond

// holdOrders lets the servers lose their models, holds what the holder of the lease then
// orders on its way to all of them, and takes the lease from it. What it ordered and gave
// up is set free once another has the lease. One is held at a time.
func (s *soak) holdOrders() {
	s.mu.Lock()
	isHeld := time.Now().Before(s.heldUntil)
	if !isHeld {
		s.heldUntil = time.Now().Add(untilOrdered + heldTime)
	}
	s.mu.Unlock()
	c := s.holder()
	if isHeld || c == nil {
		return
	}
	s.trouble(atServer, "", "servers lose their models", untilOrdered+heldTime)
	held := fault{deafTo: true, holds: fmt.Sprintf("%q:%q", "holder", c.name)}
	for _, m := range s.staying() {
		if m.way == nil {
			continue
		}
		m.way.set(everybody, held)
		s.later(untilOrdered+heldTime, func() { m.way.set(everybody, fault{}) })
		m.loseModels()
		m.enter(s.store, "ready")
	}
	s.later(untilOrdered, func() {
		s.harm(c, c.toStore, everybody, "its orders are held, and it is cut off from the store", heldTime, fault{refuse: true}, true)
	})
}

// loseModels lets a server hold nothing; what it loads goes on.
func (m *modelServer) loseModels() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.models)
}

// holder is the node that wrote the lease last; nil where none did.
func (s *soak) holder() *control {
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

// silentTime is how long connections stay silent: nobody waits that long for one.
const silentTime = 8 * time.Second

// silence lets the connections that are open go silent, in a direction that is drawn,
// while new ones work. Node, or server, is whom it concerns.
func (s *soak) silence(drawn drawnFault, w *way, name, what string) {
	if w == nil {
		return
	}
	direction, f := silentDirection(drawn)
	f.openedBefore = time.Now()
	s.trouble(atNode, name, fmt.Sprintf("%s silent %s", what, direction), silentTime)
	w.set(everybody, f)
	s.later(silentTime, func() { w.set(everybody, fault{}) })
}

func silentDirection(drawn drawnFault) (direction string, f fault) {
	switch drawn.server % 3 {
	case 0:
		return "one way", fault{deafTo: true}
	case 1:
		return "the other way", fault{deafFrom: true}
	default:
		return "both ways", fault{deafTo: true, deafFrom: true}
	}
}

func (s *soak) silenceServer(drawn drawnFault) {
	staying := s.staying()
	m := staying[(drawn.server/3)%len(staying)]
	if m.way == nil {
		return
	}
	direction, f := silentDirection(drawn)
	f.openedBefore = time.Now()
	s.trouble(atServer, "", fmt.Sprintf("connections to %s silent %s", m.id, direction), silentTime)
	s.trouble(onWayToServer, m.id, "its connections are silent", silentTime)
	m.way.set(everybody, f)
	s.later(silentTime, func() { m.way.set(everybody, fault{}) })
}
