package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const gib = int64(1) << 30

func model(name string) fleet.ModelVersion { return fleet.ModelVersion{Model: name, Version: "1"} }

// harness is a core with held engines of 40 GiB each.
type harness struct {
	t         *testing.T
	core      *Core
	now       time.Time
	states    map[fleet.BackendName]fleet.EngineState
	lastQuery uint64
	models    []catalog.ModelInfo
	limits    map[fleet.ModelVersion]int
}

func newHarness(t *testing.T, engines int, models ...catalog.ModelInfo) *harness {
	settings := DefaultSettings()
	settings.StoreLoadsPerSecond, settings.StoreConcurrency = 1000, 1000
	return newHarnessWith(t, settings, engines, models...)
}

func newHarnessWith(t *testing.T, settings Settings, engines int, models ...catalog.ModelInfo) *harness {
	r := &harness{
		t: t, core: New(Options{Settings: settings}), now: start,
		states: make(map[fleet.BackendName]fleet.EngineState),
		models: models, limits: make(map[fleet.ModelVersion]int),
	}
	for index := range engines {
		name := fleet.BackendName(fmt.Sprintf("e%d", index))
		r.states[name] = fleet.EngineState{
			Backend: fleet.Backend{Name: name, Rack: fmt.Sprintf("r%d", index%2)}, Incarnation: 1, Fence: 1, MemoryBytes: 40 * gib,
		}
	}
	for _, info := range models {
		r.limits[info.Model] = info.MaxReplicas
	}
	r.core.Step(r.now, CatalogChanged{Models: models, ColdStartWeight: 0.5})
	r.core.Step(r.now, LimitsChanged{Limits: r.limits, Zones: 1})
	r.now = r.now.Add(time.Second)
	return r
}

func (r *harness) begin() []Effect {
	return r.core.Step(r.now, RoundBegan{Fence: 1, Held: r.states})
}

func (r *harness) wait(span time.Duration) []Effect {
	r.now = r.now.Add(span)
	return r.core.Step(r.now, Tick{})
}

func (r *harness) want(name string, waiting, priority int) []Effect {
	return r.core.Step(r.now, WantsReported{Wants: []fleet.Want{{
		Model: model(name), Node: "n", Waiting: waiting, Arrivals: 1, Priority: priority, Deadline: r.now.Add(time.Minute),
	}}})
}

// showState sets the models of an engine and passes its state to the core.
func (r *harness) showState(name fleet.BackendName, models ...fleet.LoadedModel) []Effect {
	state := r.states[name]
	state.Models = models
	r.states[name] = state
	r.lastQuery++
	return r.core.Step(r.now, EngineStateReceived{QuerySequence: r.lastQuery, State: state})
}

func ready(name string, since time.Time) fleet.LoadedModel {
	return fleet.LoadedModel{Model: model(name), State: fleet.LoadReady, Bytes: 14 * gib, ReadySince: since}
}

func modelInfo(name string, maxReplicas int) catalog.ModelInfo {
	return catalog.ModelInfo{Model: model(name), MemoryBytes: 14 * gib, CheckpointBytes: 14 * gib, MaxReplicas: maxReplicas}
}

// orders returns "action model engine" for each order sent.
func orders(effects []Effect) []string {
	var sent []string
	for _, effect := range effects {
		if order, found := effect.(SendOrder); found {
			sent = append(sent, fmt.Sprintf("%s %s %s", order.Order.Action, order.Order.Model.Model, order.Engine))
		}
	}
	return sent
}

func (r *harness) expect(effects []Effect, want ...string) {
	r.t.Helper()
	if difference := cmp.Diff(want, orders(effects)); difference != "" {
		r.t.Errorf("orders (-want +got):\n%s", difference)
	}
}

func TestLoadGoesWhereTheCheckpointIsNearest(t *testing.T) {
	r := newHarness(t, 3, modelInfo("a", 1))
	state := r.states["e1"]
	state.Tiers = map[fleet.ModelVersion]fleet.Tier{model("a"): fleet.TierDisk}
	r.states["e1"] = state
	r.begin()
	r.expect(r.want("a", 1, 0), "load a e1")
	r.expect(r.want("a", 5, 0))
}

func TestReplicasSpreadOverRacks(t *testing.T) {
	r := newHarness(t, 3, modelInfo("a", 2))
	r.begin()
	r.showState("e0", ready("a", r.now))
	r.expect(r.want("a", 100, 0), "load a e1")
}

func TestEngineNotHeldCountsAsFull(t *testing.T) {
	r := newHarness(t, 2, modelInfo("a", 1))
	r.core.Step(r.now, RoundBegan{Fence: 1, Held: r.states, AssumedFull: []fleet.BackendName{"e9"}})
	r.expect(r.want("a", 1, 0))
	r.expect(r.core.Step(r.now, EnginesGone{Engines: []fleet.BackendName{"e9"}}), "load a e0")
}

