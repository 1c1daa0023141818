package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// surplusShare of the server's answers are sent twice: twice the largest share that the site file
	// names for it (garble, extra late, x = 0.03).
	surplusShare = 0.06
	// warmRequests are sent before the first cold one and after each, for an adapter that is there.
	warmRequests = 24
	coldRequests = 8
)

// playSurplusRejection asks for adapters that no server holds yet, through a route whose requests may run
// once. A request that comes a little before its adapter is rejected with 421 and sent again. The trouble:
// the server's rejection comes a second time, late, where the next answer of its connection is due.
func playSurplusRejection(w *world) (broken bool, err error) {
	book := newRunBook()
	model := &engine{
		id: "i-menu1", service: "menu", zone: "oslo-a", version: "v1", loadTime: 3 * time.Second, adapterTime: 80 * time.Millisecond,
		pieces: 8, pause: 40 * time.Millisecond, runs: book,
	}
	if w.trouble {
		model.surplusShare = surplusShare
	}
	if err := w.startEngine(model, "m1"); err != nil {
		return false, err
	}
	w.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "chat", "host": hostName, "pathPrefix": "/chat/", "type": "streaming", "service": "menu", "goalMs": 400, "gapGoalMs": 300, "timeoutMs": 15000, "maxAttempts": 1, "priority": 0, "sticky": true, "resumable": false},
		},
		"services": []map[string]any{
			{"name": "menu", "healthPath": "/healthz", "maxConns": 360, "engine": map[string]any{
				"slots": 64, "kvCapacity": 265792, "upperLimit": 64, "weightsMb": 210000, "adapterSlots": 8, "loadsPerS": 4.2,
				"models": []map[string]any{{"name": "m1", "weightsMb": 65100, "loadS": 2.9, "warmS": 0.57, "diskS": 1.2, "adapters": 36, "adapterSizeMb": 12}},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	})
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	// The first adapter waits for a leader that may order; it is no part of the case.
	warm := 0
	isServed := func() bool {
		warm++
		time.Sleep(200 * time.Millisecond)
		return w.nodes[0].send(call{id: fmt.Sprintf("%016x", 0x1a00000000000000+warm), path: "/chat/x", model: "m1/a1", deadline: 15 * time.Second}).status == 200
	}
	if !eventually(30*time.Second, isServed) {
		return false, fmt.Errorf("%w: no adapter is loaded", errNotRun)
	}
	w.sendWarm(&warm)
	for number := 2; number <= coldRequests+1; number++ {
		id := fmt.Sprintf("%016x", 0x9c41d07be2a35f00+uint64(number))
		got := w.nodes[number%len(w.nodes)].send(call{id: id, path: "/chat/x", model: fmt.Sprintf("m1/a%d", number), deadline: 15 * time.Second})
		time.Sleep(time.Second)
		runs := book.of(id)
		if len(runs) > 1 {
			w.record.add("TWICE: %s, which may run once, ran %d times, at %v", id, len(runs), runs)
			broken = true
		}
		if isPromise(got.status) && len(runs) > 0 {
			w.record.add("REFUSED: %s was answered %d and ran %d times", id, got.status, len(runs))
			broken = true
		}
		w.sendWarm(&warm)
	}
	return broken, nil
}

// sendWarm sends requests for the adapter that is there, at the same time.
func (w *world) sendWarm(number *int) {
	var group sync.WaitGroup
	for range warmRequests {
		*number++
		c := call{id: fmt.Sprintf("%016x", 0x1a00000000000000+*number), path: "/chat/x", model: "m1/a1", deadline: 15 * time.Second}
		target := w.nodes[*number%len(w.nodes)]
		group.Go(func() { target.send(c) })
	}
	group.Wait()
}
