package gateway

import (
	"net/http"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/backend"
)

func TestStreamedAnswerIsWhole(t *testing.T) {
	h := newHarness(t, nil)
	h.addEngine("e1", h.backend(completeEngine))
	got := h.do(http.MethodPost, backend.PathCompletions, streamBody)
	text, whole := streamText(got.body)
	if got.status != http.StatusOK || text != completeText || !whole {
		t.Fatalf("status %d body %q", got.status, got.body)
	}
	if got.header.Get(headerAttempts) != "1" || got.header.Get(backend.HeaderRequestID) == "" {
		t.Errorf("header %v", got.header)
	}
}

func TestRequestWaitsForALoadAndReportsIt(t *testing.T) {
	h := newHarness(t, nil)
	address := h.backend(completeEngine)
	done := make(chan response, 1)
	go func() { done <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	select {
	case early := <-done:
		t.Fatalf("answered before any replica was ready: %+v", early)
	case <-h.demand.first:
	}
	h.addEngine("e1", address)
	got := <-done
	if text, whole := streamText(got.body); text != completeText || !whole || got.header.Get(headerCold) != "true" {
		t.Fatalf("%+v", got)
	}
	if want := h.demand.reported()[0]; want.Model != testModel || want.Waiting != 1 || want.Arrivals != 1 {
		t.Errorf("want %+v", want)
	}
}

func TestLabelsAloneSelectADeployment(t *testing.T) {
	h := newHarness(t, nil)
	h.addEngine("e1", h.backend(completeEngine))
	const noModel = `{"stream":true,"prompt":"p"}`
	chosen := h.do(http.MethodPost, backend.PathCompletions, noModel, headerLabels, "site=chosen-by-label")
	if text, whole := streamText(chosen.body); chosen.status != http.StatusOK || text != completeText || !whole {
		t.Errorf("status %d body %q", chosen.status, chosen.body)
	}
	other := h.do(http.MethodPost, backend.PathCompletions, noModel)
	if other.status != http.StatusNotFound || !strings.Contains(other.body, codeNoRoute) {
		t.Errorf("status %d body %q", other.status, other.body)
	}
}
