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
	// heapSlack is what a node may hold more after the tests than before them;
	// each of the bodies that never end alone is larger.
	heapSlack = 4 << 20
	// badRounds is how often each bad input is sent, so that one goroutine
	// left behind by each of one kind is more than goroutineSlack.
	badRounds = 16
	// goroutineSlack is for connections that stay open for reuse: both ends of
	// one hold four goroutines in this process, and how many there are depends
	// on what happened to run side by side.
	goroutineSlack = 12
)

// TestBadInputAtARealNode sends what callers must not send to a whole node over
// sockets. Each gets a clear refusal or a clean end, and nothing of it stays.
func TestBadInputAtARealNode(t *testing.T) {
	running := startRealFleet(t)
	eventually(t, "an answer", func() bool { return running.ask(t, chatBody).status == 200 })
	goroutines, heap := settled()

	standing := running.beginNeverEnding(t)
	for round := range badRounds {
		t.Run("refusals", func(t *testing.T) { checkRefusals(t, running) })
		t.Run("body without end", func(t *testing.T) { checkEndlessBody(t, running) })
		t.Run("caller gone mid-stream", func(t *testing.T) { checkGoneCaller(t, running, round+1) })
	}
	for _, begun := range standing {
		t.Run(begun.what, begun.ended)
	}
	if got := running.ask(t, chatBody); got.status != http.StatusOK {
		t.Errorf("good input afterwards: %d %s", got.status, got.text)
	}
	eventually(t, "goroutines and heap as before", func() bool {
		nowGoroutines, nowHeap := settled()
		return nowGoroutines <= goroutines+goroutineSlack && nowHeap <= heap+heapSlack
	})
}

// settled returns goroutines and heap once what is unused has been given back.
func settled() (goroutines int, heap uint64) {
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
		"labels nobody takes":  {body: `{}`, headers: []string{labels, "job=none"}, status: 404, code: "no-route"},
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

// endless is a body that goes on until the reader stops.
type endless struct{}

func (endless) Read(into []byte) (int, error) {
	for index := range into {
		into[index] = ' '
	}
	return len(into), nil
}

func checkEndlessBody(t *testing.T, running *realFleet) {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, running.url(backend.PathChat), endless{})
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		// The node may close the connection before all of the answer is read.
		return
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d", response.StatusCode)
	}
}

// checkGoneCaller leaves after the first piece of a long answer, and looks into
// the engine's own book for the end of this and all earlier ones.
func checkGoneCaller(t *testing.T, running *realFleet, gone int) {
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
		return cancelled == gone
	})
}

// neverEnding is a request that stands still, and the check of its end.
type neverEnding struct {
	what  string
	ended func(*testing.T)
}

// beginNeverEnding begins requests that stand still; the node's own bounds of
// time end them.
func (r *realFleet) beginNeverEnding(t *testing.T) []neverEnding {
	t.Helper()
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: node\r\n", backend.PathChat)
	var begun []neverEnding
	for range badRounds {
		begun = append(begun,
			neverEnding{"body that stands still", r.beginStill(t, head+"Content-Length: 100\r\n\r\n{", "body-timeout")},
			neverEnding{"header that stands still", r.beginStill(t, head+"X-Other: ", "")},
		)
	}
	return begun
}

// beginStill sends the text and nothing more; want is what the answer holds.
func (r *realFleet) beginStill(t *testing.T, text, want string) func(*testing.T) {
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
