package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/spec"
)

func TestBadRequestsAreRefusedClearly(t *testing.T) {
	h := newHarness(t, func(options *Options) { options.Limits.MaxBodyBytes = 4096 })
	h.catalog.model.ContextTokens = 50
	tests := map[string]struct {
		method, path, body string
		header             []string
		status             int
		code               string
	}{
		"not JSON":        {"POST", backend.PathChat, "{", nil, 400, codeMalformed},
		"no object":       {"POST", backend.PathChat, "[]", nil, 400, codeMalformed},
		"no model":        {"POST", backend.PathChat, "{}", nil, 404, codeNoRoute},
		"unknown model":   {"POST", backend.PathChat, `{"model":"nope"}`, nil, 404, codeUnknownModel},
		"no selector":     {"POST", backend.PathChat, `{"model":"notes"}`, []string{headerLabels, "site=nowhere"}, 404, codeNoRoute},
		"bad labels":      {"POST", backend.PathChat, `{"model":"notes"}`, []string{headerLabels, "site"}, 400, codeMalformed},
		"long labels":     {"POST", backend.PathChat, `{"model":"notes"}`, []string{headerLabels, "k=" + strings.Repeat("v", 5000)}, 431, codeMalformed},
		"bad deadline":    {"POST", backend.PathChat, `{"model":"notes"}`, []string{headerDeadline, "soon"}, 400, codeMalformed},
		"past deadline":   {"POST", backend.PathChat, `{"model":"notes"}`, []string{headerDeadline, "-1s"}, 400, codeMalformed},
		"body too large":  {"POST", backend.PathChat, `{"model":"` + strings.Repeat("x", 5000) + `"}`, nil, 413, codeBodyTooLarge},
		"prompt too long": {"POST", backend.PathChat, `{"model":"notes","prompt":"` + strings.Repeat("x", 1000) + `"}`, nil, 400, codeTooLong},
		"wrong method":    {"GET", backend.PathChat, "", nil, 405, codeMethod},
		"no such path":    {"POST", "/nothing", "", nil, 404, codeNoRoute},
		"long key":        {"POST", "/turbines/1/stop", "", []string{backend.HeaderIdempotencyKey, strings.Repeat("k", 300)}, 400, codeMalformed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := h.do(test.method, test.path, test.body, test.header...)
			if got.status != test.status || got.problem.Code != test.code || got.problem.Outcome != attempt.OutcomeNotRun ||
				got.problem.RequestID != got.header.Get(backend.HeaderRequestID) {
				t.Errorf("%d %+v", got.status, got.problem)
			}
		})
	}
}

func TestBodyThatNeverEndsIsRefused(t *testing.T) {
	h := newHarness(t, func(options *Options) { options.Limits.BodyTimeout = 50 * time.Millisecond })
	connection, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{", backend.PathChat)
	answer, err := io.ReadAll(connection)
	if err != nil || !strings.Contains(string(answer), "408") || !strings.Contains(string(answer), codeBodyTimeout) {
		t.Fatalf("%q, %v", answer, err)
	}
}

func TestDeadlineIsTightenedButNeverWidened(t *testing.T) {
	h := newHarness(t, nil)
	h.catalog.model.Deadline = 80 * time.Millisecond
	for _, header := range []string{"20ms", "1h", "3600"} {
		got := h.do(http.MethodPost, backend.PathCompletions, streamBody, headerDeadline, header)
		if got.status != http.StatusGatewayTimeout || got.problem.Outcome != attempt.OutcomeNotRun || got.header.Get("Retry-After") == "" {
			t.Errorf("%s: %d %+v", header, got.status, got.problem)
		}
	}
}

func TestModelThatCannotBeLoadedIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, nil)
	done := make(chan response, 1)
	go func() { done <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	<-h.demand.first
	h.demand.refuse([]fleet.LoadRefusal{{Model: testModel, Reason: "no allotment", RetryAfter: 7 * time.Second}})
	got := <-done
	if got.problem.Code != string(queue.ReasonCannotLoad) || got.header.Get("Retry-After") != "7" ||
		got.problem.Outcome != attempt.OutcomeNotRun || got.problem.Detail != "no allotment" {
		t.Errorf("%d %v %+v", got.status, got.header, got.problem)
	}
}

