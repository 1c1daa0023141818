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

// scriptedCold answers for cold servers by a function, and keeps whom it was asked for.
type scriptedCold struct {
	mu    sync.Mutex
	asked []string
	// givenBack are the servers whose grants were not used.
	givenBack []string
	answer    func(serverID string, times int) AdmissionDecision
}

func (s *scriptedCold) Admit(_ context.Context, start inventory.Start, _ int) AdmissionDecision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = append(s.asked, start.ID)
	return s.answer(start.ID, len(s.asked))
}

func (s *scriptedCold) ReturnGrant(start inventory.Start, _ AdmissionDecision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.givenBack = append(s.givenBack, start.ID)
}

// newColdFixture has cold servers of an engine, all with model m.
func newColdFixture(t *testing.T, answer func(serverID string, times int) AdmissionDecision, servers ...*standinServer) (*fixture, *scriptedCold) {
	t.Helper()
	f := newFixture(t, servers...)
	cold := &scriptedCold{answer: answer}
	f.handler.options.Admission = cold
	f.handler.SetTable(engineTable(100 * time.Millisecond))
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetColdStarts(map[string]routetable.ColdStart{"svc": {Time: 3 * time.Second, PerSecond: 12}})
		for i, server := range servers {
			told := inventory.Server{
				ID: "s" + string(rune('0'+i)), Service: "svc", Address: server.address, Zone: "z", Slots: 8, Position: storepos.At(0, 2),
				Models: []inventory.HeldModel{{Name: "m"}}, ColdRemaining: 3 * time.Second, ReportsCold: true,
			}
			core.SetServers([]inventory.Change{{Server: told}})
			core.UpdateColdFromEntry(time.Now(), told)
		}
	})
	return f, cold
}

func granted() AdmissionDecision {
	return AdmissionDecision{Granted: true, ValidUntil: time.Now().Add(time.Second)}
}

// TestNotAdmittedSendGoesToAnotherServer, and nothing reaches the first.
func TestNotAdmittedSendGoesToAnotherServer(t *testing.T) {
	servers := []*standinServer{newStandin(t, answering(http.StatusOK, "0")), newStandin(t, answering(http.StatusOK, "1"))}
	f, _ := newColdFixture(t, func(serverID string, _ int) AdmissionDecision {
		if serverID == "s0" {
			return AdmissionDecision{RetryAfter: time.Second}
		}
		return granted()
	}, servers...)
	for range 10 {
		if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.body != "1" {
			t.Fatalf("%d %s, want the answer of the other server", got.status, got.body)
		}
	}
	if servers[0].count() != 0 {
		t.Errorf("%d requests reached a server that was not granted", servers[0].count())
	}
}

// TestNotAdmittedSendWaits where no other server has the model, and is sent once.
func TestNotAdmittedSendWaits(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "done"))
	f, cold := newColdFixture(t, func(_ string, times int) AdmissionDecision {
		if times < 4 {
			return AdmissionDecision{RetryAfter: 30 * time.Millisecond}
		}
		return granted()
	}, server)
	if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.status != http.StatusOK || server.count() != 1 {
		t.Errorf("%d %s, %d sent", got.status, got.body, server.count())
	}
	if len(cold.asked) != 4 || f.handler.Metrics.ColdHeld.Load() != 3 || f.handler.Metrics.DialFailures.Load() != 0 {
		t.Errorf("asked %d times, held back %d", len(cold.asked), f.handler.Metrics.ColdHeld.Load())
	}
}

// TestRequestThatColdServersServeTooLateIsRefusedAtOnce by the time foretold, with the reason.
func TestRequestThatColdServersServeTooLateIsRefusedAtOnce(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "done"))
	f, _ := newColdFixture(t, func(string, int) AdmissionDecision { return AdmissionDecision{RetryAfter: 3 * time.Second} }, server)
	started := time.Now()
	got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m", "X-Wait", "2s")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, reasonColdServers) || got.header.Get("Retry-After") == "" {
		t.Errorf("%d %s", got.status, got.body)
	}
	if took := time.Since(started); took > time.Second || server.count() != 0 {
		t.Errorf("refused after %v, %d sent", took, server.count())
	}
}

// TestGrantIsCheckedRightBeforeTheSend: opening the connection took longer than it holds.
func TestGrantIsCheckedRightBeforeTheSend(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "done"))
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
	if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.status != http.StatusOK || len(cold.asked) != 3 {
		t.Errorf("%d %s, asked %d times: an old grant was used", got.status, got.body, len(cold.asked))
	}
}

// TestServerThatTurnsColdWhileAConnectionOpensIsAskedFor: it was warm when it was chosen.
func TestServerThatTurnsColdWhileAConnectionOpensIsAskedFor(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "done"))
	f, cold := newColdFixture(t, func(_ string, times int) AdmissionDecision {
		if times == 1 {
			return AdmissionDecision{Granted: true}
		}
		return granted()
	}, server)
	if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.status != http.StatusOK || len(cold.asked) != 2 {
		t.Errorf("%d %s, asked %d times", got.status, got.body, len(cold.asked))
	}
}

// TestServerThatNobodyReachesMayComeBackCold: a connection to it fails, or an answer breaks
// off and nobody listens there any more. One that breaks off an answer and listens does not.
func TestServerThatNobodyReachesMayComeBackCold(t *testing.T) {
	phaseAfter := func(end func(server *standinServer) script) admission.Phase {
		var server *standinServer
		server = newStandin(t, func(conn net.Conn, request *http.Request) bool { return end(server)(conn, request) })
		f, _ := newColdFixture(t, func(string, int) AdmissionDecision { return granted() }, server)
		warm := inventory.Server{ID: "s0", ReportsCold: true, Position: storepos.At(0, 3)}
		f.dispatch.Do(func(core *dispatch.Core) { core.UpdateColdFromEntry(time.Now().Add(-time.Minute), warm) })
		f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m", "X-Wait", "500ms")
		var phase admission.Phase
		f.dispatch.Do(func(core *dispatch.Core) { phase, _ = core.ColdPhase(time.Now(), "s0") })
		return phase
	}
	breaksOff := func(conn net.Conn, _ *http.Request) bool { return reset(conn) }
	if got := phaseAfter(func(*standinServer) script { return breaksOff }); got == admission.Cold {
		t.Error("a server that listens is taken for cold")
	}
	got := phaseAfter(func(server *standinServer) script {
		_ = server.listener.Close()
		return breaksOff
	})
	if got != admission.Cold {
		t.Errorf("phase %d of a server that nobody reaches any more, want cold", got)
	}
}
