package httpdriver

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
	"github.com/spanlanding/spanlanding/internal/standin/machines"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

const (
	// waitTimeout limits the wait for an expected event; no test asserts a
	// duration.
	waitTimeout = 20 * time.Second
	zone        = fleet.Zone("a")
)

var (
	model = fleet.ModelVersion{Model: "alarm", Version: "1"}
	chat  = `{"model":"alarm@1","stream":%s,"max_tokens":%s,"messages":[{"role":"user","content":"pitch bearing?"}]}`
)

func chatBody(stream, maxTokens string) string {
	body := strings.Replace(chat, "%s", stream, 1)
	return strings.Replace(body, "%s", maxTokens, 1)
}

func startPlatform(t *testing.T, options PlatformOptions) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(NewPlatform(t.Context(), options).Handler())
	t.Cleanup(server.Close)
	return server
}

// engineRig is an engine behind a test HTTP server, with a platform that provides
// its weight store.
type engineRig struct {
	*testing.T
	engine   *Engine
	server   *httptest.Server
	platform *httptest.Server
	fence    fleet.Fence
}

func startEngine(t *testing.T, loadTime time.Duration) *engineRig {
	t.Helper()
	store := startPlatform(t, PlatformOptions{Weights: weights.Options{}, Machines: machines.Options{}})
	created := NewEngine(t.Context(), engine.Options{
		Incarnation:    11,
		Backend:        fleet.Backend{Name: "engine-0", Zone: zone},
		KVReserveBytes: engine.GiB,
		Timing:         engine.Timing{IterationBase: time.Millisecond, RemoteLoad: loadTime},
	}, PlatformClient{URL: store.URL, HTTP: store.Client()})
	server := httptest.NewServer(created.Handler())
	t.Cleanup(server.Close)
	return &engineRig{T: t, engine: created, server: server, platform: store}
}

func (r *engineRig) claim() {
	r.Helper()
	r.fence++
	r.post(backend.PathEngineClaim, backend.Claim{Fence: r.fence, Incarnation: 11}, http.StatusOK, nil)
}

func (r *engineRig) order(id string, action backend.Action) backend.Order {
	return backend.Order{
		ID: id, Fence: r.fence, Incarnation: 11, Action: action,
		Model: model, Bytes: engine.GiB, CheckpointBytes: engine.ReferenceCheckpointBytes,
	}
}

// loadModel claims the engine, loads the model and waits until it is ready.
func (r *engineRig) loadModel() {
	r.Helper()
	r.claim()
	r.post(backend.PathEngineOrders, r.order("load", backend.ActionLoad), http.StatusAccepted, nil)
	r.eventually("the model is ready", func() bool {
		loaded := r.state().Find(model)
		return loaded != nil && loaded.State == fleet.LoadReady
	})
}

func (r *engineRig) state() (state fleet.EngineState) {
	r.Helper()
	getJSON(r.T, r.server.URL+backend.PathEngineState, &state)
	return state
}

func (r *engineRig) setFaults(set faults.Set) {
	r.Helper()
	r.post(faults.Path, set, http.StatusOK, nil)
}

// post sends a JSON body, requires the given response status and decodes the
// response into answer unless that is nil.
func (r *engineRig) post(path string, body any, status int, answer any) {
	r.Helper()
	response := send(r.T, http.MethodPost, r.server.URL+path, nil, encode(r.T, body))
	defer func() { _ = response.Body.Close() }()
	data, _ := io.ReadAll(response.Body)
	if response.StatusCode != status {
		r.Fatalf("%s answered %s: %s", path, response.Status, data)
	}
	if answer != nil {
		if err := json.Unmarshal(data, answer); err != nil {
			r.Fatal(err)
		}
	}
}

func (r *engineRig) complete(id, body string) *http.Response {
	r.Helper()
	header := http.Header{backend.HeaderRequestID: {id}, backend.HeaderAttempt: {"1"}}
	return send(r.T, http.MethodPost, r.server.URL+backend.PathChat, header, []byte(body))
}

func (r *engineRig) eventually(what string, condition func() bool) {
	r.Helper()
	eventually(r.T, what, condition)
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", what)
		}
	}
}

func encode(t *testing.T, body any) []byte {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// testClient limits the duration of each call, so that a hanging call fails its
// test.
var testClient = &http.Client{Timeout: waitTimeout}

func trySend(t *testing.T, method, url string, header http.Header, body []byte) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	// Use a new connection for each call: on a reused one, the HTTP client may
	// retry the request by itself.
	request.Close = true
	return testClient.Do(request)
}

func send(t *testing.T, method, url string, header http.Header, body []byte) *http.Response {
	t.Helper()
	response, err := trySend(t, method, url, header, body)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func getJSON(t *testing.T, url string, into any) {
	t.Helper()
	response := send(t, http.MethodGet, url, nil, nil)
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("%s answered %s", url, response.Status)
	}
	if err := json.NewDecoder(response.Body).Decode(into); err != nil {
		t.Fatal(err)
	}
}

// readEvents returns the chunks of a stream, whether the terminator followed
// them, and the error of the connection.
func readEvents(t *testing.T, body io.Reader) (chunks []backend.Chunk, done bool, err error) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !found:
		case data == "[DONE]":
			done = true
		default:
			var chunk backend.Chunk
			if err := json.Unmarshal([]byte(data), &chunk); err != nil {
				t.Fatal(err)
			}
			chunks = append(chunks, chunk)
		}
	}
	return chunks, done, lines.Err()
}

func texts(chunks []backend.Chunk) (tokens []string) {
	for _, chunk := range chunks {
		if chunk.Finish == "" {
			tokens = append(tokens, chunk.Text)
		}
	}
	return tokens
}
