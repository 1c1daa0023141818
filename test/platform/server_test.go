package platform

import (
	"cmp"
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

type loadedModel struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters"`
}

// order is an order as the server received it.
type order struct {
	Operation     string `json:"operation"`
	Model         string `json:"model"`
	Adapter       string `json:"adapter"`
	Holder        string `json:"holder"`
	FencingToken  int64  `json:"fencingToken"`
	ExpectedCount *int64 `json:"expectedCount"`
	at            time.Time
}

// modelServer is a fake of a server that holds models or, when nothing is loaded, of one
// that runs commands.
type modelServer struct {
	id, service, address string
	// zone defaults to z; change it before the entry is registered.
	zone        string
	loadTime    time.Duration
	streamPause time.Duration
	// commandTime is how long a command takes, and slots how many run at a time; 0 means 8.
	commandTime time.Duration
	slots       int
	// version is the version of the server's software, which its events name; empty means v1, and
	// events that name none.
	version string

	mu       sync.Mutex
	models   map[string]map[string]bool
	sequence int64
	busy     bool
	orders   []order
	runs     map[string]int
	// headers holds the header of each request that ran, by request ID.
	headers map[string]http.Header
	// startedAt is when each request last started to run, by request ID.
	startedAt map[string]time.Time
	// lastContactAt is when a request, an order or a report query last arrived.
	lastContactAt time.Time
	// modelMB is the memory that each model takes, and memoryMB that of the server; zero means
	// unlimited.
	modelMB, memoryMB float64
	// loads holds the start time of each model load, and overloads counts the loads that
	// exceeded the server's memory.
	loads     []time.Time
	overloads int
	// loading is the model being loaded.
	loading string
	// resetResponses runs requests and then resets their connections; failRequests answers them
	// with an error.
	resetResponses, failRequests bool
	// unmarkedStatus is the status that every fifth request gets after it ran, without a header that
	// says that it did not run; 0 means none.
	unmarkedStatus int
	// unmarkedRefusals holds the status that each request refused so got.
	unmarkedRefusals map[string]int
	// endless is the answer that each endlessEach-th request gets as it runs, or in place of a run if it is a
	// rejection; nil means none.
	endless     *endlessAnswer
	endlessEach int
	// received counts the requests that were not rejected for want of their model, and endlessCount those of
	// them that got such an answer.
	received, endlessCount int
	// endsWithConnection has answers end with their connections, without a length.
	endsWithConnection bool
	// onPoison handles poison requests; if nil, they run like any other request.
	onPoison func(writer http.ResponseWriter, request *http.Request, body string)
	// coldSince and coldUntil delimit the cold-start phase; zero for servers without one.
	coldSince, coldUntil time.Time
	// proxy is the proxy in front of the server, or nil.
	proxy *proxy
	// isDraining marks every response with the header that says the server is leaving.
	isDraining bool
	// retryAfter is the back-off that the server asks for while it rejects all requests; 0 means
	// it rejects none.
	retryAfter time.Duration
	// rateLimit is the limit that every response announces; empty means none. contacts holds
	// everything that reached the server since it first announced a limit.
	rateLimit string
	contacts  []contact
	// isDown makes the server abort every request.
	isDown bool
	// repeating sends rejections a second time while it is set to.
	repeating *repeatingListener
	// adapterTime is how long an adapter takes to load; until then requests for it are rejected.
	adapterTime time.Duration
	// httpServer is set where the test closes the server's connections.
	httpServer *httptest.Server
	// startID is the start time in Unix milliseconds; 0 means it is not reported.
	startID int64
	// arrivals holds the requests that arrived since the server first announced draining or a
	// back-off.
	arrivals []arrival
	// receipts are the arrivals of all requests.
	receipts []receipt
}

// arrival is a request that reached a server, with what the server's response announced.
type arrival struct {
	id         string
	at         time.Time
	startID    int64
	isDraining bool
	retryAfter time.Duration
}

func newServer(t *testing.T, s *store, id, service string, loadTime time.Duration) *modelServer {
	t.Helper()
	return newServerIn(t, s, "z", id, service, loadTime)
}

