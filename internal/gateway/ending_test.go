package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/poison"
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

// TestCrashOfAServerThatIsStillClosingIsBlamed guards against requests that end servers unseen: while the kernel
// closes the sockets of a process, a connection still comes up.
func TestCrashOfAServerThatIsStillClosingIsBlamed(t *testing.T) {
	suspects := &localSuspects{tracker: poison.NewTracker()}
	h := newHarness(t, func(options *Options) { options.Suspects = suspects })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	other := h.backend(func(http.ResponseWriter, *http.Request) {})
	go func() {
		defer listener.Close()
		running, err := listener.Accept()
		if err != nil {
			return
		}
		if request, err := http.ReadRequest(bufio.NewReader(running)); err == nil {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		h.addService("s2", other)
		_ = running.Close()
		if probe, err := listener.Accept(); err == nil {
			_ = probe.Close()
		}
	}()
	h.addService("s1", listener.Addr().String())
	if got := h.do(http.MethodPost, "/turbines/7/stop", "now"); got.status != http.StatusBadGateway {
		t.Errorf("%d %+v", got.status, got.problem)
	}
	for limit := time.Now().Add(10 * time.Second); len(suspects.EndedRecently()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatal("nothing was blamed")
		}
	}
}

// TestRunsThatGoOnDifferentlyAreNotJoined guards against answers made of two runs, or short ones: what an engine
// writes when it goes on behind the third token need not be the rest of what the caller has.
func TestRunsThatGoOnDifferentlyAreNotJoined(t *testing.T) {
	for name, goOn := range map[string]func(engine scriptedEngine){
		"starts again": func(engine scriptedEngine) {
			engine.tokens(0, 6)
			engine.end(6)
		},
		"repeats a token": func(engine scriptedEngine) {
			engine.tokens(2, 6)
			engine.end(6)
		},
		"leaves a token out": func(engine scriptedEngine) {
			engine.tokens(4, 6)
			engine.end(6)
		},
		"swaps two tokens": func(engine scriptedEngine) {
			engine.tokens(4, 5)
			engine.tokens(3, 4)
			engine.tokens(5, 6)
			engine.end(6)
		},
		"starts another answer": func(engine scriptedEngine) {
			engine.numbered(0, "other ", "words ", "that ", "differ ")
			engine.end(4)
		},
		"counts from its own beginning": func(engine scriptedEngine) {
			engine.numbered(0, "3 ", "4 ", "5 ")
			engine.end(3)
		},
		"ends before what the caller has": func(engine scriptedEngine) { engine.end(2) },
		"ends with a number too high":     func(engine scriptedEngine) { engine.end(5) },
		"gives no number":                 func(engine scriptedEngine) { engine.numbered(-1, "3 ") },
	} {
		resumed := func(h *harness) {
			h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
				engine := scriptedEngine{writer, request}
				switch {
				case isCancel(request):
				case isResume(request):
					goOn(engine)
				default:
					engine.tokens(0, 3)
					h.addEngine("e2", h.backend(completeEngine))
					abortConnection()
				}
			}))
		}
		continued := func(h *harness) {
			diverging := h.backend(func(writer http.ResponseWriter, request *http.Request) {
				if isCancel(request) || isResume(request) {
					http.NotFound(writer, request)
					return
				}
				goOn(scriptedEngine{writer, request})
			})
			h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
				if isCancel(request) || isResume(request) {
					http.NotFound(writer, request)
					return
				}
				scriptedEngine{writer, request}.tokens(0, 3)
				h.addEngine("e2", diverging)
				abortConnection()
			}))
		}
		for place, prepare := range map[string]func(*harness){"resumed": resumed, "continued": continued} {
			t.Run(name+" "+place, func(t *testing.T) {
				h := newHarness(t, nil)
				prepare(h)
				got := h.do(http.MethodPost, backend.PathCompletions, streamBody)
				text, isWhole := streamText(got.body)
				if got.status != http.StatusOK || isWhole && text != completeText || !strings.HasPrefix(completeText, text) {
					t.Errorf("%d, %q, whole %t", got.status, text, isWhole)
				}
				if place == "resumed" && !isWhole {
					t.Errorf("not continued at the other engine: %q", got.body)
				}
			})
		}
	}
}

// numbered sends tokens whose numbers begin with first; all have it if it is negative.
func (s scriptedEngine) numbered(first int, texts ...string) {
	for index, text := range texts {
		chunk := s.header()
		chunk.Sequence, chunk.Text = first, text
		if first >= 0 {
			chunk.Sequence += index
		}
		s.send(chunk)
	}
}

