package relay

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// fakeSuspects has the same status for every request and records what is reported to it.
type fakeSuspects struct {
	mu           sync.Mutex
	status       poison.Status
	crashReports []string
	successes    int
	// grants is the number of trials that it grants, and claimed the number of claims.
	grants, claimed int
}

func (s *fakeSuspects) Any() bool { return true }

func (s *fakeSuspects) Status(poison.Fingerprint) poison.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

func (s *fakeSuspects) ReportCrash(crash Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashReports = append(s.crashReports, crash.ServerID)
}

// blamedServers are the servers of the reported crashes.
func (s *fakeSuspects) blamedServers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashReports)
}

func (s *fakeSuspects) ReportSuccess(*poison.Fingerprint, []poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successes++
}

func (s *fakeSuspects) ClaimTrial(context.Context, poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimed++
	if s.claimed <= s.grants {
		s.status = poison.StatusBarred
		return true
	}
	return false
}

func (s *fakeSuspects) ReportRefusal(poison.Fingerprint) {}

// Of several copies of a request on trial one is sent, and only once even if it is retryable; the others
// are refused as not run.
func TestTrialIsOneSend(t *testing.T) {
	server := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool { return reset(conn) })
	f := newFixture(t, server)
	f.handler.options.Suspects = &fakeSuspects{status: poison.StatusOnTrial, grants: 1}
	statuses := make(map[int]int)
	for range 4 {
		statuses[f.send(t, http.MethodPost, "/often/x", "body").status]++
	}
	if server.count() != 1 || statuses[http.StatusBadGateway] != 1 || statuses[http.StatusServiceUnavailable] != 3 {
		t.Errorf("sent %d times, responses by status %v; want one send, one 502 and three 503", server.count(), statuses)
	}
}

// A trial is claimed once even if the first server chosen for it cannot be reached.
func TestTrialOutlivesAServerThatIsNotReached(t *testing.T) {
	unreachable := &fakeServer{address: freeAddress(t)}
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f := newFixture(t, unreachable, server)
	suspects := &fakeSuspects{status: poison.StatusOnTrial, grants: 1}
	f.handler.options.Suspects = suspects
	for range 20 {
		suspects.mu.Lock()
		suspects.status, suspects.claimed = poison.StatusOnTrial, 0
		suspects.mu.Unlock()
		if got := f.send(t, http.MethodPost, "/once/x", "body"); got.status != http.StatusOK || suspects.claimed != 1 {
			t.Fatalf("status %d after %d claims, want 200 after one", got.status, suspects.claimed)
		}
	}
}

// Guards against claiming a trial before the server is reached: with nothing sent, the request would stay
// barred for the same time again.
func TestServerThatIsNotReachedTakesNoTrial(t *testing.T) {
	f := newFixture(t, &fakeServer{address: freeAddress(t)})
	suspects := &fakeSuspects{status: poison.StatusOnTrial, grants: 1}
	f.handler.options.Suspects = suspects
	got := f.send(t, http.MethodPost, "/once/x", "body")
	if got.status != http.StatusServiceUnavailable || suspects.claimed != 0 {
		t.Errorf("status %d after %d claims, want 503 after none", got.status, suspects.claimed)
	}
}

// freeAddress is an address at which nobody listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// A request on trial does not wait for its model: it would be sent together with those of other nodes.
func TestTrialDoesNotWait(t *testing.T) {
	f := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, "done")))
	f.handler.SetTable(engineTable(5 * time.Second))
	suspects := &fakeSuspects{status: poison.StatusOnTrial, grants: 1}
	f.handler.options.Suspects = suspects
	started := time.Now()
	got := f.send(t, http.MethodPost, "/llm/x", "body", "X-Model", "m")
	if took := time.Since(started); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" || took > 2*time.Second {
		t.Errorf("status %d, Retry-After %q after %v of 5 s", got.status, got.header.Get("Retry-After"), took)
	}
	if suspects.claimed > 0 {
		t.Error("a trial was claimed without a server")
	}
}

