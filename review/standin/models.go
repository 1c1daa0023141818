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
)

// modelConfig is a configuration of one service with three models.
func modelConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "replan", "host": hostName, "pathPrefix": "/replan/", "type": "streaming", "service": "menu", "goalMs": 5000, "gapGoalMs": 300, "timeoutMs": 15000 + version, "maxAttempts": 1, "priority": 1, "sticky": true, "resumable": true},
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
	got := w.nodes[number%len(w.nodes)].send(call{id: fmt.Sprintf("%016x", number), path: "/replan/x", model: model, deadline: 6 * time.Second})
	return got.status == 200 && got.isWhole
}
