package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// localSuspects implements Suspects for one node, without exchange.
type localSuspects struct {
	mutex   sync.Mutex
	tracker *poison.Tracker
	// clockOffset is how far its clock is ahead.
	clockOffset time.Duration
	// trials counts the trials granted.
	trials int
}

func (s *localSuspects) now() time.Time { return time.Now().Add(s.clockOffset) }

func (s *localSuspects) Standing(fingerprint poison.Fingerprint) poison.Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.Status(s.now(), fingerprint)
}

func (s *localSuspects) Blame(fingerprint poison.Fingerprint, serverID string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.Record(s.now(), poison.Report{Fingerprint: fingerprint, ServerID: serverID})
}

func (s *localSuspects) EndedRecently() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.tracker.CrashedRecently(s.now())
}

func (s *localSuspects) EndedWell(fingerprint poison.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.Record(s.now(), poison.Report{Fingerprint: fingerprint, Acquitted: true})
}

func (s *localSuspects) ClaimTrial(_ context.Context, fingerprint poison.Fingerprint) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	granted := s.tracker.ClaimTrial(s.now(), fingerprint)
	if granted {
		s.trials++
	}
	return granted
}

func (s *localSuspects) Refused(fingerprint poison.Fingerprint) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tracker.RecordRefusal(fingerprint)
}

// advance moves the clock forward.
func (s *localSuspects) advance(by time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.clockOffset += by
}

const poisonBody = `{"model":"notes","stream":true,"prompt":"poison"}`

// crashTime is how long a server runs a poison request before it crashes: crashes within
// 20 ms count as one.
const crashTime = 30 * time.Millisecond

// crashingBackend starts a back end that closes its listener and connections if isDeadly holds for the body.
func (h *harness) crashingBackend(ended *atomic.Int64, isDeadly func(body string) bool, fallback http.HandlerFunc) string {
	var server *httptest.Server
	server = httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		if !isDeadly(string(body)) {
			fallback(writer, request)
			return
		}
		time.Sleep(crashTime)
		ended.Add(1)
		_ = server.Listener.Close()
		abortConnection()
	}))
	h.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// removeCrashedEngines removes the engines that have crashed from the route table, as their
// zone's leader does.
func (h *harness) removeCrashedEngines() {
	h.table.Engines = slices.DeleteFunc(h.table.Engines, func(engine fleet.EngineState) bool {
		connection, err := net.Dial("tcp", engine.Address)
		if err != nil {
			return true
		}
		_ = connection.Close()
		return false
	})
	h.publish()
}

func isPoison(body string) bool { return strings.Contains(body, `"poison"`) }

// plainEngine responds like an engine, whatever the body.
func plainEngine(writer http.ResponseWriter, request *http.Request) {
	engine := scriptedEngine{writer, request}
	engine.tokens(0, 6)
	engine.end(6)
}

// TestPoisonRequestEndsThreeServers has a caller that keeps repeating the request. Other requests are served.
func TestPoisonRequestEndsThreeServers(t *testing.T) {
	suspects := &localSuspects{tracker: poison.NewTracker()}
	h := newHarness(t, func(options *Options) { options.Suspects = suspects })
	var ended atomic.Int64
	for index := range 12 {
		h.addEngine(fleet.BackendName(fmt.Sprint("e", index)), h.crashingBackend(&ended, isPoison, plainEngine))
	}
	var last response
	for range 8 {
		last = h.do(http.MethodPost, backend.PathCompletions, poisonBody)
		h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	}
	if ended.Load() != poison.CrashLimit {
		t.Errorf("%d servers ended, want %d", ended.Load(), poison.CrashLimit)
	}
	if last.status != http.StatusServiceUnavailable || last.problem.Code != codePoison ||
		last.problem.Outcome != attempt.OutcomeNotRun || last.header.Get("Retry-After") != "" {
		t.Errorf("%d %v %+v", last.status, last.header, last.problem)
	}
}

// TestTrialOfAPoisonRequestIsOneSend sends concurrent copies once the request is no longer barred.
func TestTrialOfAPoisonRequestIsOneSend(t *testing.T) {
	suspects := &localSuspects{tracker: poison.NewTracker()}
	h := newHarness(t, func(options *Options) { options.Suspects = suspects })
	var ended atomic.Int64
	for index := range 12 {
		h.addEngine(fleet.BackendName(fmt.Sprint("e", index)), h.crashingBackend(&ended, isPoison, plainEngine))
	}
	for range 4 {
		h.do(http.MethodPost, backend.PathCompletions, poisonBody)
	}
	h.removeCrashedEngines()
	suspects.advance(time.Minute)
	var copies sync.WaitGroup
	for range 6 {
		copies.Go(func() { h.do(http.MethodPost, backend.PathCompletions, poisonBody) })
	}
	copies.Wait()
	if ended.Load() != poison.CrashLimit+1 || suspects.trials != 1 {
		t.Errorf("%d servers ended in %d trials, want one more than %d in one trial", ended.Load(), suspects.trials, poison.CrashLimit)
	}
}

