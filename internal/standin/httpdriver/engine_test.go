package httpdriver

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
	"github.com/spanlanding/spanlanding/internal/standin/weights"
)

func wantTokens(count int) []string {
	tokens, _ := engine.Answer([]byte(chatBody("true", "1")), count, model, "")
	return tokens
}

func TestStreamedAndWholeAnswersAreTheSame(t *testing.T) {
	r := startEngine(t, time.Millisecond)
	r.loadModel()
	streamed := r.complete("1", chatBody("true", "9"))
	defer func() { _ = streamed.Body.Close() }()
	chunks, done, err := readEvents(t, streamed.Body)
	if diff := cmp.Diff(wantTokens(9), texts(chunks)); diff != "" || !done || err != nil {
		t.Errorf("done %v, error %v, %s", done, err, diff)
	}
	whole := r.complete("2", chatBody("false", "9"))
	defer func() { _ = whole.Body.Close() }()
	var answer WholeAnswer
	if err := json.NewDecoder(whole.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	want := Choice{
		Message:      &AnswerMessage{Role: "assistant", Content: strings.Join(wantTokens(9), "")},
		FinishReason: "length",
	}
	if diff := cmp.Diff([]Choice{want}, answer.Choices); diff != "" {
		t.Error(diff)
	}
}

func TestEngineRefusalsSayThatNothingRan(t *testing.T) {
	r := startEngine(t, time.Millisecond)
	refused := r.complete("1", chatBody("true", "9"))
	_ = refused.Body.Close()
	if refused.StatusCode != http.StatusConflict || refused.Header.Get(backend.HeaderNotRun) != "true" {
		t.Errorf("not ready: %s, %v", refused.Status, refused.Header)
	}
	r.loadModel()
	r.engine.Leave()
	refused = r.complete("2", chatBody("true", "9"))
	_ = refused.Body.Close()
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get(backend.HeaderNotRun) != "true" || refused.Header.Get(backend.HeaderLeaving) != "true" {
		t.Errorf("leaving: %s, %v", refused.Status, refused.Header)
	}
	if !r.state().Leaving || len(r.engine.Book().Executions) != 0 {
		t.Errorf("leaving %v, executions %v", r.state().Leaving, r.engine.Book().Executions)
	}
}

func TestFenceIsKeptOverHTTP(t *testing.T) {
	r := startEngine(t, time.Millisecond)
	r.claim()
	var refusal backend.FenceRefusal
	r.post(backend.PathEngineClaim, backend.Claim{Fence: r.fence, Incarnation: 11}, http.StatusConflict, &refusal)
	if diff := cmp.Diff(backend.FenceRefusal{Fence: r.fence, Incarnation: 11}, refusal); diff != "" {
		t.Error(diff)
	}
	stale := r.order("1", backend.ActionLoad)
	stale.Fence--
	r.post(backend.PathEngineOrders, stale, http.StatusConflict, nil)
	large := r.order("2", backend.ActionLoad)
	large.Bytes = 1000 * engine.GiB
	var orderRefusal backend.OrderRefusal
	r.post(backend.PathEngineOrders, large, http.StatusUnprocessableEntity, &orderRefusal)
	if orderRefusal.Reason != backend.ReasonNoMemory {
		t.Errorf("reason %q", orderRefusal.Reason)
	}
}

func TestLostAnswerToAnOrderComesAfterTheLoad(t *testing.T) {
	r := startEngine(t, time.Hour)
	r.claim()
	r.setFaults(faults.Set{LoseAnswers: 1})
	body := encode(t, r.order("1", backend.ActionLoad))
	if response, err := trySend(t, http.MethodPost, r.server.URL+backend.PathEngineOrders, nil, body); err == nil {
		t.Errorf("answered %s", response.Status)
		_ = response.Body.Close()
	}
	if r.state().Find(model) == nil {
		t.Error("the order was not executed")
	}
	r.post(backend.PathEngineOrders, r.order("1", backend.ActionLoad), http.StatusAccepted, nil)
	if residencies := r.engine.Book().Residencies; len(residencies) != 1 {
		t.Errorf("residencies %v", residencies)
	}
}

func TestUnloadCancelsTheReadOfTheWeights(t *testing.T) {
	r := startEngine(t, time.Hour)
	r.claim()
	r.post(backend.PathEngineOrders, r.order("1", backend.ActionLoad), http.StatusAccepted, nil)
	stats := func() (stats weights.Stats) {
		getJSON(t, r.platform.URL+PathWeights, &stats)
		return stats
	}
	r.eventually("the read runs", func() bool { return stats().Active == 1 })
	r.post(backend.PathEngineOrders, r.order("2", backend.ActionUnload), http.StatusAccepted, nil)
	r.eventually("the read is cancelled", func() bool { return stats().Cancelled == 1 && stats().Active == 0 })
}

func TestClientThatGoesAwayCancelsItsRequest(t *testing.T) {
	r := startEngine(t, time.Millisecond)
	r.loadModel()
	response := r.complete("1", chatBody("true", "8000"))
	if _, err := response.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	r.eventually("the request is cancelled", func() bool {
		executions := r.engine.Book().Executions
		return len(executions) == 1 && executions[0].Cancelled && r.engine.Idle()
	})
}

func TestDeleteCancelsOnlyTheAttemptThatItNames(t *testing.T) {
	r := startEngine(t, time.Millisecond)
	r.loadModel()
	response := r.complete("1", chatBody("true", "8000"))
	defer func() { _ = response.Body.Close() }()
	remove := func(attempt string) int {
		header := http.Header{backend.HeaderAttempt: {attempt}}
		answer := send(t, http.MethodDelete, r.server.URL+backend.PathRequests+"1", header, nil)
		_ = answer.Body.Close()
		return answer.StatusCode
	}
	if status := remove("2"); status != http.StatusNotFound {
		t.Errorf("cancelling another attempt answered %d, want 404", status)
	}
	if status := remove("1"); status != http.StatusNoContent {
		t.Errorf("cancelling this attempt answered %d, want 204", status)
	}
	if _, done, err := readEvents(t, response.Body); done || err == nil {
		t.Errorf("the cancelled stream ended normally: done %v, error %v", done, err)
	}
}

func TestBrokenStreamIsResumedOverHTTP(t *testing.T) {
	r := startEngine(t, time.Millisecond)
	r.loadModel()
	r.setFaults(faults.Set{Engine: engine.Faults{BreakAfterTokens: 3}})
	broken := r.complete("1", chatBody("true", "9"))
	defer func() { _ = broken.Body.Close() }()
	chunks, done, err := readEvents(t, broken.Body)
	if len(chunks) != 3 || done || err == nil {
		t.Fatalf("%d chunks, done %v, error %v", len(chunks), done, err)
	}
	rest := send(t, http.MethodGet, r.server.URL+backend.PathRequests+"1/stream?from=3", nil, nil)
	defer func() { _ = rest.Body.Close() }()
	resumed, done, err := readEvents(t, rest.Body)
	if diff := cmp.Diff(wantTokens(9), append(texts(chunks), texts(resumed)...)); diff != "" || !done || err != nil {
		t.Errorf("done %v, error %v, %s", done, err, diff)
	}
}

func TestTruncatedStreamEndsWithoutErrorAndWithoutTerminator(t *testing.T) {
	r := startEngine(t, time.Millisecond)
	r.loadModel()
	r.setFaults(faults.Set{Engine: engine.Faults{TruncateAfterTokens: 3}})
	response := r.complete("1", chatBody("true", "9"))
	defer func() { _ = response.Body.Close() }()
	chunks, done, err := readEvents(t, response.Body)
	if len(chunks) != 3 || done || err != nil {
		t.Errorf("%d chunks, done %v, error %v", len(chunks), done, err)
	}
}

func TestRestartBreaksStreamsAndForgetsModels(t *testing.T) {
	r := startEngine(t, time.Millisecond)
	r.loadModel()
	response := r.complete("1", chatBody("true", "8000"))
	defer func() { _ = response.Body.Close() }()
	r.setFaults(faults.Set{Restart: true})
	if _, done, err := readEvents(t, response.Body); done || err == nil {
		t.Errorf("done %v, error %v", done, err)
	}
	if state := r.state(); state.Incarnation == 11 || state.Fence != 0 || len(state.Models) != 0 {
		t.Errorf("state %+v", state)
	}
}
