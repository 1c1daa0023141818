package relay

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// fakeSuspects says the same of every request, and books what it is told.
type fakeSuspects struct {
	mu        sync.Mutex
	standing  poison.Status
	blamed    []string
	endedWell int
	// grants is the number of trials that are granted, and claimed those asked for.
	grants, claimed int
}

func (s *fakeSuspects) Any() bool { return true }

func (s *fakeSuspects) Status(poison.Fingerprint) poison.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.standing
}

func (s *fakeSuspects) ReportCrash(_ poison.Fingerprint, serverID string, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blamed = append(s.blamed, serverID)
}

func (s *fakeSuspects) ReportSuccess(poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endedWell++
}

func (s *fakeSuspects) ClaimTrial(context.Context, poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimed++
	if s.claimed <= s.grants {
		s.standing = poison.StatusBarred
		return true
	}
	return false
}

func (s *fakeSuspects) ReportRefusal(poison.Fingerprint) {}

// TestTrialIsOneSend: of the copies of a request on trial one is sent, and it is sent once,
// also where it may be repeated; the others are refused as not run.
func TestTrialIsOneSend(t *testing.T) {
	server := newStandin(t, func(conn net.Conn, _ *http.Request) bool { return reset(conn) })
	f := newFixture(t, server)
	f.handler.options.Suspects = &fakeSuspects{standing: poison.StatusOnTrial, grants: 1}
	statuses := make(map[int]int)
	for range 4 {
		statuses[f.send(t, http.MethodPost, "/often/x", "body").status]++
	}
	if server.count() != 1 || statuses[http.StatusBadGateway] != 1 || statuses[http.StatusServiceUnavailable] != 3 {
		t.Errorf("sent %d times, answers by status %v; want one send, one 502 and three 503", server.count(), statuses)
	}
}

// TestTrialOutlivesAServerThatIsNotReached: it is claimed once, and sent to another one.
func TestTrialOutlivesAServerThatIsNotReached(t *testing.T) {
	gone := &standinServer{address: freeAddress(t)}
	server := newStandin(t, answering(http.StatusOK, "done"))
	f := newFixture(t, gone, server)
	suspects := &fakeSuspects{standing: poison.StatusOnTrial, grants: 1}
	f.handler.options.Suspects = suspects
	for range 20 {
		suspects.mu.Lock()
		suspects.standing, suspects.claimed = poison.StatusOnTrial, 0
		suspects.mu.Unlock()
		if got := f.send(t, http.MethodPost, "/once/x", "body"); got.status != http.StatusOK || suspects.claimed != 1 {
			t.Fatalf("status %d after %d claims, want 200 after one", got.status, suspects.claimed)
		}
	}
}

// TestServerThatIsNotReachedTakesNoTrial: with the claim gone and nothing sent the request would
// stay barred for as long again.
func TestServerThatIsNotReachedTakesNoTrial(t *testing.T) {
	f := newFixture(t, &standinServer{address: freeAddress(t)})
	suspects := &fakeSuspects{standing: poison.StatusOnTrial, grants: 1}
	f.handler.options.Suspects = suspects
	got := f.send(t, http.MethodPost, "/once/x", "body")
	if got.status != http.StatusServiceUnavailable || suspects.claimed != 0 {
		t.Errorf("status %d after %d claims, want 503 after none", got.status, suspects.claimed)
	}
}

// freeAddress is one at which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// TestTrialDoesNotWait for its model: with those of other nodes it would be sent together.
func TestTrialDoesNotWait(t *testing.T) {
	f := newFixture(t, newStandin(t, answering(http.StatusOK, "done")))
	f.handler.SetTable(engineTable(5 * time.Second))
	suspects := &fakeSuspects{standing: poison.StatusOnTrial, grants: 1}
	f.handler.options.Suspects = suspects
	started := time.Now()
	got := f.send(t, http.MethodPost, "/llm/x", "body", "X-Model", "m")
	if took := time.Since(started); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || took > 2*time.Second {
		t.Errorf("status %d, Retry-After %q after %v of 5 s", got.status, got.header.Get("Retry-After"), took)
	}
	if suspects.claimed > 0 {
		t.Error("claimed a trial without a server")
	}
}

