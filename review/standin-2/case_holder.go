package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// leaseQuiet is leaseMs of the settings.
	leaseQuiet = 3 * time.Second
	// goneFor is how long the platform takes to put another machine in the place of one that is gone.
	goneFor     = time.Second
	askPause    = 120 * time.Millisecond
	askDeadline = 4 * time.Second
)

// ask sends streams for one model after the other, more than the servers can hold at once, until stop is
// closed.
func (w *world) ask(machines func() []*node, models []string, stop <-chan struct{}) (wait func()) {
	var group sync.WaitGroup
	group.Go(func() {
		ticker := time.NewTicker(askPause)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			nodes := machines()
			s := &stream{name: fmt.Sprintf("a%03d", i+1), model: models[i/4%len(models)], deadline: time.Now().Add(askDeadline)}
			group.Go(func() { w.read(context.Background(), s, nodes[i%len(nodes)], shortEvents) })
		}
	})
	return group.Wait
}

const shortEvents = 4

// playOneNameOfTwoHolders: the machine that gives the orders is gone for good, and another machine comes in
// its place, at another address and under its name.
func playOneNameOfTwoHolders(w *world) verdict {
	defer w.keepLogs()
	models := []string{"m1", "m2", "m3", "m4", "m5", "m6"}
	w.writeConfig(models, 60000, 130000)
	var servers []*server
	for i := range 2 {
		s := &server{
			world: w, id: fmt.Sprintf("i-%04d", i+1), service: modelService, zone: zones[i], version: "v1", memoryMb: 130000,
			pause: 20 * time.Millisecond, events: shortEvents, loadTime: 300 * time.Millisecond, models: map[string]bool{models[i]: true},
		}
		s.start()
		s.beat()
		servers = append(servers, s)
	}
	nodes := w.addNodes(3)
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	current := nodes[1:]
	stop := make(chan struct{})
	wait := w.ask(func() []*node { mu.Lock(); defer mu.Unlock(); return current }, models, stop)
	time.Sleep(8 * time.Second)
	holder := w.lastHolder(servers)
	var leader *node
	for _, n := range nodes {
		if n.name == holder {
			leader = n
		}
	}
	if leader == nil {
		fail("no machine gave orders")
	}
	mu.Lock()
	current = nil
	for _, n := range nodes {
		if n != leader {
			current = append(current, n)
		}
	}
	mu.Unlock()
	if w.trouble {
		leader.terminate()
		time.Sleep(goneFor)
		w.addNode(leader.name, 9, false)
		w.record.add("another machine has come in its place, at another address and under its name")
	}
	time.Sleep(9 * time.Second)
	close(stop)
	wait()
	return w.judgeTurns(servers)
}

// lastHolder is the holder of the last order.
func (w *world) lastHolder(servers []*server) string {
	holder, at := "", time.Time{}
	for _, s := range servers {
		s.mu.Lock()
		for _, o := range s.orders {
			if o.at.After(at) {
				holder, at = o.Holder, o.at
			}
		}
		s.mu.Unlock()
	}
	return holder
}

// judgeTurns looks for orders with different fencing tokens to one server within leaseMs. No process starts
// again here, so each token is that of one machine.
func (w *world) judgeTurns(servers []*server) verdict {
	shortest, turns, lower := time.Duration(-1), 0, 0
	for _, s := range servers {
		s.mu.Lock()
		orders := append([]order(nil), s.orders...)
		s.mu.Unlock()
		for i := 1; i < len(orders); i++ {
			before, after := orders[i-1], orders[i]
			if before.FencingToken == after.FencingToken {
				continue
			}
			between := after.at.Sub(before.at)
			w.record.add("server %s: %v between an order with token %d and one with token %d", s.id, between.Round(time.Millisecond), before.FencingToken, after.FencingToken)
			if shortest < 0 || between < shortest {
				shortest = between
			}
			if between < leaseQuiet {
				turns++
			}
			if after.FencingToken < before.FencingToken {
				lower++
			}
		}
	}
	summary := "all orders came from one machine"
	if shortest >= 0 {
		summary = fmt.Sprintf("%d times one server got orders of two machines within %v, %v at the shortest; %d times a lower token came after a higher one", turns, leaseQuiet, shortest.Round(time.Millisecond), lower)
	}
	return verdict{broken: turns > 0 || lower > 0, summary: summary}
}
