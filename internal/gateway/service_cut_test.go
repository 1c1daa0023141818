package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/cutanswer"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// endingBackend answers one request with a body that ends with its connection, and stops listening before that if it
// ends.
func endingBackend(t *testing.T, body string, ends bool) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		if ends {
			_ = listener.Close()
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+body)
	}()
	return listener.Addr().String()
}

// TestAnswerThatEndsWithItsBackEndIsNotWhole guards against callers, and keepers of keys, who get a part of an
// answer that looks whole: the kernel of a back end that is killed closes its connections in order.
func TestAnswerThatEndsWithItsBackEndIsNotWhole(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		ends     bool
		status   int
		outcome  attempt.Outcome
		reported claim.Outcome
	}{
		"part, ended":      {"par", true, http.StatusBadGateway, attempt.OutcomeUnknown, claim.Uncertain},
		"nothing, ended":   {"", true, http.StatusBadGateway, attempt.OutcomeUnknown, claim.Uncertain},
		"whole, serves on": {"whole", false, http.StatusOK, "", claim.Ran},
		"empty, serves on": {"", false, http.StatusOK, "", claim.Ran},
	} {
		t.Run(name, func(t *testing.T) {
			guard := newFakeGuard(claim.Decision{Verdict: claim.Granted, Attempt: "a1"})
			h := newHarness(t, func(options *Options) { options.Guard = guard })
			h.addService("s1", endingBackend(t, c.body, c.ends))
			got := h.do(http.MethodPost, "/turbines/7/stop", "now", backend.HeaderIdempotencyKey, "k")
			if got.status != c.status || got.problem.Outcome != c.outcome || c.status == http.StatusOK && got.body != c.body {
				t.Errorf("status %d, %q, %+v", got.status, got.body, got.problem)
			}
			if recorded := <-guard.outcomes; recorded != c.reported {
				t.Errorf("keepers were told %v, want %v", recorded, c.reported)
			}
		})
	}
}

// TestCutAnswerOfAServiceIsNotWhole guards against callers who get an empty or short body that looks whole, or the word
// that their call has not run, because a service stopped within its answer.
func TestCutAnswerOfAServiceIsNotWhole(t *testing.T) {
	const body = "whole"
	for status, want := range map[string]int{"200 OK": http.StatusOK, "500 Internal Server Error": http.StatusInternalServerError} {
		server := cutanswer.NewServer(t)
		h, number := newHarness(t, nil), 0
		server.ForEach(t, status, "Content-Type: text/plain\r\n", body, func(t *testing.T, cut cutanswer.Cut) {
			// A back end under a new name is known for no failures.
			number++
			h.table.Services = nil
			h.addService(fleet.BackendName("s"+strconv.Itoa(number)), server.Address)
			before := server.Requests()
			got := h.do(http.MethodPost, "/turbines/7/stop", "now")
			mayBeWhole := cut.Form.IsUnframed && cut.Ending == cutanswer.Closed && cut.IsHeadWhole()
			isPassed := got.status == want
			switch {
			case isPassed && !mayBeWhole && (!cut.IsWhole() || got.body != body):
				t.Errorf("status %d, %q, taken for whole", got.status, got.body)
			case !isPassed && (cut.IsWhole() && !cut.Form.IsUnframed || got.problem.Outcome != attempt.OutcomeUnknown):
				t.Errorf("status %d, %+v", got.status, got.problem)
			case server.Requests() != before+1:
				t.Errorf("sent %d times", server.Requests()-before)
			}
		})
	}
}
