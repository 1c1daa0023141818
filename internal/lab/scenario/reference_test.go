package scenario

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
	"github.com/spanlanding/spanlanding/internal/standin/service"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

// defects are the faults that a reference fleet can be built with.
type defects struct {
	ignoreKeys   bool // ignores idempotency keys and runs every request
	falseNotRun  bool // answers not-run to one command in four, after running it
	crossAnswers bool // answers every stream with the first stream's text
	loadTwice    bool // loads each model on both engines
}

// referenceFleet is a minimal fleet: one lock for all nodes, two engines, one
// command server. It replaces the product, so that the lab packages can be tested
// without it.
type referenceFleet struct {
	defects
	platform string
	engines  []string
	service  string
	commands atomic.Int64

	mutex     sync.Mutex
	version   uint64
	loaded    map[string]bool
	answers   map[string][]byte // by idempotency key
	firstText []string          // text chunks of the first stream
}

func (r *referenceFleet) handler(node string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/", r.serveModel)
	mux.HandleFunc("/boxes/", r.serveCommand)
	mux.HandleFunc("GET /status", func(writer http.ResponseWriter, _ *http.Request) {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		fmt.Fprintf(writer, `{"node":%q,"configVersion":%d,"zones":[{"engines":2,"services":1}]}`, node, r.version)
	})
	return mux
}

func modelOf(deployment string) fleet.ModelVersion {
	return fleet.ModelVersion{Model: deployment, Version: "v1"}
}

// load orders the model's load at the first engine; the lock makes sure that it
// is ordered only once.
func (r *referenceFleet) load(deployment string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.loaded[deployment] {
		return
	}
	r.loaded[deployment] = true
	for index, address := range r.engines {
		if index > 0 && !r.loadTwice {
			break
		}
		order, _ := json.Marshal(backend.Order{
			ID: deployment, Fence: 1, Incarnation: 1, Action: backend.ActionLoad,
			Model: modelOf(deployment), Bytes: engine.GiB, CheckpointBytes: engine.GiB,
		})
		post(address+backend.PathEngineOrders, order)
	}
}

func post(url string, body []byte) {
	if response, err := http.Post(url, "application/json", bytes.NewReader(body)); err == nil {
		response.Body.Close()
	}
}

func (r *referenceFleet) serveModel(writer http.ResponseWriter, request *http.Request) {
	body, _ := io.ReadAll(request.Body)
	var fields map[string]json.RawMessage
	var head backend.CompletionRequest
	if json.Unmarshal(body, &fields) != nil || json.Unmarshal(body, &head) != nil {
		return
	}
	if head.Model == "no-such-model" {
		writer.Header().Set("Content-Type", "application/problem+json")
		writer.WriteHeader(http.StatusNotFound)
		fmt.Fprint(writer, `{"outcome":"not-run","code":"unknown-model"}`)
		return
	}
	r.load(head.Model)
	fields["stream"] = json.RawMessage("true")
	streamed, _ := json.Marshal(fields)
	pieces, finish := r.generate(request.Header.Get("X-Request-Id"), request.URL.Path, head.Model, streamed)
	if r.crossAnswers {
		pieces = r.firstStreamText(pieces)
	}
	if !head.Stream {
		fmt.Fprintf(writer, `{"choices":[{"text":%q,"finish_reason":%q}]}`, strings.Join(pieces, ""), finish)
		return
	}
	for _, piece := range pieces {
		fmt.Fprintf(writer, "data: {\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", piece)
	}
	fmt.Fprintf(writer, "data: {\"choices\":[{\"finish_reason\":%q}]}\n\ndata: [DONE]\n\n", finish)
}

func (r *referenceFleet) firstStreamText(pieces []string) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.firstText == nil {
		r.firstText = pieces
	}
	return r.firstText
}

// generate sends the request to the first engine until the model is ready.
func (r *referenceFleet) generate(id, path, deployment string, body []byte) (pieces []string, finish string) {
	for {
		request, _ := http.NewRequest(http.MethodPost, r.engines[0]+path, bytes.NewReader(body))
		request.Header.Set(backend.HeaderRequestID, id)
		request.Header.Set(backend.HeaderModel, modelOf(deployment).String())
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, ""
		}
		if response.StatusCode == http.StatusOK {
			defer response.Body.Close()
			return readChunks(response.Body)
		}
		response.Body.Close()
		time.Sleep(5 * time.Millisecond)
	}
}

func readChunks(body io.Reader) (pieces []string, finish string) {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		var chunk backend.Chunk
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found || json.Unmarshal([]byte(data), &chunk) != nil {
			continue
		}
		if chunk.Finish != "" {
			finish = chunk.Finish
			continue
		}
		pieces = append(pieces, chunk.Text)
	}
	return pieces, finish
}

