package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/poison"
)

// partSuspects has a status for each part and records what is reported of parts.
type partSuspects struct {
	mu               sync.Mutex
	statuses         map[poison.Fingerprint]poison.Status
	crashed, ranWell []poison.Fingerprint
	refused, claimed []poison.Fingerprint
}

func newPartSuspects(statuses map[string]poison.Status) *partSuspects {
	s := &partSuspects{statuses: make(map[poison.Fingerprint]poison.Status)}
	for part, status := range statuses {
		s.statuses[poison.NewPartFingerprint("svc", part)] = status
	}
	return s
}

func (s *partSuspects) Any() bool { return true }

// reported returns what was reported so far.
func (s *partSuspects) reported() (crashed, ranWell, refused, claimed []poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashed), slices.Clone(s.ranWell), slices.Clone(s.refused), slices.Clone(s.claimed)
}

func (s *partSuspects) Status(fingerprint poison.Fingerprint) poison.Status {
	return s.statuses[fingerprint]
}

func (s *partSuspects) ReportCrash(crash Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed = append(s.crashed, crash.Parts...)
}

func (s *partSuspects) ReportSuccess(_ *poison.Fingerprint, parts []poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ranWell = append(s.ranWell, parts...)
}

func (s *partSuspects) ClaimTrial(_ context.Context, fingerprint poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.claimed = append(s.claimed, fingerprint)
	return true
}

func (s *partSuspects) ReportRefusal(fingerprint poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = append(s.refused, fingerprint)
}

func partsNamed(names ...string) (parts []poison.Fingerprint) {
	for _, name := range names {
		parts = append(parts, poison.NewPartFingerprint("svc", name))
	}
	return parts
}

// TestRequestWithABarredPartIsNotSent guards against sending what is known to crash servers, against
// refusing requests for their last part, which no other has, and against a trial that tells nothing.
func TestRequestWithABarredPartIsNotSent(t *testing.T) {
	cases := map[string]struct {
		statuses map[string]poison.Status
		sent     bool
		refused  []poison.Fingerprint
		claimed  []poison.Fingerprint
	}{
		"nothing suspect":          {sent: true},
		"suspect parts":            {statuses: map[string]poison.Status{"a": poison.StatusSuspect, "b": poison.StatusSuspect}, sent: true},
		"the first part barred":    {statuses: map[string]poison.Status{"a": poison.StatusBarred}, refused: partsNamed("a")},
		"the second part barred":   {statuses: map[string]poison.Status{"b": poison.StatusBarred}, refused: partsNamed("b")},
		"the last part barred":     {statuses: map[string]poison.Status{"own": poison.StatusBarred}, sent: true},
		"one part on trial":        {statuses: map[string]poison.Status{"a": poison.StatusOnTrial}, sent: true, claimed: partsNamed("a")},
		"both parts on trial":      {statuses: map[string]poison.Status{"a": poison.StatusOnTrial, "b": poison.StatusOnTrial}, refused: partsNamed("a", "b")},
		"one barred, one on trial": {statuses: map[string]poison.Status{"a": poison.StatusOnTrial, "b": poison.StatusBarred}, refused: partsNamed("a", "b")},
	}
	for name, c := range cases {
		server := newFakeServer(t, respondWith(http.StatusOK, "done"))
		f := newFixture(t, server)
		suspects := newPartSuspects(c.statuses)
		f.handler.options.Suspects = suspects
		got := f.send(t, http.MethodPost, "/often/x", "body", "X-Parts", "a,b,own")
		if isSent := server.count() == 1; isSent != c.sent || (got.status == http.StatusOK) != c.sent || got.header.Get("Retry-After") != "" {
			t.Errorf("%s: got %+v after %d sends, want it sent: %v", name, got, server.count(), c.sent)
		}
		_, ranWell, refused, claimed := suspects.reported()
		if !slices.Equal(refused, c.refused) || !slices.Equal(claimed, c.claimed) {
			t.Errorf("%s: refused for %v, claimed %v", name, refused, claimed)
		}
		if c.sent && !slices.Equal(ranWell, partsNamed("a", "b")) {
			t.Errorf("%s: %v ran well, want the shared parts", name, ranWell)
		}
	}
}

// TestPartsAreBlamedAtTheBeginningOnly guards against blaming a part for the crash of a server that had
// been writing an answer on it: the part that crashes servers does so as they begin to write.
func TestPartsAreBlamedAtTheBeginningOnly(t *testing.T) {
	for name, c := range map[string]struct {
		// writesFor is how long the server writes, an event and a pause at a time.
		writesFor, pause time.Duration
		blamed           []poison.Fingerprint
	}{
		"crashes before its first event":        {blamed: partsNamed("a", "b")},
		"crashes later":                         {writesFor: 2 * provenRunTime, pause: 20 * time.Millisecond},
		"crashes at its third event, slow":      {writesFor: 2 * provenRunTime, pause: 150 * time.Millisecond, blamed: partsNamed("a", "b")},
		"crashes soon after many events, quick": {writesFor: provenRunTime / 4, pause: time.Millisecond, blamed: partsNamed("a", "b")},
	} {
		var server *fakeServer
		server = newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
			write(conn, streamHead)
			for begin, number := time.Now(), 1; time.Since(begin) < c.writesFor; number++ {
				write(conn, chunk(fmt.Sprintf("id: %d\ndata: x\n\n", number)))
				time.Sleep(c.pause)
			}
			_ = server.listener.Close()
			return reset(conn)
		})
		f := newFixture(t, server)
		suspects := newPartSuspects(nil)
		f.handler.options.Suspects = suspects
		f.send(t, http.MethodPost, "/stream/", "body", "X-Parts", "a,b,own")
		crashed, ranWell, _, _ := suspects.reported()
		if !slices.Equal(crashed, c.blamed) {
			t.Errorf("%s: blamed %v, want %v", name, crashed, c.blamed)
		}
		if hasRunWell := len(ranWell) > 0; hasRunWell != (c.blamed == nil) {
			t.Errorf("%s: parts reported to run well: %v", name, hasRunWell)
		}
	}
}

// TestPartsOfAPromptAreBounded guards against a caller that names so many parts that each crash floods the
// nodes with reports.
func TestPartsOfAPromptAreBounded(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f := newFixture(t, server)
	suspects := newPartSuspects(nil)
	f.handler.options.Suspects = suspects
	f.send(t, http.MethodPost, "/often/x", "body", "X-Parts", strings.Repeat("p,", 5*maxSharedParts)+"own")
	if _, ranWell, _, _ := suspects.reported(); len(ranWell) != maxSharedParts {
		t.Errorf("%d parts watched, want %d", len(ranWell), maxSharedParts)
	}
}

// TestCrashOfAServerThatIsStillClosingIsReported guards against a request that crashes each server and is
// never suspected: the kernel may close the listening socket of a process that was killed after its
// connections.
func TestCrashOfAServerThatIsStillClosingIsReported(t *testing.T) {
	server := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool { return reset(conn) })
	f := newFixture(t, server)
	suspects := newPartSuspects(nil)
	f.handler.options.Suspects = suspects
	dials := 0
	f.onDial = func() {
		// The first probe, after the dial of the request itself, still finds the socket.
		if dials++; dials == 3 {
			_ = server.listener.Close()
		}
	}
	f.send(t, http.MethodPost, "/command/", "body", "X-Parts", "a,own")
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if crashed, _, _, _ := suspects.reported(); slices.Equal(crashed, partsNamed("a")) {
			return
		}
	}
	t.Error("the crash was not reported")
}
