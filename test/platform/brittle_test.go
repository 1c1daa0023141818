package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	brittleSlots    = 2
	brittleWork     = 20 * time.Millisecond
	brittleDownTime = 2 * time.Second
	// brittleServers is the number of servers of the service. They may fail allowedFalls times, by the
	// operators' rule, beyond the time in which nodes learn that they are brittle.
	brittleServers = 4
	allowedFalls   = 2 + brittleServers/10
)

// brittleServer runs a few requests at a time, rejects the others, and fails once it has rejected
// more than it announced within a second.
type brittleServer struct {
	id        string
	announced int

	mu         sync.Mutex
	running    int
	rejections []time.Time
	downUntil  time.Time
	falls      []time.Time
	served     int
}

// ServeHTTP implements http.Handler.
func (b *brittleServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	writer.Header().Set("Instance-Id", b.id)
	writer.Header().Set("Server-Brittle", strconv.Itoa(b.announced))
	if !b.begin() {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(brittleWork)
	b.mu.Lock()
	b.running--
	b.served++
	b.mu.Unlock()
	writer.Header().Set("Server-Stamp", "s")
	_, _ = writer.Write([]byte("done by " + b.id))
}

// begin reports whether the server has room for a request; it records a rejection if not.
func (b *brittleServer) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Before(b.downUntil) {
		panic(http.ErrAbortHandler)
	}
	if b.running < brittleSlots {
		b.running++
		return true
	}
	b.rejections = append(slices.DeleteFunc(b.rejections, func(at time.Time) bool { return now.Sub(at) >= time.Second }), now)
	if len(b.rejections) > b.announced {
		b.rejections, b.falls, b.downUntil = nil, append(b.falls, now), now.Add(brittleDownTime)
		panic(http.ErrAbortHandler)
	}
	return false
}

// TestBrittleServersDoNotFall guards against servers that fail as nodes send more requests than they
// have room for: the nodes' rejections have to stay within the announced number in sum.
func TestBrittleServersDoNotFall(t *testing.T) {
	t.Parallel()
	cases := []struct{ nodes, announced int }{{3, 8}, {8, 2}}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d nodes, %d rejections", c.nodes, c.announced), func(t *testing.T) {
			t.Parallel()
			f := newEmbeddedFleet(t, c.nodes)
			var servers []*brittleServer
			for i := range brittleServers {
				b := &brittleServer{id: fmt.Sprintf("i-%d", i), announced: c.announced}
				listener := httptest.NewServer(b)
				t.Cleanup(listener.Close)
				servers = append(servers, b)
				f.store.put("servers", b.id, map[string]any{
					"service": "commands", "address": strings.TrimPrefix(listener.URL, "http://"), "zone": "z", "version": "v1",
					"slots": brittleSlots, "state": "ready", "models": []any{}, "sequence": 1, "coldLeftMs": 0,
				})
			}
			f.store.put("config", "main", newConfig(1))
			f.awaitReady()
			// Nodes learn the size of the fleet, and that the servers are brittle, without a rush.
			sendCommands(f.nodes, contactTime, 200*time.Millisecond)
			pressed := time.Now()
			served := sendCommands(f.nodes, 6*time.Second, time.Duration(c.nodes)*time.Second/600)
			falls := 0
			for _, b := range servers {
				b.mu.Lock()
				for _, at := range b.falls {
					if at.After(pressed) {
						falls++
					}
				}
				b.mu.Unlock()
			}
			t.Logf("%d served under pressure, %d falls", served, falls)
			if falls > allowedFalls {
				t.Errorf("%d of %d brittle servers failed, at most %d may", falls, brittleServers, allowedFalls)
			}
		})
	}
}

// sendCommands sends commands to each node at the interval, without waiting for answers, and counts
// those served.
func sendCommands(nodes []*node, duration, interval time.Duration) (served int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	begin := time.Now()
	for number := 0; time.Since(begin) < duration; number++ {
		for _, n := range nodes {
			callers.Go(func() {
				got := n.sendRequest(callerRequest{
					id: fmt.Sprintf("%s-%d-%d", n.name, number, begin.UnixNano()), path: "/command/x", body: "body", deadline: time.Second,
				})
				if got.status == http.StatusOK {
					mu.Lock()
					served++
					mu.Unlock()
				}
			})
		}
		time.Sleep(interval)
	}
	callers.Wait()
	return served
}
