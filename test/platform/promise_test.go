package platform

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

// promiseStatuses tell a caller that its request has not run and never will.
var promiseStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// promiseLoad is a steady load of requests that may run only once, each to the next node, and what became of
// them.
type promiseLoad struct {
	fleet    *fleet
	servers  []*modelServer
	path     string
	model    string
	duration time.Duration
	// interval is the time between two requests.
	interval time.Duration

	mu       sync.Mutex
	statuses map[string]int
}

func (l *promiseLoad) run() {
	l.statuses = make(map[string]int)
	var group sync.WaitGroup
	for number, end := 0, time.Now().Add(l.duration); time.Now().Before(end); number++ {
		group.Go(func() {
			id := "r" + strconv.Itoa(number)
			n := l.fleet.nodes[number%len(l.fleet.nodes)]
			got := n.sendRequest(callerRequest{id: id, path: l.path, model: l.model, body: "body", deadline: 2 * time.Second})
			l.mu.Lock()
			defer l.mu.Unlock()
			l.statuses[id] = got.status
		})
		time.Sleep(l.interval)
	}
	group.Wait()
}

// falsePromises are the requests that ran although their callers were told that they had not, by status.
func (l *promiseLoad) falsePromises() map[int]int {
	ran := make(map[string]bool)
	for _, m := range l.servers {
		m.set(func() {
			for id := range m.runs {
				ran[id] = true
			}
		})
	}
	found := make(map[int]int)
	for id, status := range l.statuses {
		if slices.Contains(promiseStatuses, status) && ran[id] {
			found[status]++
		}
	}
	return found
}

// countStatuses counts the responses by status; 0 stands for requests without one.
func (l *promiseLoad) countStatuses() map[int]int {
	counts := make(map[int]int)
	for _, status := range l.statuses {
		counts[status]++
	}
	return counts
}

// Guards against a status that promises that a request has not run, passed on from a server that ran it.
func TestRequestThatRanIsNotRefusedWithAPromise(t *testing.T) {
	t.Parallel()
	for _, status := range promiseStatuses {
		for _, route := range []struct{ path, service, model string }{
			{"/command/x", "commands", ""},
			{"/chat/x", "models", "m1"},
		} {
			t.Run(fmt.Sprint(status, route.path), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 3)
				load := &promiseLoad{fleet: f, path: route.path, model: route.model, duration: 2 * time.Second, interval: 20 * time.Millisecond}
				for number := range 3 {
					m := newServerIn(t, f.store, "z", fmt.Sprint("i-", route.service, number), route.service, 50*time.Millisecond, "m1")
					m.set(func() { m.unmarkedStatus = status })
					load.servers = append(load.servers, m)
				}
				f.store.put("config", "main", newConfig(1))
				f.awaitReady()
				load.run()
				counts := load.countStatuses()
				t.Logf("responses by status: %v", counts)
				if found := load.falsePromises(); len(found) > 0 {
					t.Errorf("requests that ran and were refused with a promise, by status: %v", found)
				}
				if total := len(load.statuses); counts[http.StatusOK] < total*7/10 {
					t.Errorf("%d of %d requests were served, want at least seven tenths", counts[http.StatusOK], total)
				}
			})
		}
	}
}