func TestRefusalOfTheEngineIsPassedOn(t *testing.T) {
	h := newHarness(t, nil)
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(backend.HeaderNotRun, "true")
		http.Error(writer, "temperature is out of range", http.StatusUnprocessableEntity)
	}))
	got := h.do(http.MethodPost, backend.PathCompletions, streamBody)
	if got.status != http.StatusUnprocessableEntity || got.problem.Outcome != attempt.OutcomeNotRun ||
		!strings.Contains(got.problem.Detail, "temperature") || got.header.Get(headerAttempts) != "1" {
		t.Errorf("%d %+v", got.status, got.problem)
	}
}

func TestLimitsAreSharedByTheUsableNodes(t *testing.T) {
	h := newHarness(t, nil)
	h.catalog.model.Limits = spec.Limits{RequestsPerSecond: 0.02}
	h.addEngine("e1", h.backend(completeEngine))
	h.views.Machines.Set(objectstore.MachineList{Machines: []objectstore.Machine{
		{Role: roleNode, Name: "n1", State: objectstore.MachineLive}, {Role: roleNode, Name: "n2", State: objectstore.MachineLive},
		{Role: roleNode, Name: "n3", State: objectstore.MachineGone},
	}})
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	got := h.do(http.MethodPost, backend.PathCompletions, streamBody)
	if got.status != http.StatusTooManyRequests || got.problem.Code != codeRateLimited || got.header.Get("Retry-After") != "100" {
		t.Errorf("%d %v %+v", got.status, got.header, got.problem)
	}
}

func TestLeavingMachineGetsNothingNew(t *testing.T) {
	h := newHarness(t, nil)
	h.catalog.model.Deadline = 50 * time.Millisecond
	h.addEngine("e1", h.backend(completeEngine))
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	h.views.Machines.Set(objectstore.MachineList{Machines: []objectstore.Machine{{Role: "engine", Name: "e1", State: objectstore.MachineLeaving}}})
	if got := h.do(http.MethodPost, backend.PathCompletions, streamBody); got.status != http.StatusGatewayTimeout {
		t.Errorf("%d %s", got.status, got.body)
	}
}

func TestModelList(t *testing.T) {
	h := newHarness(t, nil)
	if got := h.do(http.MethodGet, pathModels, ""); got.status != http.StatusOK || !strings.Contains(got.body, `"id":"notes"`) {
		t.Errorf("%d %s", got.status, got.body)
	}
	if got := h.do(http.MethodGet, pathModels+"/nope", ""); got.status != http.StatusNotFound {
		t.Errorf("%d %s", got.status, got.body)
	}
}

func TestDeadlinesLeaveTimeForTheAnswer(t *testing.T) {
	for deadline, want := range map[time.Duration]time.Duration{
		30 * time.Second:       30*time.Second - responseMargin,
		100 * time.Millisecond: 90 * time.Millisecond,
	} {
		if got := withResponseMargin(deadline); got != want {
			t.Errorf("%v: %v, want %v", deadline, got, want)
		}
	}
}

// TestRequestsBeyondTheBoundAreRefusedAndCommandsAreNot checks that the limit for model
// requests does not apply to service calls.
func TestRequestsBeyondTheBoundAreRefusedAndCommandsAreNot(t *testing.T) {
	h := newHarness(t, func(options *Options) { options.Limits.MaxRequests = 1 })
	h.addService("s1", h.backend(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }))
	first := make(chan response, 1)
	go func() { first <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	<-h.demand.first
	if got := h.do(http.MethodPost, backend.PathCompletions, streamBody); got.problem.Code != codeOverloaded {
		t.Errorf("%d %s", got.status, got.body)
	}
	if got := h.do(http.MethodPost, "/turbines/7/stop", ""); got.status != http.StatusNoContent {
		t.Errorf("%d %s", got.status, got.body)
	}
	h.addEngine("e1", h.backend(completeEngine))
	h.wantComplete(<-first)
}

