package platform

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Guards against requests that wait, with the largest bodies allowed, beside servers whose answers have no end:
// together they must not take more than the machine has, and others are served all the while.
func TestWaitingBodiesAndEndlessAnswersFitIntoTheMemory(t *testing.T) {
	const (
		waiting, bodyBytes = 300, 4 << 20
		endlessServers     = 50
		soundRequests      = 100
		soundShare         = 0.95
	)
	f := newFleetWithOptions(t, fleetOptions{count: 1, seeds: `"127.0.0.1:1"`, memoryMb: machineMemoryMb})
	n := f.nodes[0]
	newServer(t, f.store, "i-sound", "commands", 0)
	// m1 is held by servers whose answers have no end, and m2 takes longer to load than requests wait.
	answers := endlessAnswers()
	for number := range endlessServers {
		m := newServerIn(t, f.store, "z", fmt.Sprint("i-models", number), "models", time.Minute, "m1")
		m.set(func() { m.endless, m.endlessEach = &answers[number%len(answers)], 1 })
	}
	config := newConfig(1)
	config["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes}
	f.store.put("config", "main", config)
	f.awaitReady()
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[string]map[int]int)
	send := func(kind string, r callerRequest) {
		group.Go(func() {
			got := n.sendRequest(r)
			mu.Lock()
			defer mu.Unlock()
			if statuses[kind] == nil {
				statuses[kind] = make(map[int]int)
			}
			statuses[kind][got.status]++
		})
	}
	body := strings.Repeat("b", bodyBytes)
	for number := range waiting {
		send("waiting", callerRequest{id: fmt.Sprint("w", number), path: "/chat/x", model: "m2", body: body, deadline: 3 * time.Second, newConn: true})
	}
	for number := range endlessServers {
		prefix := fmt.Sprintf("a%d:60,b%d:40", number, number)
		send("endless", callerRequest{id: fmt.Sprint("e", number), path: "/chat/x", model: "m1", prefix: prefix, body: "body", deadline: 3 * time.Second, newConn: true})
	}
	for number := range soundRequests {
		send("sound", callerRequest{id: fmt.Sprint("s", number), path: "/command/x", body: "body", deadline: 3 * time.Second})
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
	t.Logf("responses by status: %v", statuses)
	f.checkMemory()
	if refused := statuses["waiting"][http.StatusServiceUnavailable]; refused != waiting {
		t.Errorf("%d of %d requests for which there is no memory or model were refused", refused, waiting)
	}
	if served := statuses["sound"][http.StatusOK]; float64(served) < soundShare*soundRequests {
		t.Errorf("%d of %d sound requests were served, want %v of them", served, soundRequests, soundShare)
	}
}
