package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	modelWeights = 72700
	// serverWeights is what a server holds: two models, not three.
	serverWeights = 210000
	// lateTime is when an order without an answer is carried out; the bench does so after 2 to 12 s.
	lateTime = 10 * time.Second
	// serverPause is how long the server is down; its entry lapses after three beats.
	serverPause = 4500 * time.Millisecond
	watchTime   = 14 * time.Second
)

// playLateOrder lets a server crash and start again under its ID. The trouble: the last order to it was not
// answered, and is carried out seconds later.
func playLateOrder(w *world) (broken bool, err error) {
	var mu sync.Mutex
	wasLost := false
	server := &engine{
		id: "i-menu1", service: "menu", zone: "oslo-a", loadTime: 1300 * time.Millisecond, pieces: 8, pause: 20 * time.Millisecond,
		runs: newRunBook(), born: time.Now().UnixMilli(), onDisk: []string{"m1", "m2", "m3"}, downTime: serverPause,
		weights: map[string]float64{"m1": modelWeights, "m2": modelWeights, "m3": modelWeights}, weightsMb: serverWeights, lateTime: lateTime,
	}
	seen := make(chan struct{})
	var once sync.Once
	server.losesOrder = func(received orderText) bool {
		if received.Operation != "load" || received.Model != "m3" {
			return false
		}
		mu.Lock()
		defer mu.Unlock()
		isFirst := !wasLost
		wasLost = true
		once.Do(func() { close(seen) })
		return isFirst && w.trouble
	}
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
	if !eventually(40*time.Second, func() bool { return w.ask("m2") }) {
		return false, fmt.Errorf("%w: m2 is not loaded", errNotRun)
	}
	w.ask("m1")
	go w.ask("m3")
	select {
	case <-seen:
	case <-time.After(30 * time.Second):
		return false, fmt.Errorf("%w: m3 is not ordered", errNotRun)
	}
	server.crash()
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		go w.ask("m1")
		go w.ask("m2")
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.overloads > 0, nil
}

// modelConfig is a configuration of one service with three models.
func modelConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "replan", "host": hostName, "pathPrefix": "/replan/", "type": "streaming", "service": "menu", "goalMs": 5000, "gapGoalMs": 300, "timeoutMs": 15000 + version, "maxAttempts": 2, "priority": 1, "sticky": true, "resumable": true},
		},
		"services": []map[string]any{
			{"name": "menu", "healthPath": "/healthz", "maxConns": 360, "engine": map[string]any{
				"slots": 64, "kvCapacity": 265792, "upperLimit": 64, "weightsMb": serverWeights, "adapterSlots": 8, "loadsPerS": 4.2, "hostMb": 150000, "diskMb": 450000,
				"models": []map[string]any{modelSpec("m1"), modelSpec("m2"), modelSpec("m3")},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

func modelSpec(name string) map[string]any {
	return map[string]any{"name": name, "weightsMb": modelWeights, "loadS": 3.2, "warmS": 0.6, "diskS": 1.3}
}

var asked int
var askedMu sync.Mutex

// ask sends a request for the model to one of the nodes after the other, and reports whether it was served.
func (w *world) ask(model string) bool {
	askedMu.Lock()
	asked++
	number := asked
	askedMu.Unlock()
	got := w.nodes[number%len(w.nodes)].sendQuietly(call{id: fmt.Sprintf("%016x", number), path: "/replan/x", model: model, deadline: 6 * time.Second})
	return got.status == 200 && got.isWhole
}