func TestLostOrderStaysInFlightUntilShownOrANewRound(t *testing.T) {
	r := newHarness(t, 2, modelInfo("a", 1))
	r.begin()
	r.expect(r.want("a", 1, 0), "load a e0")
	r.expect(r.showState("e0"))
	requested := false
	for range 8 {
		r.want("a", 1, 0)
		for _, effect := range r.wait(500 * time.Millisecond) {
			if _, found := effect.(RequestNewRound); found {
				requested = true
			}
		}
	}
	if !requested {
		t.Error("no new round was requested")
	}
	r.core.Step(r.now, RoundEnded{})
	r.expect(r.begin(), "load a e0")
}

func TestAcceptedOrderIsHeldAgainstAnOlderState(t *testing.T) {
	r := newHarness(t, 2, modelInfo("a", 1))
	r.begin()
	var id string
	for _, effect := range r.want("a", 1, 0) {
		if order, found := effect.(SendOrder); found {
			id = order.Order.ID
		}
	}
	r.core.Step(r.now, OrderAnswered{ID: id, Result: OrderAccepted, QuerySequence: 5})
	r.lastQuery = 2
	r.expect(r.showState("e0"))
	r.expect(r.want("a", 1, 0))
}

func TestUrgentModelsLoadFirstWithinTheStoresRate(t *testing.T) {
	settings := DefaultSettings()
	settings.StoreLoadsPerSecond, settings.StoreConcurrency = 1, 1
	r := newHarnessWith(t, settings, 3, modelInfo("a", 1), modelInfo("b", 1), modelInfo("c", 1))
	r.core.Step(r.now, WantsReported{Wants: []fleet.Want{
		{Model: model("a"), Node: "n", Waiting: 1, Deadline: r.now.Add(time.Minute)},
		{Model: model("b"), Node: "n", Waiting: 1, Priority: 9, Deadline: r.now.Add(time.Minute)},
		{Model: model("c"), Node: "n", Waiting: 1, Deadline: r.now.Add(time.Second)},
	}})
	r.expect(r.begin(), "load b e0")
	r.expect(r.wait(time.Second))
	r.expect(r.showState("e0", ready("b", r.now)), "load c e1")
	r.expect(r.showState("e1", ready("c", r.now)))
	r.expect(r.wait(time.Second), "load a e2")
}

func TestColdestModelIsEvictedAndStandingCapacityKept(t *testing.T) {
	standing := modelInfo("s", 1)
	standing.MinReplicas = 1
	r := newHarness(t, 1, modelInfo("a", 1), modelInfo("b", 1), standing)
	r.core.Step(r.now, LimitsChanged{Limits: r.limits, Standing: map[fleet.ModelVersion]int{model("s"): 1}, Zones: 1})
	r.begin()
	r.showState("e0", ready("a", r.now), ready("s", r.now))
	r.wait(time.Minute)
	r.expect(r.want("b", 1, 0), "unload a e0")
	r.expect(r.showState("e0", ready("s", r.now)), "load b e0")
}

func TestModelIsUnloadedAfterItsOwnIdleTimes(t *testing.T) {
	cases := []struct {
		gap, kept, gone time.Duration
	}{
		{2 * time.Minute, 110 * time.Second, 25 * time.Minute},
		{30 * time.Minute, 29 * time.Minute, time.Hour},
	}
	for _, test := range cases {
		r := newHarness(t, 1, modelInfo("a", 1))
		r.begin()
		for range 10 {
			r.want("a", 0, 0)
			r.now = r.now.Add(test.gap)
		}
		r.want("a", 0, 0)
		r.showState("e0", ready("a", r.now.Add(-time.Minute)))
		r.expect(r.wait(test.kept))
		r.expect(r.wait(test.gone-test.kept), "unload a e0")
	}
}

func TestModelWithATimetableIsLoadedAhead(t *testing.T) {
	for _, servedHere := range []bool{true, false} {
		r := newHarness(t, 1, modelInfo("a", 1))
		state := r.states["e0"]
		state.Tiers = map[fleet.ModelVersion]fleet.Tier{model("a"): fleet.TierDisk}
		r.states["e0"] = state
		r.begin()
		if servedHere {
			r.showState("e0", ready("a", r.now))
		}
		for range 10 {
			r.want("a", 0, 0)
			r.now = r.now.Add(time.Hour)
		}
		r.expect(r.want("a", 0, 0))
		r.now = r.now.Add(20 * time.Minute)
		r.expect(r.showState("e0"))
		effects := r.wait(39 * time.Minute)
		if servedHere {
			r.expect(effects, "load a e0")
		} else {
			r.expect(effects)
		}
	}
}

