package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

type heldModel struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// order is one order as it came.
type order struct {
	Operation     string `json:"operation"`
	Model         string `json:"model"`
	Adapter       string `json:"adapter"`
	Holder        string `json:"holder"`
	FencingToken  int64  `json:"fencingToken"`
	ExpectedCount *int64 `json:"expectedCount"`
	at            time.Time
}

// modelServer is a stand-in of a server that holds models, or, without loads,
// of one that takes commands.
type modelServer struct {
	id, service, address string
	// zone is z unless it is set before the entry is written.
	zone        string
	loadTime    time.Duration
	streamPause time.Duration

	mu       sync.Mutex
	models   map[string]map[string]bool
	sequence int64
	busy     bool
	orders   []order
	runs     map[string]int
	// headOf is the head of each request that ran.
	headOf map[string]http.Header
	// ranAt is when each request began to run last.
	ranAt map[string]time.Time
	// reachedAt is when a request, an order or the question for a report came last.
	reachedAt time.Time
	// weightMB is the memory of a model and memoryMB that of the server; without
	// them loads are not bounded.
	weightMB, memoryMB float64
	// loads are the times at which models began to load, and overloads the loads
	// that did not fit.
	loads     []time.Time
	overloads int
	// loading is the model under way.
	loading string
	// loseAnswers runs requests and resets their connections; fail answers them
	// with an error.
	loseAnswers, fail bool
	// onPoison takes poison requests; nil runs them as any other.
	onPoison func(writer http.ResponseWriter, request *http.Request, body string)
	// cameAt and coldUntil are when a server came that is cold at first, and until when
	// it is; zero for others.
	cameAt, coldUntil time.Time
	// way is the relay in front of the server; nil without one.
	way *way
	// isLeaving lets all answers say that the server goes away.
	isLeaving bool
	// restFor is the rest that it asks for as it turns all requests away; 0 is none.
	restFor time.Duration
	// limit is the rate limit that all answers name; empty is none. reached is all that reached the
	// server since it first named one.
	limit   string
	reached []reach
	// isDown lets it answer nobody.
	isDown bool
	// server is what serves it; nil where nobody ends its connections.
	server *httptest.Server
	// born is when it started, in Unix milliseconds; 0 is not told.
	born int64
	// arrivals are the requests that reached it since it first left or wanted rest.
	arrivals []arrival
}

// arrival is a request that reached a server, and what the server answered of itself.
type arrival struct {
	id        string
	at        time.Time
	born      int64
	isLeaving bool
	rest      time.Duration
}

func newServer(t *testing.T, s *store, id, service string, loadTime time.Duration) *modelServer {
	t.Helper()
	return newServerIn(t, s, "z", id, service, loadTime)
}

// newServerIn is a server of a zone, which holds the models.
func newServerIn(t *testing.T, s *store, zone, id, service string, loadTime time.Duration, models ...string) *modelServer {
	t.Helper()
	m := &modelServer{
		id: id, service: service, zone: zone, loadTime: loadTime,
		models: make(map[string]map[string]bool), runs: make(map[string]int), ranAt: make(map[string]time.Time),
	}
	for _, model := range models {
		m.models[model] = make(map[string]bool)
	}
	server := httptest.NewServer(m)
	t.Cleanup(server.Close)
	m.address = strings.TrimPrefix(server.URL, "http://")
	m.enter(s, "ready")
	return m
}

// enter writes the server's entry.
func (m *modelServer) enter(s *store, state string) {
	m.mu.Lock()
	models, born := m.held(), m.born
	m.mu.Unlock()
	entry := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "models": models, "sequence": 1,
		"coldLeftMs": max(0, time.Until(m.coldUntil).Milliseconds()),
	}
	if born > 0 {
		entry["born"] = born
	}
	s.put("servers", m.id, entry)
}

// startAgain ends the server, and starts it under the identity that it had: it holds and knows
// nothing of before, and its counts start anew.
func (m *modelServer) startAgain(s *store) {
	m.set(func() {
		m.models = make(map[string]map[string]bool)
		m.sequence, m.busy, m.loading = 0, false, ""
		m.isLeaving, m.restFor, m.limit = false, 0, ""
		m.born++
	})
	m.enter(s, "ready")
}

func (m *modelServer) held() []heldModel {
	held := []heldModel{}
	for name, adapters := range m.models {
		model := heldModel{Name: name, Version: 1, Adapters: []string{}}
		for adapter := range adapters {
			model.Adapters = append(model.Adapters, adapter)
		}
		held = append(held, model)
	}
	return held
}

