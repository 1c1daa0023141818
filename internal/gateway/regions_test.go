package gateway

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/views"
)

// bind sets a configuration in which zone a lies in the north, zone b in the south, and the
// routes of the harness are bound to the regions.
func (h *harness) bind(version uint64, regions ...string) {
	h.t.Helper()
	if regions == nil {
		regions = []string{}
	}
	bound, _ := json.Marshal(regions)
	object := func(kind spec.Kind, name, text string) objectstore.Object {
		return objectstore.Object{Kind: string(kind), Name: name, Version: version, Spec: json.RawMessage(text)}
	}
	h.setConfiguration(version, []objectstore.Object{
		object(spec.KindRegion, "north", `{"zones":["a"]}`),
		object(spec.KindRegion, "south", `{"zones":["b"]}`),
		object(spec.KindSelector, "all", fmt.Sprintf(`{"match":{},"deployments":{},"regions":%s}`, bound)),
		object(spec.KindService, "turbines", fmt.Sprintf(`{"pathPrefix":"/turbines/","regions":%s}`, bound)),
	})
}

func TestRequestsStayInTheirRegions(t *testing.T) {
	h := newHarness(t, nil)
	home, other := h.addZone("a", completeEngine), h.addZone("b", completeEngine)
	h.publishZones(home, other)
	for version, test := range []struct {
		regions     []string
		home, other bool
	}{
		{[]string{"south"}, false, true},
		{[]string{"north"}, true, false},
		{[]string{"north", "south"}, true, false},
		{[]string{"west"}, false, false},
		{nil, false, false},
	} {
		h.bind(uint64(version+1), test.regions...)
		before := []int64{home.models.Load(), home.calls.Load(), other.models.Load(), other.calls.Load()}
		for range 3 {
			model := h.do(http.MethodPost, backend.PathCompletions, streamBody)
			call := h.do(http.MethodGet, "/turbines/7", "")
			for _, got := range []response{model, call} {
				served := test.home || test.other
				if served && got.status != http.StatusOK || !served && (got.problem.Code != codeNoRegion ||
					got.problem.Outcome != attempt.OutcomeNotRun || got.status != http.StatusServiceUnavailable) {
					t.Errorf("%v: %d %+v", test.regions, got.status, got.problem)
				}
			}
		}
		if sent := home.models.Load() > before[0] || home.calls.Load() > before[1]; sent != test.home {
			t.Errorf("%v: sent to the north %v", test.regions, sent)
		}
		if sent := other.models.Load() > before[2] || other.calls.Load() > before[3]; sent != test.other && len(test.regions) < 2 {
			t.Errorf("%v: sent to the south %v", test.regions, sent)
		}
	}
}

// TestWaitingRequestFollowsItsRegions has a request wait for the north. It is served once the
// south is allowed, or refused once no region is.
func TestWaitingRequestFollowsItsRegions(t *testing.T) {
	h := newHarness(t, nil)
	home, other := h.addZone("a", completeEngine), h.addZone("b", completeEngine)
	loading := func() {
		h.publishZones(home, other)
		tables, _ := h.views.RouteTables.Get()
		table := tables["a"]
		table.Engines = nil
		h.views.RouteTables.Set(views.RouteTables{"a": table, "b": tables["b"]})
	}
	for version, test := range []struct {
		regions []string
		code    string
	}{{[]string{"south"}, ""}, {[]string{"west"}, codeNoRegion}, {nil, codeNoRegion}} {
		loading()
		h.bind(uint64(2*version+1), "north")
		done := make(chan response, 1)
		go func() { done <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
		for len(h.gateway.Queues(t.Context())) == 0 {
			select {
			case early := <-done:
				t.Fatalf("answered while the north has no replica: %+v", early)
			default:
			}
		}
		if other.models.Load() != 0 && version == 0 {
			t.Fatal("the request was sent to the south")
		}
		h.bind(uint64(2*version+2), test.regions...)
		if got := <-done; got.problem.Code != test.code || (test.code == "") != (got.status == http.StatusOK) {
			t.Errorf("%v: %d %+v", test.regions, got.status, got.problem)
		}
	}
	if wants := h.demand.reported(); len(wants) == 0 || wants[0].Regions != fleet.Regions("north") {
		t.Errorf("wanted: %+v", wants)
	}
}

// TestBrokenStreamLeavesARegionThatIsNoMoreAllowed checks that a stream is not resumed in a region that is
// no longer allowed.
func TestBrokenStreamLeavesARegionThatIsNoMoreAllowed(t *testing.T) {
	h := newHarness(t, nil)
	resumed := false
	home := h.addZone("a", func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case isResume(request):
			resumed = true
			return
		case isCancel(request):
			return
		}
		scriptedEngine{writer, request}.tokens(0, 3)
		h.bind(2, "south")
		abortConnection()
	})
	other := h.addZone("b", completeEngine)
	h.publishZones(home, other)
	h.bind(1, "north")
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	if resumed || home.models.Load() != 1 || other.models.Load() != 1 {
		t.Errorf("resumed %v, the north got %d, the south %d", resumed, home.models.Load(), other.models.Load())
	}
}

// TestWaitingRequestWithoutBoundIsRefusedOnceNothingIsAllowed checks that it is refused at once, not at its deadline.
func TestWaitingRequestWithoutBoundIsRefusedOnceNothingIsAllowed(t *testing.T) {
	h := newHarness(t, nil)
	h.views.RouteTables.Set(views.RouteTables{"a": {Zone: "a", Fence: 1, Sequence: 1}})
	h.setConfiguration(1, nil)
	done := make(chan response, 1)
	go func() { done <- h.do(http.MethodPost, backend.PathCompletions, streamBody) }()
	<-h.demand.first
	h.bind(2)
	if got := <-done; got.problem.Code != codeNoRegion || got.problem.Outcome != attempt.OutcomeNotRun {
		t.Errorf("%d %+v", got.status, got.problem)
	}
}