// newServerIn starts a server in a zone with the given models loaded.
func newServerIn(t *testing.T, s *store, zone, id, service string, loadTime time.Duration, models ...string) *modelServer {
	t.Helper()
	m := newUnlistedServer(t, zone, id, service, loadTime, models...)
	m.register(s, "ready")
	return m
}

// newUnlistedServer starts a server that has no entry in the store.
func newUnlistedServer(t *testing.T, zone, id, service string, loadTime time.Duration, models ...string) *modelServer {
	t.Helper()
	m := &modelServer{
		id: id, service: service, zone: zone, loadTime: loadTime,
		models: make(map[string]map[string]bool), runs: make(map[string]int), startedAt: make(map[string]time.Time),
	}
	for _, model := range models {
		m.models[model] = make(map[string]bool)
	}
	m.listen(t)
	return m
}

// listen starts to serve at an address of its own.
func (m *modelServer) listen(t *testing.T) {
	server := httptest.NewUnstartedServer(m)
	m.repeating = &repeatingListener{Listener: server.Listener}
	server.Listener = m.repeating
	server.Start()
	t.Cleanup(server.Close)
	m.httpServer = server
	m.address = strings.TrimPrefix(server.URL, "http://")
}

// register writes the server's entry into the store.
func (m *modelServer) register(s *store, state string) {
	m.mu.Lock()
	models, born := m.loadedModels(), m.startID
	m.mu.Unlock()
	entry := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": cmp.Or(m.version, "v1"), "slots": cmp.Or(m.slots, 8), "state": state, "models": models, "sequence": 1,
		"coldLeftMs": max(0, time.Until(m.coldUntil).Milliseconds()),
	}
	if born > 0 {
		entry["born"] = born
	}
	s.put("servers", m.id, entry)
}

// restart restarts the server under the same identity: without models or other state, and
// with its sequence number back at zero.
func (m *modelServer) restart(s *store) {
	m.set(func() {
		m.models = make(map[string]map[string]bool)
		m.sequence, m.busy, m.loading = 0, false, ""
		m.isDraining, m.retryAfter, m.rateLimit = false, 0, ""
		m.startID++
	})
	m.register(s, "ready")
}

