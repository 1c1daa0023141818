package httpdriver

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

// WeightRead is the body of POST /lab/weights/reads. The response, 204, is sent
// once the checkpoint has been read.
type WeightRead struct {
	Engine fleet.BackendName  `json:"engine"`
	Load   uint64             `json:"load"`
	Model  fleet.ModelVersion `json:"model"`
	Bytes  int64              `json:"bytes"`
	// FullSpeed is the duration of the read at the store's full speed, in
	// nanoseconds.
	FullSpeed time.Duration `json:"fullSpeed"`
}

// weightStore serves a weights.Core over HTTP.
type weightStore struct {
	eventLoop *eventLoop

	// Only the event loop's goroutine uses the fields below.
	core     *weights.Core
	outboxes map[string]*outbox[weights.Done]
	reads    uint64
}

func newWeightStore(ctx context.Context, options weights.Options) *weightStore {
	created := &weightStore{core: weights.New(options), outboxes: map[string]*outbox[weights.Done]{}}
	created.eventLoop = newEventLoop(ctx, created.core.NextWake, func(now time.Time) {
		created.step(now, weights.Tick{})
	})
	return created
}

func (w *weightStore) step(now time.Time, message weights.Message) {
	for _, done := range w.core.Step(now, message) {
		if box := w.outboxes[done.ID]; box != nil {
			box.put(done)
			delete(w.outboxes, done.ID)
		}
	}
}

func (w *weightStore) setSlowFactor(factor float64) {
	w.eventLoop.do(func(now time.Time) { w.step(now, weights.Slow{Factor: factor}) })
}

// serveRead performs a read and cancels it if the engine disconnects.
func (w *weightStore) serveRead(writer http.ResponseWriter, request *http.Request) {
	var read WeightRead
	if !readJSON(writer, request, &read) {
		return
	}
	box := newOutbox[weights.Done]()
	var id string
	w.eventLoop.do(func(now time.Time) {
		w.reads++
		id = strconv.FormatUint(w.reads, 10)
		w.outboxes[id] = box
		w.step(now, weights.Read{ID: id, FullSpeed: read.FullSpeed})
	})
	if _, err := box.take(request.Context()); err != nil {
		w.eventLoop.do(func(now time.Time) {
			delete(w.outboxes, id)
			w.step(now, weights.Cancel{ID: id})
		})
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (w *weightStore) serveStats(writer http.ResponseWriter, _ *http.Request) {
	var stats weights.Stats
	w.eventLoop.do(func(now time.Time) {
		w.step(now, weights.Tick{})
		stats = w.core.Stats()
	})
	writeJSON(writer, http.StatusOK, stats)
}

// PlatformClient calls the platform's /lab/ API on behalf of a simulated back
// end.
type PlatformClient struct {
	// URL is the platform's base URL, without a path.
	URL  string
	HTTP *http.Client
}

// ReadWeights implements WeightReader.
func (p PlatformClient) ReadWeights(ctx context.Context, read WeightRead) error {
	return p.post(ctx, PathWeightReads, read)
}

// ReportMachines sends a heartbeat.
func (p PlatformClient) ReportMachines(ctx context.Context, report MachineReport) error {
	return p.post(ctx, PathLabMachines, report)
}

func (p PlatformClient) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, p.URL+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", contentTypeJSON)
	response, err := p.HTTP.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("platform answered %s to %s", response.Status, path)
	}
	return nil
}