// A barred request reaches no server, is refused as not run, and gets no Retry-After.
func TestBarredRequestIsRefusedAtOnce(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f := newFixture(t, server)
	f.handler.options.Suspects = &fakeSuspects{status: poison.StatusBarred}
	for _, path := range []string{"/once/x", "/often/x", "/stream/x", "/resume/x"} {
		got := f.send(t, http.MethodPost, path, "body")
		if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "" || server.count() > 0 {
			t.Errorf("%s: status %d, Retry-After %q, sent %d times", path, got.status, got.header.Get("Retry-After"), server.count())
		}
	}
}

// A request that becomes barred while it waits for its model is refused.
func TestBarredRequestWaitsNoMore(t *testing.T) {
	f := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, "done")))
	f.handler.SetTable(engineTable(5 * time.Second))
	suspects := &fakeSuspects{status: poison.StatusClear}
	f.handler.options.Suspects = suspects
	time.AfterFunc(50*time.Millisecond, func() {
		suspects.mu.Lock()
		defer suspects.mu.Unlock()
		suspects.status = poison.StatusBarred
	})
	started := time.Now()
	got := f.send(t, http.MethodPost, "/llm/x", "body", "X-Model", "m")
	if took := time.Since(started); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") != "" || took > 2*time.Second {
		t.Errorf("status %d, Retry-After %q after %v of 5 s", got.status, got.header.Get("Retry-After"), took)
	}
}

// A crash is reported only for a server that stopped listening, not for one that reset a connection or
// had announced its shutdown.
func TestOnlyServersThatEndedAreBlamedOn(t *testing.T) {
	tests := []struct {
		name                string
		crashes, isDraining bool
		wantReports         int
	}{
		{"a server that crashes", true, false, 1},
		{"a server that resets the connection", false, false, 0},
		{"a server that drains and ends", true, true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			server := &fakeServer{address: listener.Addr().String()}
			f := newFixture(t, server)
			suspects := &fakeSuspects{status: poison.StatusClear}
			f.handler.options.Suspects = suspects
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				server.serve(conn, func(conn net.Conn, _ *http.Request) bool {
					if test.isDraining {
						f.dispatch.Do(func(core *dispatch.Core) {
							core.SetServers([]inventory.Change{{Server: inventory.Server{
								ID: "s0", Service: "svc", Address: server.address, Draining: true, Position: storepos.At(0, 2),
							}}})
						})
					}
					if test.crashes {
						_ = listener.Close()
					}
					return reset(conn)
				})
			}()
			got := f.send(t, http.MethodPost, "/once/x", "body")
			if got.status != http.StatusBadGateway {
				t.Errorf("status %d, want 502: it may have run", got.status)
			}
			// A server that seemed alive is looked at once more beside the request.
			for end := time.Now().Add(backendconn.LateProbeWait / 4); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if blamed := suspects.blamedServers(); len(blamed) > test.wantReports {
					t.Fatalf("crashes reported for %v, want %d reports", blamed, test.wantReports)
				}
			}
			if blamed := suspects.blamedServers(); len(blamed) != test.wantReports {
				t.Errorf("crashes reported for %v, want %d reports", blamed, test.wantReports)
			}
		})
	}
}

// A whole response is reported as a success; a server error is not.
func TestAnsweredRequestsEndedWell(t *testing.T) {
	for status, want := range map[int]int{http.StatusOK: 1, http.StatusInternalServerError: 0} {
		f := newFixture(t, newFakeServer(t, respondWith(status, "done")))
		suspects := &fakeSuspects{status: poison.StatusClear}
		f.handler.options.Suspects = suspects
		f.send(t, http.MethodPost, "/once/x", "body")
		if suspects.successes != want {
			t.Errorf("%d successes reported for status %d, want %d", suspects.successes, status, want)
		}
	}
}