func (r *referenceFleet) serveCommand(writer http.ResponseWriter, request *http.Request) {
	key := request.Header.Get("Idempotency-Key")
	if key == "" || r.ignoreKeys {
		answer := r.runCommand(request)
		if request.Method == http.MethodPost && r.falseNotRun && r.commands.Add(1)%4 == 0 {
			writer.Header().Set("Content-Type", "application/problem+json")
			writer.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(writer, `{"outcome":"not-run","code":"overloaded"}`)
			return
		}
		writer.Write(answer)
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.answers[key] == nil {
		r.answers[key] = r.runCommand(request)
	}
	writer.Write(r.answers[key])
}

func (r *referenceFleet) runCommand(request *http.Request) []byte {
	forwarded, _ := http.NewRequest(request.Method, r.service+request.URL.Path, nil)
	forwarded.Header.Set(backend.HeaderRequestID, request.Header.Get("X-Request-Id"))
	forwarded.Header.Set("Idempotency-Key", request.Header.Get("Idempotency-Key"))
	response, err := http.DefaultClient.Do(forwarded)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return answer
}

// startReference starts a platform, back ends and nodes; they stop when the test
// ends.
func startReference(t *testing.T, injected defects) (nodes []string, platformURL string) {
	t.Helper()
	serve := func(handler http.Handler) string {
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		return server.URL
	}
	platformURL = serve(httpdriver.NewPlatform(t.Context(), httpdriver.PlatformOptions{Weights: weights.Options{}}).Handler())
	client := httpdriver.PlatformClient{URL: platformURL, HTTP: http.DefaultClient}
	reference := &referenceFleet{
		defects: injected, platform: platformURL, loaded: make(map[string]bool), answers: make(map[string][]byte),
	}
	var machines []objectstore.Machine
	address := func(url string) string { return strings.TrimPrefix(url, "http://") }
	for _, name := range []string{"e1", "e2"} {
		started := httpdriver.NewEngine(t.Context(), engine.Options{
			Backend: fleet.Backend{Name: fleet.BackendName(name), Zone: "z"}, Incarnation: 1, KVReserveBytes: 16 * engine.GiB,
			Timing: engine.Timing{IterationBase: time.Millisecond, RemoteLoad: time.Second},
		}, client)
		url := serve(started.Handler())
		claim, _ := json.Marshal(backend.Claim{Fence: 1, Incarnation: 1})
		post(url+backend.PathEngineClaim, claim)
		reference.engines = append(reference.engines, url)
		machines = append(machines, objectstore.Machine{Role: "engine", Name: name, Zone: "z", State: objectstore.MachineLive, Address: address(url)})
	}
	reference.service = serve(httpdriver.NewService(t.Context(), service.Options{
		Backend: fleet.Backend{Name: "s1", Zone: "z", Service: "boxes"}, ServiceTime: time.Millisecond,
	}).Handler())
	machines = append(machines, objectstore.Machine{Role: "service", Name: "s1", Zone: "z", State: objectstore.MachineLive, Address: address(reference.service)})
	if err := client.ReportMachines(t.Context(), httpdriver.MachineReport{Machines: machines}); err != nil {
		t.Fatal(err)
	}
	reference.declareObjects(t)
	for _, name := range []string{"n1", "n2", "n3"} {
		nodes = append(nodes, address(serve(reference.handler(name))))
	}
	return nodes, platformURL
}

// declareObjects writes five models, one service, and an allotment of one replica
// for each model.
func (r *referenceFleet) declareObjects(t *testing.T) {
	t.Helper()
	decided := make(map[string]any)
	for index := range 5 {
		name := fmt.Sprintf("m%d", index)
		decided[modelOf(name).String()] = map[string]int{"decided": 1}
		r.put(t, spec.KindModel, name, spec.Model{Versions: []spec.ModelVersion{{Name: "v1"}}})
		r.put(t, spec.KindDeployment, name, spec.Deployment{Model: name})
	}
	r.put(t, spec.KindService, "boxes", spec.Service{PathPrefix: "/boxes/"})
	r.put(t, objectstore.KindAllotments, "fleet", map[string]any{"generation": 1, "models": decided})
}

func (r *referenceFleet) put(t *testing.T, kind spec.Kind, name string, value any) {
	t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(objectstore.WriteRequest{Object: objectstore.Object{Kind: string(kind), Name: name, Spec: content}})
	if err != nil {
		t.Fatal(err)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, fmt.Sprintf("%s/v1/objects/%s/%s", r.platform, kind, name), bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var written objectstore.Object
	if err := json.NewDecoder(response.Body).Decode(&written); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("%s %s: status %d, %v", kind, name, response.StatusCode, err)
	}
	r.version = written.Version
}
