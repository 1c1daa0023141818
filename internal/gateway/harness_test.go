package gateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/callerconn"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/memnet"
	"github.com/spanlanding/spanlanding/internal/views"
)

var testModel = fleet.ModelVersion{Model: "notes", Version: "v1"}

// fakeCatalog has one model and one service, whose GET calls are repeatable.
type fakeCatalog struct {
	model   catalog.ModelRoute
	service catalog.ServiceRoute
}

func (f *fakeCatalog) ModelRoute(labels map[string]string) (catalog.ModelRoute, bool) {
	named, isNamed := labels["model"]
	chosen := named == testModel.Model || !isNamed && labels["site"] == "chosen-by-label"
	return f.model, chosen && labels["site"] != "nowhere"
}

func (f *fakeCatalog) ServiceRoute(method, path string) (catalog.ServiceRoute, bool) {
	route := f.service
	route.Repeatable = method == http.MethodGet
	return route, strings.HasPrefix(path, route.PathPrefix)
}

func (f *fakeCatalog) ModelNames() []string { return []string{testModel.Model} }

// fakeDemand records wants and can report load refusals.
type fakeDemand struct {
	mutex  sync.Mutex
	wants  []fleet.Want
	refuse func([]fleet.LoadRefusal)
	// first is closed at the first report.
	first chan struct{}
}

func newFakeDemand() *fakeDemand { return &fakeDemand{first: make(chan struct{})} }

func (f *fakeDemand) Report(wants []fleet.Want) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if len(f.wants) == 0 {
		close(f.first)
	}
	f.wants = append(f.wants, wants...)
}

func (f *fakeDemand) OnRefusal(listener func([]fleet.LoadRefusal)) { f.refuse = listener }

func (f *fakeDemand) reported() []fleet.Want {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return append([]fleet.Want(nil), f.wants...)
}

// harness is a gateway whose back ends are HTTP handlers, all over real sockets or, if network is set, within
// the process.
type harness struct {
	t       testing.TB
	network *memnet.Network
	client  *http.Client
	views   *views.Views
	catalog *fakeCatalog
	demand  *fakeDemand
	gateway *Gateway
	server  *httptest.Server
	table   fleet.RouteTable
}

func newHarness(t testing.TB, change func(*Options)) *harness {
	t.Helper()
	return newHarnessOn(t, nil, change)
}

// newVirtualHarness returns a harness for a synctest bubble.
func newVirtualHarness(t testing.TB) *harness {
	t.Helper()
	network := new(memnet.Network)
	return newHarnessOn(t, network, func(options *Options) { options.DialEngine = network.DialContext })
}

func newHarnessOn(t testing.TB, network *memnet.Network, change func(*Options)) *harness {
	t.Helper()
	h := &harness{
		t:       t,
		network: network,
		views:   new(views.Views),
		demand:  newFakeDemand(),
		catalog: &fakeCatalog{
			model: catalog.ModelRoute{Selector: "all", Deadline: 10 * time.Second,
				Versions: []catalog.WeightedModel{{Model: testModel, Weight: 1}}},
			service: catalog.ServiceRoute{Service: "turbines", PathPrefix: "/turbines/", Deadline: 5 * time.Second, KeyWindow: time.Minute},
		},
		table: fleet.RouteTable{Zone: "a", Fence: 1},
	}
	options := Options{
		Views:   h.views,
		Catalog: func() (Catalog, bool) { return h.catalog, true },
		Demand:  h.demand,
		Self:    fleet.Member{Name: "n1", Zone: "a"},
		Seed:    1,
	}
	if change != nil {
		change(&options)
	}
	h.gateway = New(options)
	h.earnRetries(h.gateway.models)
	h.earnRetries(h.gateway.services)
	h.server = h.listen(h.gateway)
	h.client = h.server.Client()
	if network != nil {
		h.client = &http.Client{Transport: &http.Transport{DialContext: network.DialContext, DisableKeepAlives: true}}
	}
	t.Cleanup(func() {
		h.server.Close()
		h.gateway.Close()
	})
	return h
}

// earnedRequests is the number of requests that a gateway has served before a test, for which it may retry
// others.
const earnedRequests = 1000

// earnRetries has a dispatcher count requests for a service that does not exist.
func (h *harness) earnRetries(dispatcher *dispatcher) {
	for index := range earnedRequests {
		reply := make(chan dispatchReply, 1)
		dispatcher.send(submitCall{ticket: math.MaxUint64 - uint64(index), route: catalog.ServiceRoute{Service: "none"}, reply: reply})
		<-reply
	}
}