// TestConnectionThatBreaksIsNoPoison breaks connections of servers that keep running.
func TestConnectionThatBreaksIsNoPoison(t *testing.T) {
	suspects := &localSuspects{tracker: poison.NewTracker()}
	h := newHarness(t, func(options *Options) { options.Suspects = suspects })
	for index := range 5 {
		h.addEngine(fleet.BackendName(fmt.Sprint("e", index)), h.backend(func(writer http.ResponseWriter, request *http.Request) {
			time.Sleep(crashTime)
			abortConnection()
		}))
	}
	for range 4 {
		h.do(http.MethodPost, backend.PathCompletions, poisonBody)
	}
	if size := suspects.tracker.Size(); size != 0 {
		t.Errorf("%d requests are suspected", size)
	}
}

// TestServerThatLeavesIsNobodysFault has a server that announced its end before it ended.
func TestServerThatLeavesIsNobodysFault(t *testing.T) {
	suspects := &localSuspects{tracker: poison.NewTracker()}
	h := newHarness(t, func(options *Options) { options.Suspects = suspects })
	var ended atomic.Int64
	leave := func(body string) bool {
		if isPoison(body) {
			h.table.Engines[0].Leaving = true
			h.publish()
		}
		return isPoison(body)
	}
	h.addEngine("e0", h.crashingBackend(&ended, leave, plainEngine))
	h.do(http.MethodPost, backend.PathCompletions, poisonBody, headerDeadline, "500ms")
	if ended.Load() != 1 || suspects.tracker.Size() != 0 {
		t.Errorf("%d servers ended, %d requests are suspected", ended.Load(), suspects.tracker.Size())
	}
}

// TestGatewayThatReachesNoBackendBlamesNoRequest has a partition that refuses connections to all engines, and
// none to a service.
func TestGatewayThatReachesNoBackendBlamesNoRequest(t *testing.T) {
	suspects := &localSuspects{tracker: poison.NewTracker()}
	h := newHarness(t, func(options *Options) { options.Suspects = suspects })
	var ended atomic.Int64
	h.addEngine("e0", h.crashingBackend(&ended, isPoison, plainEngine))
	closed := httptest.NewServer(http.NotFoundHandler())
	h.table.Engines = append(h.table.Engines, fleet.EngineState{Backend: fleet.Backend{
		Name: "e1", Zone: h.table.Zone, Address: closed.Listener.Addr().String(),
	}})
	closed.Close()
	alive := httptest.NewServer(http.NotFoundHandler())
	defer alive.Close()
	h.table.Services = append(h.table.Services, fleet.Backend{Name: "s0", Kind: fleet.KindService, Service: "boxes", Zone: h.table.Zone, Address: alive.Listener.Addr().String()})
	h.publish()
	h.do(http.MethodPost, backend.PathCompletions, poisonBody, headerDeadline, "500ms")
	if ended.Load() != 1 || suspects.tracker.Size() != 0 {
		t.Errorf("%d servers ended, %d requests are suspected", ended.Load(), suspects.tracker.Size())
	}
}

// TestLastBackendIsBlamedAfterTheOthersEnded: no other back end is left to show that this node has a path.
func TestLastBackendIsBlamedAfterTheOthersEnded(t *testing.T) {
	suspects := &localSuspects{tracker: poison.NewTracker()}
	h := newHarness(t, func(options *Options) { options.Suspects = suspects })
	var ended atomic.Int64
	for _, name := range []fleet.BackendName{"e0", "e1"} {
		h.addEngine(name, h.crashingBackend(&ended, isPoison, plainEngine))
	}
	h.publish()
	for range 2 {
		h.do(http.MethodPost, backend.PathCompletions, poisonBody, headerDeadline, "500ms")
	}
	if crashed := suspects.EndedRecently(); len(crashed) != 2 {
		t.Errorf("ends of %v are known, want those of both", crashed)
	}
}

// TestPoisonCallEndsThreeServers uses a repeatable call, which is retried at once.
func TestPoisonCallEndsThreeServers(t *testing.T) {
	suspects := &localSuspects{tracker: poison.NewTracker()}
	h := newHarness(t, func(options *Options) { options.Suspects = suspects })
	var ended atomic.Int64
	always := func(string) bool { return true }
	for index := range 12 {
		h.addService(fleet.BackendName(fmt.Sprint("s", index)), h.crashingBackend(&ended, always, nil))
	}
	var last response
	for range 6 {
		last = h.do(http.MethodGet, "/turbines/poison", "")
	}
	if ended.Load() != poison.CrashLimit || last.problem.Code != codePoison || last.problem.Outcome != attempt.OutcomeNotRun {
		t.Errorf("%d servers ended, the last response is %d %+v", ended.Load(), last.status, last.problem)
	}
}
