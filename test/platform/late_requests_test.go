package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// lateConnections is the number of connections that are opened before a node is stopped and bring the end of
	// their request after that, lateInterval apart: the last one when the grace period is over.
	lateConnections = 80
	lateInterval    = 50 * time.Millisecond
	// servedBeforeStop is the number of requests by which a node knows how long a route takes.
	servedBeforeStop = 12
	// killDelay is how long after the grace period a node is killed that has not ended: a busy machine is slow.
	killDelay = 500 * time.Millisecond
)

// lateRequest is a request whose body ends after its node was told to stop.
type lateRequest struct {
	id     string
	sentAt time.Duration
	status int
	isCut  bool
}

// openLate sends all of a command but the last byte of its body.
func (n *node) openLate(t *testing.T, id string) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, n.fleet.ports[1]), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /command/x HTTP/1.1\r\nHost: host.example\r\nRequest-Id: "+id+"\r\nDeadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbod")
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// finish sends the last byte and reads the answer.
func (r *lateRequest) finish(conn net.Conn) {
	if _, err := io.WriteString(conn, "y"); err != nil {
		r.isCut = true
		return
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		r.status = response.StatusCode
		_, err = io.ReadAll(response.Body)
	}
	r.isCut = err != nil
}

// TestLateRequestsInAPlannedStopAreAnswered guards against commands that come late in the grace period of a planned
// stop, are passed on, and are cut with no answer when it ends.
func TestLateRequestsInAPlannedStopAreAnswered(t *testing.T) {
	t.Parallel()
	for _, work := range []time.Duration{20 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 2500 * time.Millisecond} {
		for _, isKnown := range []bool{true, false} {
			t.Run(fmt.Sprintf("%v, known: %v", work, isKnown), func(t *testing.T) {
				t.Parallel()
				f, servers := newLateFleet(t, fleetOptions{}, work)
				if isKnown {
					f.nodes[0].sendAtOnce(servedBeforeStop)
				}
				requests := f.stopWithLateRequests(f.nodes[0])
				judgeLate(t, requests, servers)
			})
		}
	}
}

// TestRequestsInAShortGracePeriodAreAnswered guards against nodes that still wait for late requests when their grace
// period ends, and are killed with those in flight.
func TestRequestsInAShortGracePeriodAreAnswered(t *testing.T) {
	t.Parallel()
	for _, grace := range []time.Duration{time.Second, 1500 * time.Millisecond} {
		t.Run(grace.String(), func(t *testing.T) {
			t.Parallel()
			f, servers := newLateFleet(t, fleetOptions{grace: grace}, 5*time.Second)
			n := f.nodes[0]
			time.AfterFunc(grace+killDelay, func() { _ = n.cmd.Process.Kill() })
			judgeLate(t, f.stopWithLateRequests(n), servers)
		})
	}
}

// newLateFleet starts nodes before servers whose commands take that long.
func newLateFleet(t *testing.T, options fleetOptions, work time.Duration) (*fleet, []*modelServer) {
	t.Helper()
	options.count, options.seeds = 3, `"127.0.0.1:1", "127.0.0.2:1"`
	f := newFleetWithOptions(t, options)
	var servers []*modelServer
	for number := range 3 {
		m := newUnlistedServer(t, "z", fmt.Sprint("i-commands", number), "commands", 0)
		m.set(func() { m.commandTime, m.slots = work, lateConnections })
		m.register(f.store, "ready")
		servers = append(servers, m)
	}
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	return f, servers
}

// sendAtOnce sends that many commands at the same time and waits for their answers.
func (n *node) sendAtOnce(count int) {
	var group sync.WaitGroup
	for number := range count {
		group.Go(func() {
			n.sendRequest(callerRequest{id: fmt.Sprint("before-", number), path: "/command/x", body: "body", deadline: 20 * time.Second, newConn: true})
		})
	}
	group.Wait()
}

// stopWithLateRequests stops the node in order, while the ends of requests come.
func (f *fleet) stopWithLateRequests(n *node) []*lateRequest {
	requests := make([]*lateRequest, lateConnections)
	conns := make([]net.Conn, lateConnections)
	for i := range requests {
		requests[i] = &lateRequest{id: fmt.Sprint("late-", i), sentAt: time.Duration(i) * lateInterval}
		conns[i] = n.openLate(f.t, requests[i].id)
	}
	stoppedAt := time.Now()
	n.signal(syscall.SIGTERM)
	var group sync.WaitGroup
	for i, r := range requests {
		group.Go(func() {
			time.Sleep(time.Until(stoppedAt.Add(r.sentAt)))
			r.finish(conns[i])
		})
	}
	group.Wait()
	if err := <-n.exited; err != nil {
		f.t.Errorf("the stop ended with %v", err)
	}
	return requests
}

// judgeLate checks that each request that a server ran was answered, and that what is said not to have run has not.
func judgeLate(t *testing.T, requests []*lateRequest, servers []*modelServer) {
	t.Helper()
	statuses, cut := make(map[int]int), []string{}
	for _, r := range requests {
		runs := 0
		for _, m := range servers {
			m.set(func() { runs += m.runs[r.id] })
		}
		statuses[r.status]++
		switch {
		case runs > 1:
			t.Errorf("%s ran %d times", r.id, runs)
		case runs > 0 && (r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests):
			t.Errorf("%s ran and is refused with %d", r.id, r.status)
		case runs > 0 && r.isCut:
			cut = append(cut, fmt.Sprintf("%s at %v", r.id, r.sentAt))
		}
	}
	t.Logf("answers by status: %v", statuses)
	if len(cut) > 0 {
		t.Errorf("%d ran and were cut with no answer: %s", len(cut), strings.Join(cut, ", "))
	}
}
