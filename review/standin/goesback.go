package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// versions come in quick succession, versionPause apart.
	versions     = 20
	versionPause = 200 * time.Millisecond
	awayTime     = 500 * time.Millisecond
)

// playStoreGoesBack kills all nodes at once and starts them again. The trouble: at the same moment the
// store is away and comes back from a copy some seconds old, from before anyone led. Its era counts
// from 0. No order may carry a lower fencing token than one before.
func playStoreGoesBack(w *world) (broken bool, err error) {
	var mu sync.Mutex
	var orders []orderText
	server := &engine{
		id: "i-menu1", service: "menu", zone: "oslo-a", version: "v1", loadTime: 1300 * time.Millisecond, pieces: 8, pause: 20 * time.Millisecond,
		runs: newRunBook(), onDisk: []string{"m1", "m2", "m3"},
	}
	server.onOrder = func(received orderText) {
		mu.Lock()
		defer mu.Unlock()
		orders = append(orders, received)
	}
	w.store.era = 0
	if err := w.startEngine(server, "m1"); err != nil {
		return false, err
	}
	w.store.put("config", "main", modelConfig(1))
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	saved := w.store.copyNow()
	w.record.add("store: the copy is made, at revision %d", saved.at)
	for version := 2; version <= versions; version++ {
		w.store.put("config", "main", modelConfig(version))
		time.Sleep(versionPause)
	}
	if !eventually(20*time.Second, func() bool { return w.ask("m2") }) {
		return false, fmt.Errorf("%w: m2 is not loaded", errNotRun)
	}
	if err := w.killAllNodes(func() { w.goBack(saved, server) }); err != nil {
		return false, err
	}
	if !eventually(30*time.Second, func() bool { return w.ask("m3") }) {
		return false, fmt.Errorf("%w: m3 is not loaded", errNotRun)
	}
	mu.Lock()
	defer mu.Unlock()
	for i := 1; i < len(orders); i++ {
		if orders[i].FencingToken < orders[i-1].FencingToken {
			w.record.add("ONE: an order of %s with token %d after one of %s with token %d", orders[i].Holder, orders[i].FencingToken, orders[i-1].Holder, orders[i-1].FencingToken)
			broken = true
		}
	}
	return broken, nil
}

// goBack lets the store come back from the copy. The operator and the servers write theirs again.
func (w *world) goBack(saved storeCopy, server *engine) {
	if !w.trouble {
		return
	}
	w.store.goBack(saved)
	w.store.put("config", "main", modelConfig(versions))
	server.beat()
	w.record.add("store: is back from the copy")
}

// killAllNodes kills all nodes, has the store away for a moment if there is trouble, and starts the nodes
// again.
func (w *world) killAllNodes(meanwhile func()) error {
	w.store.setAway(w.trouble)
	for _, n := range w.nodes {
		n.kill()
	}
	w.record.add("all nodes are killed")
	time.Sleep(awayTime)
	meanwhile()
	w.store.setAway(false)
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	w.record.add("all nodes are started again")
	return nil
}