// listen starts a server on the harness's network.
func (h *harness) listen(handler http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	if h.network != nil {
		_ = server.Listener.Close()
		server.Listener = h.network.Listen()
	}
	server.Config.ConnContext = callerconn.WithConn
	server.Start()
	return server
}

// backend starts a back end, whose responses name their attempts, and returns its address.
func (h *harness) backend(handler http.HandlerFunc) string {
	server := h.listen(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		for _, name := range []string{backend.HeaderRequestID, backend.HeaderAttempt} {
			writer.Header().Set(name, request.Header.Get(name))
		}
		handler(writer, request)
	}))
	h.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func (h *harness) addEngine(name fleet.BackendName, address string) {
	h.table.Engines = append(h.table.Engines, fleet.EngineState{
		Backend:     fleet.Backend{Name: name, Kind: fleet.KindEngine, Zone: "a", Address: address},
		Incarnation: 1,
		Models:      []fleet.LoadedModel{{Model: testModel, State: fleet.LoadReady}},
	})
	h.publish()
}

func (h *harness) addService(name fleet.BackendName, address string) {
	h.table.Services = append(h.table.Services, fleet.Backend{Name: name, Kind: fleet.KindService, Zone: "a",
		Address: address, Service: "turbines"})
	h.publish()
}

func (h *harness) publish() {
	h.table.Sequence++
	copied := h.table
	copied.Engines = append([]fleet.EngineState(nil), h.table.Engines...)
	copied.Services = append([]fleet.Backend(nil), h.table.Services...)
	h.views.RouteTables.Set(views.RouteTables{"a": copied})
}

type response struct {
	status  int
	header  http.Header
	body    string
	problem Problem
}

func (h *harness) do(method, path, body string, header ...string) response {
	h.t.Helper()
	request, err := http.NewRequest(method, h.server.URL+path, strings.NewReader(body))
	if err != nil {
		h.t.Fatal(err)
	}
	for index := 0; index < len(header); index += 2 {
		request.Header.Set(header[index], header[index+1])
	}
	answer, err := h.client.Do(request)
	if err != nil {
		h.t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	result := response{status: answer.StatusCode, header: answer.Header, body: string(text)}
	if answer.Header.Get("Content-Type") == contentTypeProblem {
		if err := json.Unmarshal(text, &result.problem); err != nil {
			h.t.Fatalf("problem %q: %v", text, err)
		}
	}
	return result
}

// streamText joins the tokens of a streamed text completion; whole reports whether
// the terminator arrived.
func streamText(stream string) (text string, whole bool) {
	for line := range strings.Lines(stream) {
		data, found := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text, true
		}
		var event struct{ Choices []struct{ Text string } }
		if json.Unmarshal([]byte(data), &event) == nil && len(event.Choices) > 0 {
			text += event.Choices[0].Text
		}
	}
	return text, false
}

// scriptedEngine responds like an engine, token by token.
type scriptedEngine struct {
	writer  http.ResponseWriter
	request *http.Request
}

func (s scriptedEngine) header() backend.Chunk {
	chunk := backend.Chunk{RequestID: fleet.RequestID(s.request.Header.Get(backend.HeaderRequestID))}
	_, _ = fmt.Sscan(s.request.Header.Get(backend.HeaderAttempt), &chunk.Attempt)
	return chunk
}

func (s scriptedEngine) send(chunk backend.Chunk) {
	body, _ := json.Marshal(chunk)
	_, _ = fmt.Fprintf(s.writer, "data: %s\n\n", body)
	s.writer.(http.Flusher).Flush()
}

// tokens sends the tokens from..to-1 as "<n> ".
func (s scriptedEngine) tokens(from, to int) {
	for sequence := from; sequence < to; sequence++ {
		chunk := s.header()
		chunk.Sequence, chunk.Text = sequence, fmt.Sprintf("%d ", sequence)
		s.send(chunk)
	}
}

func (s scriptedEngine) end(sequence int) {
	chunk := s.header()
	chunk.Sequence, chunk.Finish = sequence, "stop"
	s.send(chunk)
	_, _ = io.WriteString(s.writer, "data: [DONE]\n\n")
}

func (s scriptedEngine) body() backend.CompletionRequest {
	var request backend.CompletionRequest
	text, _ := io.ReadAll(s.request.Body)
	_ = json.NewDecoder(bytes.NewReader(text)).Decode(&request)
	return request
}

const completeText = "0 1 2 3 4 5 "

const streamBody = `{"model":"notes","stream":true,"prompt":"x"}`

func completeEngine(writer http.ResponseWriter, request *http.Request) {
	engine := scriptedEngine{writer, request}
	engine.tokens(len(engine.body().ContinueFrom), 6)
	engine.end(6)
}
