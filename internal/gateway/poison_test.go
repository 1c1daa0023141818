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

// localSuspects is the memory of one node alone.
type localSuspects struct {
	mutex   sync.Mutex
	tracker *poison.Tracker
	// clockOffset is by how much its clock is clockOffset.
	clockOffset time.Duration
	// trials counts those granted.
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

// advance moves the clock on.
func (s *localSuspects) advance(by time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.clockOffset += by
}

const poisonBody = `{"model":"notes","stream":true,"prompt":"poison"}`

// crashTime is how long a server runs a poison request: those that end within 20 ms count
// as one fault.
const crashTime = 30 * time.Millisecond

// crashingBackend is a back end that ends, with all its connections, when the handler says so.
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

// removeCrashedEngines takes the engines that have ended out of the table, as their zone's leader
// does.
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

// plainEngine answers like an engine, whatever the body.
func plainEngine(writer http.ResponseWriter, request *http.Request) {
	engine := scriptedEngine{writer, request}
	engine.tokens(0, 6)
	engine.end(6)
}

// TestPoisonRequestEndsThreeServers: its caller sends it again and again. Others go on.
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

// TestTrialOfAPoisonRequestIsOneSend: copies come at once when the bar is over.
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
		t.Errorf("%d servers ended, %d trials, want one more than %d and one", ended.Load(), suspects.trials, poison.CrashLimit)
	}
}

// TestConnectionThatBreaksIsNoPoison: the servers are still there.
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

// TestServerThatLeavesIsNobodysFault: it had said that it goes.
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

// TestPoisonCallEndsThreeServers: a call that may be repeated is sent again at once.
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
		t.Errorf("%d servers ended, the last answer is %d %+v", ended.Load(), last.status, last.problem)
	}
}