// askOldProtocol sends a request by HTTP/1.0 and returns its response; the body is read to its end, or to an error,
// by read.
func (h *harness) askOldProtocol(method, path, body string) (answer *http.Response, read func() (string, error)) {
	h.t.Helper()
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = conn.Close() })
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.0\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body); err != nil {
		h.t.Fatal(err)
	}
	answer, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		h.t.Fatal(err)
	}
	return answer, func() (string, error) {
		text, err := io.ReadAll(answer.Body)
		return string(text), err
	}
}

// TestCallersWithoutChunksSeeBrokenStreams guards against callers of HTTP/1.0, and proxies that use it, who take a
// stream that was broken off for whole, and against streams that are whole, or end with an error, and are reset.
func TestCallersWithoutChunksSeeBrokenStreams(t *testing.T) {
	for name, c := range map[string]struct {
		// next is what the engine does behind its first tokens.
		next     func(h *harness, engine scriptedEngine)
		last     string
		isBroken bool
	}{
		"whole": {func(_ *harness, engine scriptedEngine) {
			engine.tokens(2, 6)
			engine.end(6)
		}, "data: [DONE]\n\n", false},
		"ends with an error": {func(*harness, scriptedEngine) { abortConnection() }, "}\n\n", false},
		"the node closes its connections": {func(h *harness, _ scriptedEngine) {
			h.server.CloseClientConnections()
		}, "", true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			mayGoOn := make(chan struct{})
			h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
				engine := scriptedEngine{writer, request}
				if isResume(request) || isCancel(request) || len(engine.body().ContinueFrom) > 0 {
					http.NotFound(writer, request)
					return
				}
				engine.tokens(0, 2)
				<-mayGoOn
				c.next(h, engine)
			}))
			_, read := h.askOldProtocol(http.MethodPost, backend.PathCompletions, streamBody)
			close(mayGoOn)
			text, err := read()
			if (err != nil) != c.isBroken || !c.isBroken && !strings.HasSuffix(text, c.last) {
				t.Errorf("%q, error %v", text, err)
			}
		})
	}
}

// TestAnswersNameTheirLength guards against answers that a caller of HTTP/1.0 can't tell from a part of them, and
// against a length where there is no body.
func TestAnswersNameTheirLength(t *testing.T) {
	long := strings.Repeat("turbine 7 is stopped\n", 10_000)
	for name, c := range map[string]struct {
		method, path string
		status       int
		body         string
		// length is the one announced to a HEAD, and want what the caller is told.
		length, want string
	}{
		"long answer":           {http.MethodPost, "/turbines/7", http.StatusOK, long, "", "210000"},
		"long failure":          {http.MethodPost, "/turbines/7", http.StatusInternalServerError, long, "", "210000"},
		"no body":               {http.MethodPost, "/turbines/7", http.StatusOK, "", "", "0"},
		"no content":            {http.MethodPost, "/turbines/7", http.StatusNoContent, "", "", ""},
		"not modified":          {http.MethodGet, "/turbines/7", http.StatusNotModified, "", "", ""},
		"HEAD":                  {http.MethodHead, "/turbines/7", http.StatusOK, "", "210000", "210000"},
		"HEAD without a length": {http.MethodHead, "/turbines/7", http.StatusOK, "", "", ""},
		"list of models":        {http.MethodGet, "/v1/models", http.StatusOK, "", "", "95"},
		"HEAD of the models":    {http.MethodHead, "/v1/models", http.StatusOK, "", "", "95"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, nil)
			h.addService("s1", h.backend(func(writer http.ResponseWriter, _ *http.Request) {
				if c.length != "" {
					writer.Header().Set("Content-Length", c.length)
				}
				writer.WriteHeader(c.status)
				_, _ = io.WriteString(writer, c.body)
			}))
			answer, read := h.askOldProtocol(c.method, c.path, "")
			length := strings.Join(answer.Header["Content-Length"], ",")
			if answer.StatusCode != c.status || length != c.want {
				t.Errorf("%d, Content-Length %q", answer.StatusCode, length)
			}
			if c.method == http.MethodPost {
				if text, err := read(); text != c.body || err != nil {
					t.Errorf("%d bytes of %d, %v", len(text), len(c.body), err)
				}
			}
		})
	}
}
