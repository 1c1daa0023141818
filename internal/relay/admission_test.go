package relay

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// scriptedAdmission decides by a function and records the servers that it was asked about.
type scriptedAdmission struct {
	mu           sync.Mutex
	askedServers []string
	// requests are what was asked for.
	requests []AdmissionRequest
	// returned are the servers whose grants were returned unused.
	returned []string
	decide   func(serverID string, times int) AdmissionDecision
	// decideCall decides on calls of the system itself, by their number; nil grants them.
	decideCall func(times int) AdmissionDecision
	calls      int
}

func (s *scriptedAdmission) AdmitInternalCall(context.Context, inventory.Start, AdmissionRequest) AdmissionDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.decideCall == nil {
		return AdmissionDecision{Granted: true}
	}
	return s.decideCall(s.calls)
}

func (s *scriptedAdmission) Admit(_ context.Context, start inventory.Start, request AdmissionRequest) AdmissionDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, request)
	s.askedServers = append(s.askedServers, start.ID)
	return s.decide(start.ID, len(s.askedServers))
}

func (s *scriptedAdmission) ReturnGrant(start inventory.Start, _ AdmissionDecision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.returned = append(s.returned, start.ID)
}

// newColdFixture has cold servers of an engine, all with model m.
func newColdFixture(t *testing.T, decide func(serverID string, times int) AdmissionDecision, servers ...*fakeServer) (*fixture, *scriptedAdmission) {
	t.Helper()
	f := newFixture(t, servers...)
	cold := &scriptedAdmission{decide: decide}
	f.handler.options.Admission = cold
	f.handler.SetTable(engineTable(100 * time.Millisecond))
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetColdStarts(map[string]routetable.ColdStart{"svc": {Time: 3 * time.Second, PerSecond: 12}})
		for i, server := range servers {
			entry := inventory.Server{
				ID: "s" + string(rune('0'+i)), Service: "svc", Address: server.address, Zone: "z", Slots: 8, Position: storepos.At(0, 2),
				Models: []inventory.HeldModel{{Name: "m"}}, ColdRemaining: 3 * time.Second, ReportsCold: true,
			}
			core.SetServers([]inventory.Change{{Server: entry}})
			core.UpdateColdFromEntry(time.Now(), entry)
		}
	})
	return f, cold
}

func granted() AdmissionDecision {
	return AdmissionDecision{Granted: true, ValidUntil: time.Now().Add(time.Second)}
}

// A request that admission denies at one server goes to another, and nothing reaches the first.
func TestNotAdmittedSendGoesToAnotherServer(t *testing.T) {
	servers := []*fakeServer{newFakeServer(t, respondWith(http.StatusOK, "0")), newFakeServer(t, respondWith(http.StatusOK, "1"))}
	f, _ := newColdFixture(t, func(serverID string, _ int) AdmissionDecision {
		if serverID == "s0" {
			return AdmissionDecision{RetryAfter: time.Second}
		}
		return granted()
	}, servers...)
	for range 10 {
		if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.body != "1" {
			t.Fatalf("status %d %s, want the response of the other server", got.status, got.body)
		}
	}
	if servers[0].count() != 0 {
		t.Errorf("%d requests reached a server that denied admission", servers[0].count())
	}
}

// A request that admission denies waits where no other server has the model, and is sent once.
func TestNotAdmittedSendWaits(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f, cold := newColdFixture(t, func(_ string, times int) AdmissionDecision {
		if times < 4 {
			return AdmissionDecision{RetryAfter: 30 * time.Millisecond}
		}
		return granted()
	}, server)
	if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.status != http.StatusOK || server.count() != 1 {
		t.Errorf("status %d %s after %d sends, want 200 after one", got.status, got.body, server.count())
	}
	if len(cold.askedServers) != 4 || f.handler.Metrics.ColdHeld.Load() != 3 || f.handler.Metrics.DialFailures.Load() != 0 {
		t.Errorf("asked %d times, denied %d times, want 4 and 3", len(cold.askedServers), f.handler.Metrics.ColdHeld.Load())
	}
}

// A request that cold servers can only admit after the caller's limit is refused at once, with the
// reason.
func TestRequestThatColdServersServeTooLateIsRefusedAtOnce(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f, _ := newColdFixture(t, func(string, int) AdmissionDecision { return AdmissionDecision{RetryAfter: 3 * time.Second} }, server)
	started := time.Now()
	got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m", "X-Wait", "2s")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, reasonColdServers) || got.header.Get("Retry-After") == "" {
		t.Errorf("status %d %s, want a refusal for cold servers with Retry-After", got.status, got.body)
	}
	if took := time.Since(started); took > time.Second || server.count() != 0 {
		t.Errorf("refused after %v and %d sends, want at once and unsent", took, server.count())
	}
}

// Guards against sending with an expired grant: opening the connection outlasts it.
func TestGrantIsCheckedRightBeforeTheSend(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f, cold := newColdFixture(t, func(_ string, times int) AdmissionDecision {
		switch times {
		case 1:
			return AdmissionDecision{Granted: true, ValidUntil: time.Now().Add(20 * time.Millisecond)}
		case 2:
			return AdmissionDecision{RetryAfter: 10 * time.Millisecond}
		default:
			return granted()
		}
	}, server)
	slow := true
	f.onDial = func() {
		if slow {
			slow = false
			time.Sleep(60 * time.Millisecond)
		}
	}
	if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.status != http.StatusOK || len(cold.askedServers) != 3 {
		t.Errorf("status %d %s, asked %d times: an expired grant was used", got.status, got.body, len(cold.askedServers))
	}
}

// Guards against sending without a grant to a server that was warm when it was chosen and became cold
// while the connection was opened.
func TestServerThatTurnsColdWhileAConnectionOpensIsAskedFor(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f, cold := newColdFixture(t, func(_ string, times int) AdmissionDecision {
		if times == 1 {
			return AdmissionDecision{Granted: true}
		}
		return granted()
	}, server)
	if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.status != http.StatusOK || len(cold.askedServers) != 2 {
		t.Errorf("status %d %s, asked %d times, want 200 after 2", got.status, got.body, len(cold.askedServers))
	}
}

// A server may have restarted cold if a connection to it fails, or if a response breaks off and nobody
// listens there any more. One that breaks off a response and still listens has not.
func TestServerThatNobodyReachesMayComeBackCold(t *testing.T) {
	phaseAfter := func(end func(server *fakeServer) responder) admission.Phase {
		var server *fakeServer
		server = newFakeServer(t, func(conn net.Conn, request *http.Request) bool { return end(server)(conn, request) })
		f, _ := newColdFixture(t, func(string, int) AdmissionDecision { return granted() }, server)
		warm := inventory.Server{ID: "s0", ReportsCold: true, Position: storepos.At(0, 3)}
		f.dispatch.Do(func(core *dispatch.Core) { core.UpdateColdFromEntry(time.Now().Add(-time.Minute), warm) })
		f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m", "X-Wait", "500ms")
		var phase admission.Phase
		f.dispatch.Do(func(core *dispatch.Core) { phase, _ = core.ColdPhase(time.Now(), "s0") })
		return phase
	}
	breaksOff := func(conn net.Conn, _ *http.Request) bool { return reset(conn) }
	if got := phaseAfter(func(*fakeServer) responder { return breaksOff }); got == admission.Cold {
		t.Error("a server that still listens is marked cold")
	}
	got := phaseAfter(func(server *fakeServer) responder {
		_ = server.listener.Close()
		return breaksOff
	})
	if got != admission.Cold {
		t.Errorf("phase %d of an unreachable server, want cold", got)
	}
}