func (m *modelServer) loadedModels() []loadedModel {
	held := []loadedModel{}
	for name, adapters := range m.models {
		model := loadedModel{Name: name, Version: 1, Adapters: []string{}}
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
	m.lastContactAt = time.Now()
	if m.isDown {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if m.isDraining {
		writer.Header().Set("Server-Leaving", "1")
	}
	if m.rateLimit != "" || len(m.contacts) > 0 {
		m.contacts = append(m.contacts, contact{
			at: m.lastContactAt, path: request.URL.Path, startID: m.startID, id: request.Header.Get("Request-Id"), limit: m.rateLimit,
		})
	}
	if m.rateLimit != "" {
		writer.Header().Set("Server-Limit", m.rateLimit)
	}
	m.mu.Unlock()
	switch request.URL.Path {
	case "/api/report":
		m.mu.Lock()
		defer m.mu.Unlock()
		report := map[string]any{"models": m.loadedModels(), "busy": m.busy, "sequence": m.sequence}
		if m.startID > 0 {
			report["born"] = m.startID
		}
		_ = json.NewEncoder(writer).Encode(report)
	case "/api/order":
		m.handleOrder(writer, request)
	default:
		m.handleRequest(writer, request)
	}
}

func (m *modelServer) handleOrder(writer http.ResponseWriter, request *http.Request) {
	var received order
	if json.NewDecoder(request.Body).Decode(&received) != nil || received.Holder == "" || received.FencingToken == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	received.at = time.Now()
	m.orders = append(m.orders, received)
	if m.busy || (received.ExpectedCount != nil && *received.ExpectedCount != m.sequence) {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	if received.Operation != "unload" && received.Adapter != "" && m.models[received.Model] == nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	m.sequence++
	switch {
	case received.Operation == "unload":
		delete(m.models, received.Model)
	case received.Adapter != "":
		m.loadAdapter(received.Model, received.Adapter)
	default:
		m.busy = true
		m.recordLoad(received.Model)
		born := m.startID
		time.AfterFunc(m.loadTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.startID != born {
				return
			}
			m.busy = false
			m.loading = ""
			m.models[received.Model] = make(map[string]bool)
		})
	}
	writer.WriteHeader(http.StatusAccepted)
}

// loadAdapter loads an adapter, in adapterTime. m.mu is held.
func (m *modelServer) loadAdapter(model, adapter string) {
	if m.adapterTime == 0 {
		m.models[model][adapter] = true
		return
	}
	time.AfterFunc(m.adapterTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if adapters := m.models[model]; adapters != nil {
			adapters[adapter] = true
		}
	})
}

// recordLoad records the start of a load. m.mu is held.
func (m *modelServer) recordLoad(model string) {
	m.loads = append(m.loads, time.Now())
	m.loading = model
	if m.memoryMB > 0 && float64(len(m.models)+1)*m.modelMB > m.memoryMB {
		m.overloads++
	}
}

func (m *modelServer) handleRequest(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	body, _ := io.ReadAll(request.Body)
	writer.Header().Set("Request-Id", id)
	model, adapter, _ := strings.Cut(request.Header.Get("Model"), "/")
	m.mu.Lock()
	m.receipts = append(m.receipts, receipt{id: id, at: time.Now()})
	if m.isDraining || m.retryAfter > 0 || len(m.arrivals) > 0 {
		m.arrivals = append(m.arrivals, arrival{id: id, at: time.Now(), startID: m.startID, isDraining: m.isDraining, retryAfter: m.retryAfter})
	}
	if m.retryAfter > 0 {
		rest := m.retryAfter
		m.mu.Unlock()
		writer.Header().Set("Not-Executed", "1")
		writer.Header().Set("Retry-After", strconv.FormatFloat(rest.Seconds(), 'f', -1, 64))
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	adapters, ok := m.models[model]
	if model != "" && (!ok || (adapter != "" && !adapters[adapter])) {
		m.mu.Unlock()
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.received++
	if m.endless != nil && m.received%m.endlessEach == 0 {
		answer := *m.endless
		m.endlessCount++
		if answer.name != "rejection" {
			m.runs[id]++
		}
		m.mu.Unlock()
		answer.write(writer, id)
		return
	}
	if culprit := culpritOf(request, string(body)); m.onPoison != nil && culprit != "" {
		m.mu.Unlock()
		m.onPoison(writer, request, culprit)
		return
	}
	m.runs[id]++
	if m.headers == nil {
		m.headers = make(map[string]http.Header)
	}
	m.headers[id] = request.Header.Clone()
	m.startedAt[id] = time.Now()
	loseAnswer, fail, version, unmarked := m.resetResponses, m.failRequests, m.version, m.unmarkedStatus
	if len(m.runs)%5 != 0 {
		unmarked = 0
	}
	if unmarked != 0 {
		m.recordUnmarkedRefusal(id, unmarked)
	}
	m.mu.Unlock()
	writer.Header().Set("Server-Stamp", m.id)
	if m.endsWithConnection {
		writer.Header().Set("Connection", "close")
		writer.Header().Set("Transfer-Encoding", "identity")
	}
	switch {
	case loseAnswer:
		resetConnection(writer)
		return
	case fail:
		writer.WriteHeader(http.StatusInternalServerError)
		return
	case unmarked != 0:
		writer.WriteHeader(unmarked)
		return
	}
	if model == "" {
		time.Sleep(m.commandTime)
		fmt.Fprintf(writer, "done by %s", m.id)
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	lastEvent, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for piece := lastEvent + 1; piece <= 5; piece++ {
		fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", piece, strings.TrimSpace(model+" "+id+" "+version))
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(m.streamPause)
	}
}

// recordUnmarkedRefusal records the status of a request that ran and is refused without a mark.
func (m *modelServer) recordUnmarkedRefusal(id string, status int) {
	if m.unmarkedRefusals == nil {
		m.unmarkedRefusals = make(map[string]int)
	}
	m.unmarkedRefusals[id] = status
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
