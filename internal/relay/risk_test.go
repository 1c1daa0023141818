package relay

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/admission"
)

// settledSends records the outcomes of sends to a brittle server.
type settledSends struct {
	mu       sync.Mutex
	outcomes []bool
}

func (s *settledSends) settle(isRejected bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outcomes = append(s.outcomes, isRejected)
}

func (s *settledSends) all() []bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]bool(nil), s.outcomes...)
}

// TestSendToASilentServerIsNotAccepted guards against taking a send for accepted because time has passed: a
// server that is silent may reject it when it goes on. One that answers others meanwhile has accepted it.
func TestSendToASilentServerIsNotAccepted(t *testing.T) {
	const silence = 4 * admission.RejectionTime
	for name, answersOthers := range map[string]bool{"silent": false, "answers others": true} {
		t.Run(name, func(t *testing.T) {
			arrived := make(chan struct{})
			server := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
				if request.Header.Get("X-Id") == "slow" {
					close(arrived)
					time.Sleep(silence)
				}
				write(conn, reply(request.Header.Get("X-Id"), http.StatusOK, "done"))
				return true
			})
			f := newFixture(t, server)
			slow := &settledSends{}
			f.handler.options.Admission = &scriptedAdmission{decide: func(_ string, times int) AdmissionDecision {
				if times > 1 {
					return AdmissionDecision{Granted: true}
				}
				return AdmissionDecision{Granted: true, Settle: slow.settle}
			}}
			var group sync.WaitGroup
			group.Go(func() { f.send(t, http.MethodPost, "/once/", "b", "X-Id", "slow") })
			<-arrived
			for end := time.Now().Add(silence / 2); answersOthers && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				f.send(t, http.MethodPost, "/once/", "b", "X-Id", "other")
			}
			if !answersOthers {
				time.Sleep(silence / 2)
			}
			if got := len(slow.all()); (got > 0) != answersOthers {
				t.Errorf("%d outcomes known during the silence, want one: %v", got, answersOthers)
			}
			group.Wait()
			if got := slow.all(); len(got) == 0 || got[0] {
				t.Errorf("outcomes %v, want the send accepted once it is answered", got)
			}
		})
	}
}
