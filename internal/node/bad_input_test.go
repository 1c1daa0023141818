package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/backend"
)

const (
	// heapSlack is how much the heap may grow over the test; a single retained endless body
	// is larger.
	heapSlack = 4 << 20
	// badRounds is how often each bad input is sent. If each input of one kind leaks one
	// goroutine, the sum exceeds goroutineSlack.
	badRounds = 16
	// goroutineSlack allows for connections that stay open for reuse: both ends of one hold four
	// goroutines in this process, and their number depends on what ran concurrently.
	goroutineSlack = 12
)

// TestBadInputAtARealNode sends malformed and abandoned requests to a whole node over
// sockets. Each must be refused clearly or end cleanly, and must leak neither goroutines nor
// memory.
func TestBadInputAtARealNode(t *testing.T) {
	running := startRealFleet(t)
	eventually(t, "an answer", func() bool { return running.ask(t, chatBody).status == 200 })
	goroutines, heap := measureResources()

	stalled := running.startStalledRequests(t)
	for round := range badRounds {
		t.Run("refusals", func(t *testing.T) { checkRefusals(t, running) })
		t.Run("endless body", func(t *testing.T) { checkEndlessBody(t, running) })
		t.Run("caller disconnects mid-stream", func(t *testing.T) { checkDisconnectedCaller(t, running, round+1) })
	}
	for _, request := range stalled {
		t.Run(request.what, request.ended)
	}
	if got := running.ask(t, chatBody); got.status != http.StatusOK {
		t.Errorf("valid request after the bad ones: %d %s", got.status, got.text)
	}
	eventually(t, "goroutines and heap as before", func() bool {
		nowGoroutines, nowHeap := measureResources()
		return nowGoroutines <= goroutines+goroutineSlack && nowHeap <= heap+heapSlack
	})
}

// measureResources returns the number of goroutines and the heap size after closing idle
// connections and collecting garbage.
func measureResources() (goroutines int, heap uint64) {
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return runtime.NumGoroutine(), memory.HeapAlloc
}

func checkRefusals(t *testing.T, running *realFleet) {
	const labels = "X-Spanlanding-Labels"
	tests := map[string]struct {
		body    string
		headers []string
		status  int
		code    string
	}{
		"no JSON":              {body: `{"model":`, status: 400, code: "malformed-request"},
		"null":                 {body: `null`, status: 400, code: "malformed-request"},
		"wrong type":           {body: `{"model":7}`, status: 400, code: "malformed-request"},
		"unknown model":        {body: `{"model":"nobody"}`, status: 404, code: "unknown-model"},
		"labels without route": {body: `{}`, headers: []string{labels, "job=none"}, status: 404, code: "no-route"},
		"labels without value": {body: `{"model":"notes"}`, headers: []string{labels, "job"}, status: 400, code: "malformed-request"},
		"long labels":          {body: chatBody, headers: []string{labels, "job=" + strings.Repeat("x", 8<<10)}, status: 431, code: "malformed-request"},
		"long header":          {body: chatBody, headers: []string{"X-Other", strings.Repeat("x", 64<<10)}, status: 431},
		"long prompt":          {body: `{"model":"notes","prompt":"` + strings.Repeat("x", 4096) + `"}`, headers: []string{labels, "job=notes"}, status: 400, code: "prompt-too-long"},
		"long answer":          {body: `{"model":"notes","prompt":"x","max_tokens":9223372036854775807}`, headers: []string{labels, "job=notes"}, status: 400, code: "prompt-too-long"},
		"deadline NaN":         {body: chatBody, headers: []string{labels, "job=notes", "X-Spanlanding-Deadline", "NaN"}, status: 400, code: "malformed-request"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := running.send(t, test.body, test.headers...)
			if got.status != test.status || got.problem.Code != test.code {
				t.Errorf("%d %q", got.status, got.text)
			}
			if test.code != "" && (got.problem.Outcome != "not-run" || got.problem.RequestID == "") {
				t.Errorf("%+v", got.problem)
			}
		})
	}
}

// endlessBody is a body that never ends.
type endlessBody struct{}

func (endlessBody) Read(into []byte) (int, error) {
	for index := range into {
		into[index] = ' '
	}
	return len(into), nil
}

func checkEndlessBody(t *testing.T, running *realFleet) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, running.url(backend.PathChat), endlessBody{})
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// The node may close the connection before the whole answer is read.
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", response.StatusCode)
	}
}

// checkDisconnectedCaller disconnects after the first line of a long answer, and checks in the
// engine's log that this request and all earlier ones were cancelled.
func checkDisconnectedCaller(t *testing.T, running *realFleet, wantCancelled int) {
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	body := strings.Replace(chatBody, `"max_tokens":4`, `"max_tokens":400`, 1)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, running.url(backend.PathChat), strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Spanlanding-Labels", "job=notes")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	leave()
	_ = response.Body.Close()
	eventually(t, "the engine stops the request", func() bool {
		cancelled := 0
		for _, execution := range running.engine.Book().Executions {
			if execution.Cancelled && !execution.Ended.IsZero() && execution.Tokens < 400 {
				cancelled++
			}
		}
		return cancelled == wantCancelled
	})
}

// stalledRequest is a request whose sender has stopped sending, and the check of how it
// ends.
type stalledRequest struct {
	what  string
	ended func(*testing.T)
}

// startStalledRequests starts requests that stop midway; the node's own timeouts end them.
func (r *realFleet) startStalledRequests(t *testing.T) []stalledRequest {
	t.Helper()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: node\r\n", backend.PathChat)
	var requests []stalledRequest
	for range badRounds {
		requests = append(requests,
			stalledRequest{"stalled body", r.startStalledRequest(t, head+"Content-Length: 100\r\n\r\n{", "body-timeout")},
			stalledRequest{"stalled header", r.startStalledRequest(t, head+"X-Other: ", "")},
		)
	}
	return requests
}

// startStalledRequest sends the text and nothing more. The returned check requires that the
// answer contains want.
func (r *realFleet) startStalledRequest(t *testing.T, text, want string) func(*testing.T) {
	t.Helper()
	connection, err := net.Dial("tcp", r.settings.Listen.Caller)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	if _, err := io.WriteString(connection, text); err != nil {
		t.Fatal(err)
	}
	return func(t *testing.T) {
		answer, err := io.ReadAll(connection)
		_ = connection.Close()
		if err != nil || !strings.Contains(string(answer), want) {
			t.Errorf("%q, %v", answer, err)
		}
	}
}