// ServeHTTP implements http.Handler.
func (m *modelServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != m.id {
		writer.Header().Set("Instance-Id", m.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	m.reachedAt = time.Now()
	if m.isDown {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if m.isLeaving {
		writer.Header().Set("Server-Leaving", "1")
	}
	if m.limit != "" || len(m.reached) > 0 {
		m.reached = append(m.reached, reach{
			at: m.reachedAt, path: request.URL.Path, born: m.born, id: request.Header.Get("Request-Id"), limit: m.limit,
		})
	}
	if m.limit != "" {
		writer.Header().Set("Server-Limit", m.limit)
	}
	m.mu.Unlock()
	switch request.URL.Path {
	case "/api/report":
		m.mu.Lock()
		defer m.mu.Unlock()
		report := map[string]any{"models": m.held(), "busy": m.busy, "sequence": m.sequence}
		if m.born > 0 {
			report["born"] = m.born
		}
		_ = json.NewEncoder(writer).Encode(report)
	case "/api/order":
		m.order(writer, request)
	default:
		m.request(writer, request)
	}
}

func (m *modelServer) order(writer http.ResponseWriter, request *http.Request) {
	var wanted order
	if json.NewDecoder(request.Body).Decode(&wanted) != nil || wanted.Holder == "" || wanted.FencingToken == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted.at = time.Now()
	m.orders = append(m.orders, wanted)
	if m.busy || (wanted.ExpectedCount != nil && *wanted.ExpectedCount != m.sequence) {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	if wanted.Operation != "unload" && wanted.Adapter != "" && m.models[wanted.Model] == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	m.sequence++
	switch {
	case wanted.Operation == "unload":
		delete(m.models, wanted.Model)
	case wanted.Adapter != "":
		m.models[wanted.Model][wanted.Adapter] = true
	default:
		m.busy = true
		m.beginLoad(wanted.Model)
		born := m.born
		time.AfterFunc(m.loadTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.born != born {
				return
			}
			m.busy = false
			m.loading = ""
			m.models[wanted.Model] = make(map[string]bool)
		})
	}
	writer.WriteHeader(http.StatusAccepted)
}

// beginLoad books a load. The lock is held.
func (m *modelServer) beginLoad(model string) {
	m.loads = append(m.loads, time.Now())
	m.loading = model
	if m.memoryMB > 0 && float64(len(m.models)+1)*m.weightMB > m.memoryMB {
		m.overloads++
	}
}

func (m *modelServer) request(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	body, _ := io.ReadAll(request.Body)
	writer.Header().Set("Request-Id", id)
	model, adapter, _ := strings.Cut(request.Header.Get("Model"), "/")
	m.mu.Lock()
	if m.isLeaving || m.restFor > 0 || len(m.arrivals) > 0 {
		m.arrivals = append(m.arrivals, arrival{id: id, at: time.Now(), born: m.born, isLeaving: m.isLeaving, rest: m.restFor})
	}
	if m.restFor > 0 {
		rest := m.restFor
		m.mu.Unlock()
		writer.Header().Set("Not-Executed", "1")
		writer.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	adapters, ok := m.models[model]
	if model != "" && (!ok || (adapter != "" && !adapters[adapter])) {
		m.mu.Unlock()
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if m.onPoison != nil && strings.HasPrefix(string(body), poisonBody) {
		m.mu.Unlock()
		m.onPoison(writer, request, string(body))
		return
	}
	m.runs[id]++
	if m.headOf == nil {
		m.headOf = make(map[string]http.Header)
	}
	m.headOf[id] = request.Header.Clone()
	m.ranAt[id] = time.Now()
	loseAnswer, fail := m.loseAnswers, m.fail
	m.mu.Unlock()
	writer.Header().Set("Server-Stamp", m.id)
	switch {
	case loseAnswer:
		reset(writer)
		return
	case fail:
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if model == "" {
		fmt.Fprintf(writer, "done by %s", m.id)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	for piece := 1; piece <= 5; piece++ {
		fmt.Fprintf(writer, "id: %d\ndata: %s %s\n\n", piece, model, id)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(m.streamPause)
	}
}

func (m *modelServer) ordersTaken() []order {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]order(nil), m.orders...)
}

func (m *modelServer) runCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, count := range m.runs {
		total += count
	}
	return total
}
