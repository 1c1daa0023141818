package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
)

// TestTokensDoNotWaitForTheNext guards against tokens that stay at the node until their engine writes another one,
// since something that is none has come along with them.
func TestTokensDoNotWaitForTheNext(t *testing.T) {
	for name, behind := range map[string]func(engine scriptedEngine) string{
		"nothing":             func(scriptedEngine) string { return "" },
		"a comment":           func(scriptedEngine) string { return ": still here\n\n" },
		"a part of a comment": func(scriptedEngine) string { return ": still here\n: and" },
		"the same token":      func(engine scriptedEngine) string { return engine.event(0) },
		"another request's":   func(engine scriptedEngine) string { return strings.Replace(engine.event(1), `{"id":"`, `{"id":"x`, 1) },
		"a later token":       func(engine scriptedEngine) string { return engine.event(2) },
		"part of a token":     func(engine scriptedEngine) string { return engine.event(1)[:9] },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, func(options *Options) { options.Limits.StallTimeout = 2 * time.Second })
			hasToken := make(chan struct{})
			var gaveUp atomic.Int32
			h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
				engine := scriptedEngine{writer, request}
				if isCancel(request) {
					return
				}
				if !isResume(request) {
					_, _ = io.WriteString(writer, engine.event(0)+behind(engine))
					writer.(http.Flusher).Flush()
				}
				select {
				case <-hasToken:
				case <-request.Context().Done():
					gaveUp.Add(1)
				}
			}))
			request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, h.server.URL+backend.PathCompletions, strings.NewReader(streamBody))
			answer, err := http.DefaultTransport.RoundTrip(request)
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Body.Close()
			line, err := bufio.NewReader(answer.Body).ReadString('\n')
			if err != nil || !strings.Contains(line, `"text":"0 "`) || gaveUp.Load() > 0 {
				t.Errorf("%q, %v, the node gave up %d times before", line, err, gaveUp.Load())
			}
			close(hasToken)
		})
	}
}

// event is a token as an engine writes it.
func (s scriptedEngine) event(sequence int) string {
	chunk := s.header()
	return fmt.Sprintf(`data: {"id":%q,"attempt":%d,"sequence":%d,"text":"%d "}`+"\n\n", chunk.RequestID, chunk.Attempt, sequence, sequence)
}
