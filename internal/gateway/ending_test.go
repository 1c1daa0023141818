package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/claim"
)

// unframedService answers each request with a body that ends with its connection, once onRequest has returned.
// If dies is set, nothing listens any more when the connection is closed.
func unframedService(t *testing.T, body string, dies bool, onRequest func()) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	answer := func(conn net.Conn) {
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		onRequest()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
		if dies {
			_ = listener.Close()
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer(conn)
		}
	}()
	return listener.Addr().String()
}

// TestAnswersThatEndWithTheirServiceAreNotWhole guards against passing on, and keeping for repeats, the part of
// an answer that came before its service was killed: such a connection ends as one of a whole answer does.
func TestAnswersThatEndWithTheirServiceAreNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		method, body string
		dies         bool
		status       int
		reported     claim.Outcome
	}{
		"command, a part":                {http.MethodPost, "turbine 7 is", true, http.StatusBadGateway, claim.Uncertain},
		"command, no body":               {http.MethodPost, "", true, http.StatusBadGateway, claim.Uncertain},
		"command, whole":                 {http.MethodPost, "turbine 7 is stopped", false, http.StatusOK, claim.Ran},
		"command, whole without a body":  {http.MethodPost, "", false, http.StatusOK, claim.Ran},
		"question, a part":               {http.MethodGet, "turbine 7 is", true, http.StatusOK, claim.Ran},
		"question, no body":              {http.MethodGet, "", true, http.StatusOK, claim.Ran},
		"question, whole without a body": {http.MethodGet, "", false, http.StatusOK, claim.Ran},
	} {
		for _, key := range []string{"", "k"} {
			t.Run(name+" "+key, func(t *testing.T) {
				guard := newFakeGuard(claim.Decision{Verdict: claim.Granted, Attempt: "a1"})
				h := newHarness(t, func(options *Options) { options.Guard = guard })
				var requests atomic.Int32
				other := h.backend(func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "all stands") })
				h.addService("s1", unframedService(t, c.body, c.dies, func() {
					requests.Add(1)
					h.addService("s2", other)
				}))
				got := h.do(c.method, "/turbines/7", "now", backend.HeaderIdempotencyKey, key)
				want := c.body
				if c.dies {
					want = "all stands"
				}
				switch {
				case got.status != c.status || requests.Load() != 1, got.status == http.StatusOK && got.body != want:
					t.Errorf("%d %q, sent %d times", got.status, got.body, requests.Load())
				case got.status != http.StatusOK && got.problem.Outcome != attempt.OutcomeUnknown:
					t.Errorf("the caller was told %+v", got.problem)
				}
				if key == "" {
					return
				}
				if reported := <-guard.outcomes; reported != c.reported {
					t.Errorf("keepers were told %v", reported)
				}
			})
		}
	}
}