// TestBarredRequestIsRefusedAtOnce: it reaches no server, has not run, and is not told to
// come back.
func TestBarredRequestIsRefusedAtOnce(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "done"))
	f := newFixture(t, server)
	f.handler.options.Suspects = &fakeSuspects{standing: poison.StatusBarred}
	for _, path := range []string{"/once/x", "/often/x", "/stream/x", "/resume/x"} {
		got := f.send(t, http.MethodPost, path, "body")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "" || server.count() > 0 {
			t.Errorf("%s: status %d, Retry-After %q, sent %d times", path, got.status, got.header.Get("Retry-After"), server.count())
		}
	}
}

// TestBarredRequestWaitsNoMore: one that waits for its model learns it, too.
func TestBarredRequestWaitsNoMore(t *testing.T) {
	f := newFixture(t, newStandin(t, answering(http.StatusOK, "done")))
	f.handler.SetTable(engineTable(5 * time.Second))
	suspects := &fakeSuspects{standing: poison.StatusClear}
	f.handler.options.Suspects = suspects
	time.AfterFunc(50*time.Millisecond, func() {
		suspects.mu.Lock()
		defer suspects.mu.Unlock()
		suspects.standing = poison.StatusBarred
	})
	started := time.Now()
	got := f.send(t, http.MethodPost, "/llm/x", "body", "X-Model", "m")
	if took := time.Since(started); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "" || took > 2*time.Second {
		t.Errorf("status %d, Retry-After %q after %v of 5 s", got.status, got.header.Get("Retry-After"), took)
	}
}

// TestOnlyServersThatEndedAreBlamedOn: a server that ends under a request, not one that
// resets its connection and lives, nor one that was said to go.
func TestOnlyServersThatEndedAreBlamedOn(t *testing.T) {
	tests := []struct {
		name           string
		ends, isGoing  bool
		wantSuspicions int
	}{
		{"a server that ends", true, false, 1},
		{"a server that resets the connection", false, false, 0},
		{"a server that goes and ends", true, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			server := &standinServer{address: listener.Addr().String()}
			f := newFixture(t, server)
			suspects := &fakeSuspects{standing: poison.StatusClear}
			f.handler.options.Suspects = suspects
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				server.serve(conn, func(conn net.Conn, _ *http.Request) bool {
					if test.isGoing {
						f.dispatch.Do(func(core *dispatch.Core) {
							core.SetServers([]inventory.Change{{Server: inventory.Server{
								ID: "s0", Service: "svc", Address: server.address, Draining: true, Position: storepos.At(0, 2),
							}}})
						})
					}
					if test.ends {
						_ = listener.Close()
					}
					return reset(conn)
				})
			}()
			got := f.send(t, http.MethodPost, "/once/x", "body")
			if got.status != http.StatusBadGateway {
				t.Errorf("status %d, want 502: it may have run", got.status)
			}
			if len(suspects.blamed) != test.wantSuspicions {
				t.Errorf("blamed on %v, want %d", suspects.blamed, test.wantSuspicions)
			}
		})
	}
}

// TestAnsweredRequestsEndedWell, whole or streamed; a server's failure is no good end.
func TestAnsweredRequestsEndedWell(t *testing.T) {
	for status, want := range map[int]int{http.StatusOK: 1, http.StatusInternalServerError: 0} {
		f := newFixture(t, newStandin(t, answering(status, "done")))
		suspects := &fakeSuspects{standing: poison.StatusClear}
		f.handler.options.Suspects = suspects
		f.send(t, http.MethodPost, "/once/x", "body")
		if suspects.endedWell != want {
			t.Errorf("%d good ends of an answer %d, want %d", suspects.endedWell, status, want)
		}
	}
}
