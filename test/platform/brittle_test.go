package platform

import (
	"fmt"
	"math/rand/v2"
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
	// slots is how many requests it runs at a time, each for the time work.
	slots int
	work  time.Duration

	mu      sync.Mutex
	running int
	// silentUntil is until when it neither reads nor answers anything.
	silentUntil time.Time
	rejections  []time.Time
	downUntil   time.Time
	falls       []time.Time
	served      int
}

// ServeHTTP implements http.Handler.
func (b *brittleServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
	writer.Header().Set("Instance-Id", b.id)
	writer.Header().Set("Server-Brittle", strconv.Itoa(b.announced))
	b.awaitSound()
	if request.Context().Err() != nil {
		return
	}
	if !b.begin() {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(b.work)
	b.awaitSound()
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
	if b.running < b.slots {
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

// awaitSound returns once the server is not silent.
func (b *brittleServer) awaitSound() {
	for {
		b.mu.Lock()
		left := time.Until(b.silentUntil)
		b.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// fallSilent makes the server neither read nor answer anything for a time.
func (b *brittleServer) fallSilent(duration time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silentUntil = time.Now().Add(duration)
}

// startBrittleServers starts servers of the commands' service and lists them in the store.
func (f *fleet) startBrittleServers(count, slots, announced int) (servers []*brittleServer) {
	for i := range count {
		b := &brittleServer{id: fmt.Sprintf("i-%d", i), announced: announced, slots: slots, work: brittleWork}
		listener := httptest.NewServer(b)
		f.t.Cleanup(listener.Close)
		servers = append(servers, b)
		f.store.put("servers", b.id, map[string]any{
			"service": "commands", "address": strings.TrimPrefix(listener.URL, "http://"), "zone": "z", "version": "v1",
			"slots": slots, "state": "ready", "models": []any{}, "sequence": 1, "coldLeftMs": 0,
		})
	}
	return servers
}

// countFalls returns how often the servers failed since a time.
func countFalls(servers []*brittleServer, since time.Time) (falls int) {
	for _, b := range servers {
		b.mu.Lock()
		for _, at := range b.falls {
			if at.After(since) {
				falls++
			}
		}
		b.mu.Unlock()
	}
	return falls
}

// TestSilentBrittleServersDoNotFall guards against taking what is sent to a silent server for accepted: it has
// to reject all that it has no room for at once when it goes on.
func TestSilentBrittleServersDoNotFall(t *testing.T) {
	t.Parallel()
	const (
		silentServers, silentSlots, announced = 3, 6, 4
		silences                              = 6
	)
	for seed := range uint64(*drawnSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0x51137))
			f := newEmbeddedFleet(t, 3)
			servers := f.startBrittleServers(silentServers, silentSlots, announced)
			f.store.put("config", "main", newConfig(1))
			f.awaitReady()
			sendCommands(f.nodes, contactTime, 200*time.Millisecond, time.Second)
			var disrupting sync.WaitGroup
			began := time.Now()
			disrupting.Go(func() {
				for range silences {
					servers[random.IntN(len(servers))].fallSilent(time.Duration(200+random.IntN(1300)) * time.Millisecond)
					time.Sleep(1800 * time.Millisecond)
				}
			})
			served := sendCommands(f.nodes, silences*1800*time.Millisecond, 10*time.Millisecond, 4*time.Second)
			disrupting.Wait()
			falls := countFalls(servers, began)
			t.Logf("%d served, %d falls", served, falls)
			if falls > allowedFalls {
				t.Errorf("%d falls of %d brittle servers, at most %d may be", falls, len(servers), allowedFalls)
			}
		})
	}
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
			servers := f.startBrittleServers(brittleServers, brittleSlots, c.announced)
			f.store.put("config", "main", newConfig(1))
			f.awaitReady()
			// Nodes learn the size of the fleet, and that the servers are brittle, without a rush.
			sendCommands(f.nodes, contactTime, 200*time.Millisecond, time.Second)
			pressed := time.Now()
			served := sendCommands(f.nodes, 6*time.Second, time.Duration(c.nodes)*time.Second/600, time.Second)
			falls := countFalls(servers, pressed)
			t.Logf("%d served under pressure, %d falls", served, falls)
			if falls > allowedFalls {
				t.Errorf("%d of %d brittle servers failed, at most %d may", falls, brittleServers, allowedFalls)
			}
		})
	}
}

// sendCommands sends commands to each node at the interval, without waiting for answers, and counts
// those served within their deadline.
func sendCommands(nodes []*node, duration, interval, deadline time.Duration) (served int) {
	var mu sync.Mutex
	var callers sync.WaitGroup
	begin := time.Now()
	for number := 0; time.Since(begin) < duration; number++ {
		for _, n := range nodes {
			callers.Go(func() {
				got := n.sendRequest(callerRequest{
					id: fmt.Sprintf("%s-%d-%d", n.name, number, begin.UnixNano()), path: "/command/x", body: "body", deadline: deadline,
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
