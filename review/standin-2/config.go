package main

// Services of the deployment.
const (
	plainService = "order-api"
	modelService = "menu-llm"
)

// writeConfig writes the configuration: a plain route, one of streams and one of resumable streams.
func (w *world) writeConfig(models []string, weightsMb, memoryMb float64) {
	var listed []map[string]any
	for _, model := range models {
		listed = append(listed, map[string]any{"name": model, "weightsMb": weightsMb, "loadS": 0.6, "adapters": 0, "adapterSizeMb": 12, "warmS": 0.3, "diskS": 0.5})
	}
	w.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "lookup", "host": host, "pathPrefix": "/lookup/", "type": "unsafe", "service": plainService, "maxAttempts": 1, "timeoutMs": 1500, "goalMs": 150, "priority": 2},
			{"name": "note", "host": host, "pathPrefix": "/note/", "type": "streaming", "service": modelService, "maxAttempts": 1, "timeoutMs": 15000, "goalMs": 400, "gapGoalMs": 300, "priority": 0, "sticky": true, "resumable": false},
			{"name": "chat", "host": host, "pathPrefix": "/chat/", "type": "streaming", "service": modelService, "maxAttempts": 2, "timeoutMs": 25000, "goalMs": 5000, "gapGoalMs": 300, "priority": 1, "sticky": true, "resumable": true},
		},
		"services": []map[string]any{
			{"name": plainService, "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
			{"name": modelService, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 8, "kvCapacity": 265792, "kvBytes": 163840, "linkMbps": 740000, "stride": 4, "upperLimit": 12,
				"weightsMb": memoryMb, "adapterSlots": 8, "loadsPerS": 4.2, "models": listed,
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
