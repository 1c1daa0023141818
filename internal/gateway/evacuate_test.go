package gateway

import (
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/queue"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/views"
)

// evacuate sets a configuration in which exactly these zones are evacuated.
func (h *harness) evacuate(version uint64, zones ...string) {
	var objects []objectstore.Object
	for _, zone := range zones {
		objects = append(objects, objectstore.Object{Kind: string(spec.KindEvacuation), Name: zone, Version: version, Spec: []byte(`{}`)})
	}
	h.setConfiguration(version, objects)
}

// setConfiguration sets the configuration in force. Routes still come from the fake catalog,
// except for their regions.
func (h *harness) setConfiguration(version uint64, objects []objectstore.Object) {
	h.t.Helper()
	snapshot, problems := catalog.Compile(version, objects)
	if len(problems) > 0 {
		h.t.Fatalf("problems: %v", problems)
	}
	h.views.Catalog.Set(snapshot)
}

// testZone is a zone with one engine and one service, which count their requests.
type testZone struct {
	name            fleet.Zone
	models, calls   atomic.Int64
	engine, service string
}

func (h *harness) addZone(name fleet.Zone, engine http.HandlerFunc) *testZone {
	zone := &testZone{name: name}
	zone.engine = h.backend(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == backend.PathCompletions {
			zone.models.Add(1)
		}
		engine(writer, request)
	})
	zone.service = h.backend(func(writer http.ResponseWriter, _ *http.Request) {
		zone.calls.Add(1)
		writer.WriteHeader(http.StatusOK)
	})
	return zone
}

func (h *harness) publishZones(zones ...*testZone) {
	h.table.Sequence++
	tables := make(views.RouteTables)
	for _, zone := range zones {
		tables[zone.name] = fleet.RouteTable{Zone: zone.name, Fence: 1, Sequence: h.table.Sequence,
			Engines: []fleet.EngineState{{
				Backend:     fleet.Backend{Name: fleet.BackendName("engine-" + zone.name), Kind: fleet.KindEngine, Zone: zone.name, Address: zone.engine},
				Incarnation: 1,
				Models:      []fleet.LoadedModel{{Model: testModel, State: fleet.LoadReady}},
			}},
			Services: []fleet.Backend{{Name: fleet.BackendName("service-" + zone.name), Kind: fleet.KindService, Zone: zone.name,
				Address: zone.service, Service: "turbines"}},
		}
	}
	h.views.RouteTables.Set(tables)
}

func TestNothingIsSentToAnEvacuatedZone(t *testing.T) {
	h := newHarness(t, nil)
	home, other := h.addZone("a", completeEngine), h.addZone("b", completeEngine)
	h.publishZones(home, other)
	h.evacuate(1, "a")
	const requests = 8
	for range requests {
		if got := h.do(http.MethodPost, backend.PathCompletions, streamBody); got.status != http.StatusOK {
			t.Fatalf("%d %+v", got.status, got.problem)
		}
		if got := h.do(http.MethodGet, "/turbines/7", ""); got.status != http.StatusOK {
			t.Fatalf("%d %+v", got.status, got.problem)
		}
	}
	if home.models.Load()+home.calls.Load() != 0 || other.models.Load() != requests || other.calls.Load() != requests {
		t.Errorf("the evacuated zone got %d and %d, the other %d and %d",
			home.models.Load(), home.calls.Load(), other.models.Load(), other.calls.Load())
	}
	h.evacuate(2)
	h.do(http.MethodPost, backend.PathCompletions, streamBody)
	if h.do(http.MethodGet, "/turbines/7", ""); home.calls.Load() != 1 {
		t.Error("the zone got no call after its evacuation ended")
	}
}

// TestBrokenStreamIsContinuedOutsideOfItsEvacuatedZone evacuates the zone while the
// stream runs, although its engine could resume the stream.
func TestBrokenStreamIsContinuedOutsideOfItsEvacuatedZone(t *testing.T) {
	h := newHarness(t, nil)
	var resumes atomic.Int64
	home := h.addZone("a", func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case isResume(request):
			resumes.Add(1)
			return
		case isCancel(request):
			return
		}
		scriptedEngine{writer, request}.tokens(0, 3)
		h.evacuate(1, "a")
		abortConnection()
	})
	other := h.addZone("b", completeEngine)
	h.publishZones(home)
	done := make(chan response, 1)
	go func() { done <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	for home.models.Load() == 0 {
		runtime.Gosched()
	}
	h.publishZones(home, other)
	h.wantComplete(<-done)
	if home.models.Load() != 1 || resumes.Load() != 0 || other.models.Load() != 1 {
		t.Errorf("the evacuated zone got %d requests and %d resumes, the other %d",
			home.models.Load(), resumes.Load(), other.models.Load())
	}
}

func TestAllZonesEvacuatedIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, nil)
	home, other := h.addZone("a", completeEngine), h.addZone("b", completeEngine)
	empty := fleet.RouteTable{Zone: "a", Fence: 1, Sequence: 1}
	h.views.RouteTables.Set(views.RouteTables{"a": empty})
	waiting := make(chan response, 1)
	go func() { waiting <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	<-h.demand.first
	h.evacuate(1, "a", "b")
	refused := func(name string, got response) {
		t.Helper()
		if got.status != http.StatusServiceUnavailable || got.problem.Code != string(queue.ReasonEvacuated) ||
			got.problem.Outcome != attempt.OutcomeNotRun || got.header.Get("Retry-After") != "10" {
			t.Errorf("%s: %d %v %+v", name, got.status, got.header, got.problem)
		}
	}
	refused("the waiting request", <-waiting)
	h.publishZones(home, other)
	refused("a request", h.do(http.MethodPost, backend.PathCompletions, streamBody))
	refused("a call", h.do(http.MethodGet, "/turbines/7", ""))
	if sent := home.models.Load() + home.calls.Load() + other.models.Load() + other.calls.Load(); sent != 0 {
		t.Errorf("%d requests were sent", sent)
	}
	h.evacuate(2, "a")
	if got := h.do(http.MethodPost, backend.PathCompletions, streamBody); got.status != http.StatusOK || other.models.Load() != 1 {
		t.Errorf("after an evacuation ended: %d %+v", got.status, got.problem)
	}
}
