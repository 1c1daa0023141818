package operator

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/views"
)

type fakeSource struct {
	status   Status
	notReady error
	drains   int
}

func (f *fakeSource) Status() Status              { return f.status }
func (f *fakeSource) Versions() VersionReport     { return VersionReport{Members: f.status.Members} }
func (f *fakeSource) Ready() error                { return f.notReady }
func (f *fakeSource) Drain(context.Context) error { f.drains++; return nil }

func largeStatus() Status {
	long := strings.Repeat("long-name-", 12)
	tables := views.RouteTables{
		"vest-b": {Zone: "vest-b", Leader: "n2", Fence: fleet.NewFence(1, 2, 3)},
		"vest-a": {Zone: "vest-a", Leader: fleet.NodeName(long), Sequence: 9, Engines: []fleet.EngineState{
			{Backend: fleet.Backend{Leaving: true}, Models: []fleet.LoadedModel{
				{Model: fleet.ModelVersion{Model: "m", Version: "v1"}, State: fleet.LoadReady},
				{Model: fleet.ModelVersion{Model: long, Version: "v1"}, State: fleet.LoadLoading},
			}},
			{Models: []fleet.LoadedModel{{Model: fleet.ModelVersion{Model: "m", Version: "v1"}, State: fleet.LoadUnloading}}},
		}},
	}
	now := time.Unix(1000, 0)
	queues := []QueueStatus{{Model: fleet.ModelVersion{Model: "m", Version: "v1"}, Waiting: 3, OldestSeconds: 1.5}}
	decided := map[fleet.ModelVersion]int{{Model: "m", Version: "v1"}: 2, {Model: "none", Version: "v1"}: 0}
	return Status{
		Node: fleet.NodeName(long), Zone: "vest-a", Ready: true, Draining: true, ConfigVersion: 12,
		Members: []fleet.Member{{Name: fleet.NodeName(long), Zone: "vest-a", State: fleet.MemberAlive, Draining: true}},
		Zones:   ZonesOf(tables, map[fleet.Zone]time.Time{"vest-a": now.Add(-2 * time.Second)}, now),
		Models:  ModelsOf(tables, decided, queues),
		Queues:  queues,
	}
}

func TestStatusCountsReplicasByTheTables(t *testing.T) {
	status := largeStatus()
	want := ModelStatus{Model: fleet.ModelVersion{Model: "m", Version: "v1"}, Decided: 2, Ready: 1, Unloading: 1, Waiting: 3}
	if len(status.Models) != 2 || status.Models[1] != want {
		t.Errorf("models: %+v", status.Models)
	}
	zone := status.Zones[0]
	if zone.Zone != "vest-a" || zone.Leaving != 1 || zone.Engines != 2 || zone.TableAgeSeconds != 2 {
		t.Errorf("zone: %+v", zone)
	}
}

func TestTextFitsTheWidth(t *testing.T) {
	var text bytes.Buffer
	RenderStatus(&text, largeStatus())
	RenderWait(&text, WaitResult{Lacking: []Lacking{{Node: fleet.NodeName(strings.Repeat("n", 90)), Reason: strings.Repeat("r", 90)}}})
	RenderApply(&text, ApplyResult{Objects: []Applied{{Kind: "Model", Name: strings.Repeat("m", 90), Outcome: OutcomeCreated}}})
	for line := range strings.Lines(text.String()) {
		if width := utf8.RuneCountInString(strings.TrimSuffix(line, "\n")); width > Width {
			t.Errorf("line of %d columns: %s", width, line)
		}
	}
}

func TestNodeClientReadsWhatTheHandlerServes(t *testing.T) {
	source := &fakeSource{status: largeStatus()}
	server := httptest.NewServer(NewHandler(source, prometheus.NewRegistry()))
	defer server.Close()
	client := NewNodeClient(strings.TrimPrefix(server.URL, "http://"), server.Client())
	status, err := client.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if difference := cmp.Diff(source.status, status); difference != "" {
		t.Errorf("status (-served +read):\n%s", difference)
	}
	if report, err := client.Drain(t.Context()); err != nil || !report.Draining || source.drains != 1 {
		t.Errorf("drain: %+v, error %v, %d calls", report, err, source.drains)
	}
}

func TestReadinessIsApartFromHealth(t *testing.T) {
	source := &fakeSource{notReady: errors.New("no catalog yet")}
	registry := prometheus.NewRegistry()
	registry.MustRegister(prometheus.NewCounter(prometheus.CounterOpts{Name: "test_total"}))
	server := httptest.NewServer(NewHandler(source, registry))
	defer server.Close()
	cases := []struct {
		method, path string
		code         int
		contains     string
	}{
		{http.MethodGet, PathHealth, http.StatusOK, "true"},
		{http.MethodGet, PathReady, http.StatusServiceUnavailable, "no catalog yet"},
		{http.MethodGet, PathMetrics, http.StatusOK, "test_total 0"},
		{http.MethodGet, PathDrain, http.StatusMethodNotAllowed, ""},
		{http.MethodGet, "/nothing", http.StatusNotFound, ""},
	}
	for _, test := range cases {
		request, err := http.NewRequestWithContext(t.Context(), test.method, server.URL+test.path, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := server.Client().Do(request)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != test.code || !strings.Contains(string(body), test.contains) {
			t.Errorf("%s %s: %d %s", test.method, test.path, response.StatusCode, body)
		}
	}
	if source.drains != 0 {
		t.Error("a GET drained the node")
	}
}

// TestNamesAreNotCutForTheirLabels checks that a list truncates labels rather
// than names, which operators copy into other commands.
func TestNamesAreNotCutForTheirLabels(t *testing.T) {
	var text strings.Builder
	const name = "ingredient-chat-for-the-northern-kitchens"
	RenderObjects(&text, objectstore.ObjectList{Objects: []objectstore.Object{{
		Kind: "Deployment", Name: name, Version: 31, ChangedBy: "anna",
		Labels: map[string]string{OwnerLabel: "fjordkurv", "use": strings.Repeat("long", 20)},
	}}})
	if !strings.Contains(text.String(), name) {
		t.Errorf("the name is truncated:\n%s", text.String())
	}
	for line := range strings.Lines(text.String()) {
		if utf8.RuneCountInString(strings.TrimSuffix(line, "\n")) > Width {
			t.Errorf("line wider than %d columns: %s", Width, line)
		}
	}
}

func TestStatusMarksEvacuatedZonesAlsoUnknownOnes(t *testing.T) {
	zones := []ZoneStatus{{Zone: "vest-a", Engines: 4}, {Zone: "vest-b"}}
	marked := MarkEvacuated(zones, []string{"vest-a", "vset-b"})
	want := []ZoneStatus{{Zone: "vest-a", Engines: 4, Evacuated: true}, {Zone: "vest-b"}, {Zone: "vset-b", Evacuated: true}}
	if difference := cmp.Diff(want, marked); difference != "" || zones[0].Evacuated {
		t.Errorf("marked (-want +got):\n%s", difference)
	}
	var text bytes.Buffer
	RenderStatus(&text, Status{Zones: marked})
	if count := strings.Count(text.String(), "yes"); count != 2 {
		t.Errorf("%d zones are shown as evacuated in:\n%s", count, text.String())
	}
}