// TestEngineThatHasUnloadedTheModel has a stale route table: the engine refuses, and
// the requests wait for the next replica instead of failing.
func TestEngineThatHasUnloadedTheModel(t *testing.T) {
	const requests = 30
	h := newHarness(t, func(options *Options) { options.Limits.RetryBurst = 1 })
	declined := make(chan struct{}, 1000)
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, _ *http.Request) {
		declined <- struct{}{}
		writer.Header().Set(backend.HeaderNotRun, "true")
		writer.WriteHeader(http.StatusConflict)
	}))
	answers := make(chan response, requests)
	for range requests {
		go func() { answers <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	}
	<-declined
	h.table.Engines = nil
	h.addEngine("e2", h.backend(completeEngine))
	for range requests {
		h.wantComplete(<-answers)
	}
}

func TestAnswerTooLargeToHoldIsNoEmptyAnswer(t *testing.T) {
	h := newHarness(t, func(options *Options) { options.Limits.MaxAnswerBytes = 5 })
	h.addEngine("e1", h.backend(completeEngine))
	got := h.do(http.MethodPost, backend.PathCompletions, `{"model":"notes","prompt":"x"}`)
	if got.status != http.StatusBadGateway || got.problem.Code != codeAnswerLarge || got.problem.Outcome != attempt.OutcomeFailed {
		t.Errorf("%d %+v", got.status, got.problem)
	}
}

func TestQueuesTellWhatWaits(t *testing.T) {
	h := newHarness(t, nil)
	if queues := h.gateway.Queues(t.Context()); len(queues) != 0 {
		t.Errorf("queues before any request: %+v", queues)
	}
	done := make(chan response, 1)
	go func() { done <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	<-h.demand.first
	queues := h.gateway.Queues(t.Context())
	if len(queues) != 1 || queues[0].Model != testModel || queues[0].Waiting != 1 || queues[0].Oldest <= 0 {
		t.Errorf("queues with one waiting request: %+v", queues)
	}
	h.addEngine("e1", h.backend(completeEngine))
	h.wantComplete(<-done)
	if queues := h.gateway.Queues(t.Context()); len(queues) != 0 {
		t.Errorf("queues after the request: %+v", queues)
	}
}

func TestFinishedRequestsAreLoggedByName(t *testing.T) {
	var lines bytes.Buffer
	h := newHarness(t, func(options *Options) {
		options.Logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}
	})
	h.do(http.MethodGet, "/v1/models", "")
	// The line is logged after the response; closing the server waits for handlers.
	h.server.Close()
	if !strings.Contains(lines.String(), `"message":"request_finished"`) || strings.Contains(lines.String(), `"event"`) {
		t.Errorf("logged %s", lines.String())
	}
}

// Guards against bodies that are all read before the bound on their sum is asked for: a request that announces
// more than there is room for is refused before any of its body has come.
func TestBodiesBeyondTheBoundAreNotRead(t *testing.T) {
	const room = 1000
	h := newHarness(t, func(options *Options) { options.Limits.MaxBodyBytesTotal = room })
	h.addService("s1", h.backend(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }))
	if got := h.do(http.MethodPost, "/turbines/7/stop", strings.Repeat("b", room)); got.status != http.StatusNoContent {
		t.Errorf("%d %s, want a body that there is room for accepted", got.status, got.body)
	}
	conn, err := net.Dial("tcp", h.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(conn, "POST /turbines/7/stop HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 1<<20)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response before the body has come: %v", err)
	}
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" {
		t.Errorf("status %d, %v, want 503 with Retry-After", response.StatusCode, response.Header)
	}
}