func TestLoadsOfOneModelAreBounded(t *testing.T) {
	r := newHarness(t, 1, modelInfo("a", 1), modelInfo("b", 1), modelInfo("c", 1))
	r.begin()
	loads := 0
	for range 600 {
		for _, name := range []string{"a", "b", "c"} {
			effects := r.want(name, 1, 0)
			effects = append(effects, r.want(name, 0, 0)...)
			for _, effect := range effects {
				sent, found := effect.(SendOrder)
				if !found {
					continue
				}
				if sent.Order.Action == backend.ActionLoad {
					loads++
				}
				r.core.Step(r.now, OrderAnswered{ID: sent.Order.ID, Result: OrderAccepted, QuerySequence: r.lastQuery})
				r.showState("e0", r.apply(sent.Order)...)
			}
			r.now = r.now.Add(time.Second)
		}
	}
	// For half an hour, three models compete for memory that holds two.
	if loads > 60 {
		t.Errorf("%d loads in 30 minutes", loads)
	}
}

// apply returns the models of the engine after the order.
func (r *harness) apply(order backend.Order) []fleet.LoadedModel {
	var models []fleet.LoadedModel
	for _, loaded := range r.states["e0"].Models {
		if loaded.Model != order.Model {
			models = append(models, loaded)
		}
	}
	if order.Action == backend.ActionLoad {
		models = append(models, ready(order.Model.Model, r.now))
	}
	return models
}

func TestLoadThatNeverEndsIsTriedElsewhere(t *testing.T) {
	r := newHarness(t, 2, modelInfo("a", 1))
	r.begin()
	r.showState("e0", fleet.LoadedModel{Model: model("a"), State: fleet.LoadLoading, Bytes: 14 * gib})
	r.expect(r.wait(time.Minute))
	r.expect(r.wait(2*time.Minute), "unload a e0")
	r.showState("e0")
	r.expect(r.want("a", 1, 0), "load a e1")
}

func TestAdapterIsLoadedBesideItsModel(t *testing.T) {
	r := newHarness(t, 1, modelInfo("a", 1))
	r.core.Step(r.now, CatalogChanged{Models: r.models, Adapters: []catalog.AdapterInfo{{Adapter: "x", Model: "a", MemoryBytes: gib}}})
	r.begin()
	r.showState("e0", ready("a", r.now))
	effects := r.core.Step(r.now, WantsReported{Wants: []fleet.Want{{Model: model("a"), Adapter: "x", Node: "n", Waiting: 1}}})
	r.expect(effects, "load-adapter a e0")
}

func TestMemoryOfOrdersInFlightIsNotGivenTwice(t *testing.T) {
	large := modelInfo("a", 1)
	large.MemoryBytes = 30 * gib
	other := modelInfo("b", 1)
	other.MemoryBytes = 30 * gib
	r := newHarness(t, 1, large, other)
	r.begin()
	r.expect(r.want("a", 1, 0), "load a e0")
	effects := r.want("b", 1, 0)
	r.expect(effects)
	refused := false
	for _, effect := range effects {
		if refusal, found := effect.(Refuse); found && refusal.Refusal.Model == model("b") && refusal.Refusal.RetryAfter > 0 {
			refused = true
		}
	}
	if !refused {
		t.Error("the model that does not fit into memory was not refused at once")
	}
}

func (r *harness) wantAdapter(name string, adapter fleet.AdapterName) []Effect {
	return r.core.Step(r.now, WantsReported{Wants: []fleet.Want{{
		Model: model(name), Adapter: adapter, Node: "n", Waiting: 1, Arrivals: 1, Deadline: r.now.Add(time.Minute),
	}}})
}

func newAdapterHarness(t *testing.T) *harness {
	r := newHarness(t, 1, modelInfo("a", 1), modelInfo("b", 1))
	r.core.Step(r.now, CatalogChanged{
		Models: r.models, Adapters: []catalog.AdapterInfo{{Adapter: "x", Model: "a", MemoryBytes: 14 * gib}},
	})
	r.begin()
	return r
}

func TestAdapterWithoutRoomEvicts(t *testing.T) {
	r := newAdapterHarness(t)
	r.showState("e0", ready("a", r.now), ready("b", r.now))
	r.now = r.now.Add(time.Minute)
	r.expect(r.wantAdapter("a", "x"), "unload b e0")
	r.expect(r.showState("e0", ready("a", start)), "load-adapter a e0")
}

func TestAdapterThatLoadsIsNotOrderedAgain(t *testing.T) {
	r := newAdapterHarness(t)
	r.showState("e0", ready("a", r.now))
	effects := r.wantAdapter("a", "x")
	r.expect(effects, "load-adapter a e0")
	id := effects[0].(SendOrder).Order.ID
	r.lastQuery++
	r.expect(r.core.Step(r.now, OrderAnswered{ID: id, Result: OrderAccepted, QuerySequence: r.lastQuery}))
	r.expect(r.showState("e0", ready("a", start)))
	r.now = r.now.Add(adapterLoadTimeout)
	r.expect(r.wantAdapter("a", "x"))
	r.expect(r.showState("e0", ready("a", start)), "load-adapter a e0")
}
