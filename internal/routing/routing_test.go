package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

var (
	epoch = time.Unix(1_000_000_000, 0)
	notes = fleet.ModelVersion{Model: "notes", Version: "v1"}
)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func engine(name string, zone fleet.Zone, running int) fleet.EngineState {
	return fleet.EngineState{
		Backend:     fleet.Backend{Name: fleet.BackendName(name), Kind: fleet.KindEngine, Zone: zone, Address: name},
		Incarnation: 1,
		Models:      []fleet.LoadedModel{{Model: notes, State: fleet.LoadReady}},
		Report:      fleet.LoadReport{Running: running},
	}
}

func tables(engines ...fleet.EngineState) Tables {
	return Tables{Tables: []fleet.RouteTable{{Zone: "a", Engines: engines}}}
}

// driver assigns tickets and returns the names of the picked back ends.
type driver struct {
	core *Core
	next Ticket
}

func newDriver(options Options, now time.Time, engines ...fleet.EngineState) *driver {
	options.Zone = "a"
	d := &driver{core: New(options)}
	d.core.Step(now, tables(engines...))
	return d
}

func (d *driver) pick(now time.Time, change func(*Pick)) (Ticket, string) {
	d.next++
	pick := Pick{Ticket: d.next, Model: notes}
	if change != nil {
		change(&pick)
	}
	for _, effect := range d.core.Step(now, pick) {
		if picked, isPicked := effect.(Picked); isPicked {
			return d.next, string(picked.Backend.Name)
		}
	}
	return d.next, ""
}

func (d *driver) fail(now time.Time, result Result) {
	ticket, _ := d.pick(now, nil)
	d.core.Step(now, Ended{Ticket: ticket, Result: result})
}

func TestFilter(t *testing.T) {
	leaving := engine("e1", "a", 0)
	leaving.Leaving = true
	loading := engine("e1", "a", 0)
	loading.Models[0].State = fleet.LoadLoading
	danish := engine("e2", "a", 9)
	danish.Models[0].Adapters = []fleet.AdapterName{"danish"}
	tests := map[string]struct {
		engines []fleet.EngineState
		change  func(*Pick)
		want    string
	}{
		"leaving":                          {[]fleet.EngineState{leaving, engine("e2", "a", 9)}, nil, "e2"},
		"all leaving":                      {[]fleet.EngineState{leaving}, nil, ""},
		"loading":                          {[]fleet.EngineState{loading, engine("e2", "a", 9)}, nil, "e2"},
		"adapter resident":                 {[]fleet.EngineState{engine("e1", "a", 0), danish}, func(p *Pick) { p.Adapter = "danish" }, "e2"},
		"adapter nowhere":                  {[]fleet.EngineState{engine("e1", "a", 0)}, func(p *Pick) { p.Adapter = "danish" }, ""},
		"failed there before":              {[]fleet.EngineState{engine("e1", "a", 0), engine("e2", "a", 9)}, func(p *Pick) { p.Exclude = []fleet.BackendName{"e1"} }, "e2"},
		"failed everywhere before":         {[]fleet.EngineState{engine("e1", "a", 0)}, func(p *Pick) { p.Exclude = []fleet.BackendName{"e1"} }, "e1"},
		"less loaded":                      {[]fleet.EngineState{engine("e1", "a", 8), engine("e2", "a", 1)}, nil, "e2"},
		"own zone first":                   {[]fleet.EngineState{engine("e1", "b", 0), engine("e2", "a", 0)}, nil, "e2"},
		"another zone when that is sooner": {[]fleet.EngineState{engine("e1", "b", 0), engine("e2", "a", 9)}, nil, "e1"},
		"another model is not this model":  {[]fleet.EngineState{engine("e1", "a", 0)}, func(p *Pick) { p.Model.Version = "v2" }, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(Options{}, epoch, test.engines...)
			if _, got := d.pick(epoch, test.change); got != test.want {
				t.Errorf("picked %q", got)
			}
		})
	}
}

func TestLeavingHeardApartFromTheTable(t *testing.T) {
	for _, defects := range []Defects{{}, {IgnoreLeaving: true}} {
		d := newDriver(Options{Defects: defects}, epoch, engine("e1", "a", 0))
		d.core.Step(epoch, Leaving{Backends: []fleet.BackendName{"e1"}})
		_, got := d.pick(epoch, nil)
		if sent := got != ""; sent != defects.IgnoreLeaving {
			t.Errorf("%+v: picked %q", defects, got)
		}
	}
}

func TestCircuit(t *testing.T) {
	d := newDriver(Options{}, epoch, engine("e1", "a", 0))
	d.fail(epoch, ResultFailed)
	d.fail(epoch, ResultFailed)
	if _, got := d.pick(epoch, nil); got != "e1" {
		t.Fatal("circuit opened too early")
	}
	d.fail(epoch, ResultFailed)
	if _, got := d.pick(epoch, nil); got != "" {
		t.Fatal("circuit still closed after three consecutive failures")
	}
	probeAt := d.core.NextWake()
	if effects := d.core.Step(probeAt, Tick{}); len(effects) != 1 {
		t.Fatalf("the end of the open interval is not announced: %v", effects)
	}
	probe, got := d.pick(probeAt, nil)
	if _, second := d.pick(probeAt, nil); got != "e1" || second != "" {
		t.Fatalf("the half-open circuit let %q and %q through", got, second)
	}
	d.core.Step(probeAt, FirstToken{Ticket: probe})
	if _, got := d.pick(probeAt, nil); got != "e1" {
		t.Fatal("circuit still open after a successful probe")
	}
}

func TestUnreachableOpensAtOnceAndLonger(t *testing.T) {
	d := newDriver(Options{}, epoch, engine("e1", "a", 0))
	now, former := epoch, time.Duration(0)
	for range 4 {
		d.fail(now, ResultUnreachable)
		open := d.core.NextWake().Sub(now)
		if open < former/2 || open <= 0 {
			t.Fatalf("open for %v, after %v before", open, former)
		}
		former = open
		now = d.core.NextWake()
		d.core.Step(now, Tick{})
	}
	if former < circuitOpenMin {
		t.Errorf("open for only %v after four failures", former)
	}
}

// TestWideFaultEjectsAFewOnly: if every engine fails for long, most stay in use. Without the cap
// all would be ejected.
func TestWideFaultEjectsAFewOnly(t *testing.T) {
	for _, defects := range []Defects{{}, {NoEjectionCap: true}} {
		var engines []fleet.EngineState
		for index := range 6 {
			engines = append(engines, engine(fmt.Sprint("e", index), "a", 0))
		}
		d := newDriver(Options{Defects: defects}, epoch, engines...)
		for _, target := range d.core.byModel[notes] {
			for range 3 * minSamples {
				target.health.addResult(epoch, true)
			}
		}
		left := len(d.core.Capacity(epoch, notes).Replicas)
		if !defects.NoEjectionCap && left < 4 || defects.NoEjectionCap && left != 0 {
			t.Errorf("%+v: %d of 6 engines left", defects, left)
		}
	}
}

func TestSlowOutlierIsEjectedForATime(t *testing.T) {
	d := newDriver(Options{}, epoch, engine("e1", "a", 0), engine("e2", "a", 0), engine("e3", "a", 0))
	for range 20 * minSamples {
		ticket, name := d.pick(epoch, nil)
		after := 50 * time.Millisecond
		if name == "e2" {
			after = 3 * time.Second
		}
		d.core.Step(epoch, FirstToken{Ticket: ticket, After: after})
		d.core.Step(epoch, Ended{Ticket: ticket, Result: ResultOK})
	}
	if capacity := d.core.Capacity(epoch, notes); capacity.Ready != 3 || len(capacity.Replicas) != 2 {
		t.Errorf("%d ready, %d in use", capacity.Ready, len(capacity.Replicas))
	}
	if capacity := d.core.Capacity(epoch.Add(ejectionTime), notes); len(capacity.Replicas) != 3 {
		t.Errorf("%d in use after the ejection", len(capacity.Replicas))
	}
}

func TestRoomFollowsReportsAndOwnRequests(t *testing.T) {
	d := newDriver(Options{EngineSlots: 8}, epoch, engine("e1", "a", 2))
	free := func(now time.Time) int { return d.core.Capacity(now, notes).Replicas[0].FreeSlots }
	if got := free(epoch); got != 6 {
		t.Fatalf("free %d, want 6", got)
	}
	ticket, _ := d.pick(at(0.1), nil)
	if got := free(at(0.1)); got != 5 {
		t.Errorf("own request not counted: free %d", got)
	}
	shown := engine("e1", "a", 3)
	shown.Report.AsOf = at(1)
	d.core.Step(at(1), tables(shown))
	if got := free(at(1)); got != 5 {
		t.Errorf("own request counted in addition to the report that includes it: free %d", got)
	}
	d.core.Step(at(1.1), Ended{Ticket: ticket, Result: ResultOK})
	if got := free(at(1.1)); got != 6 {
		t.Errorf("end not counted: free %d", got)
	}
	full := engine("e1", "a", 4)
	full.Report.AsOf, full.Report.Waiting = at(2), 3
	d.core.Step(at(2), tables(full))
	if capacity := d.core.Capacity(at(2), notes); capacity.Slots != 4 || capacity.Replicas[0].FreeSlots != 0 {
		t.Errorf("an engine with a queue is not full: %+v", capacity)
	}
	if got := free(at(9)); got < 1 {
		t.Errorf("a stale report blocks requests: free %d", got)
	}
}

func TestPrefixHolderIsPreferredUntilItIsLoaded(t *testing.T) {
	var engines []fleet.EngineState
	for index := range 8 {
		engines = append(engines, engine(fmt.Sprint("e", index), "a", 0))
	}
	d := newDriver(Options{EngineSlots: 64}, epoch, engines...)
	prompt := func(p *Pick) { p.Prefix = []uint64{1, 2, 3, 4, 5, 6, 7, 8} }
	ticket, holder := d.pick(epoch, prompt)
	d.core.Step(epoch, Ended{Ticket: ticket, Result: ResultOK})
	for range 3 {
		if _, got := d.pick(epoch, prompt); got != holder {
			t.Fatalf("picked %s, want %s, which has the blocks cached", got, holder)
		}
	}
	elsewhere := 0
	for range 40 {
		if _, got := d.pick(epoch, prompt); got != holder {
			elsewhere++
		}
	}
	if elsewhere == 0 {
		t.Error("all requests go to the engine with the prefix, whatever its load")
	}
}

func TestFreshReplicaStartsSlowly(t *testing.T) {
	d := newDriver(Options{EngineSlots: 100}, epoch, engine("e1", "a", 0))
	d.core.Step(at(1), tables(engine("e1", "a", 0), engine("e2", "a", 0)))
	// e2 was not known before and may have been ready for long; e3 is seen to become ready.
	loading := engine("e3", "a", 0)
	loading.Models[0].State = fleet.LoadLoading
	d.core.Step(at(2), tables(engine("e1", "a", 0), loading))
	d.core.Step(at(3), tables(engine("e1", "a", 0), engine("e3", "a", 0)))
	share := func(now time.Time) (fresh int) {
		for range 50 {
			if _, name := d.pick(now, nil); name == "e3" {
				fresh++
			}
		}
		return fresh
	}
	if atStart := share(at(3)); atStart > 15 {
		t.Errorf("%d of 50 requests go to a replica that has just become ready", atStart)
	}
	if afterSlowStart := share(at(3).Add(DefaultSlowStart)); afterSlowStart < 25 {
		t.Errorf("%d of 50 requests go to it after the slow start", afterSlowStart)
	}
}

// TestStaleReportsDoNotHerd: ten nodes share one stale report in which one engine looks idle. The
// best of two, corrected by own requests, spreads the load. Trusting the report and picking the
// best sends all requests to that engine.
func TestStaleReportsDoNotHerd(t *testing.T) {
	mostLoaded := func(defects Defects) int {
		counts := map[string]int{}
		for node := range 10 {
			engines := []fleet.EngineState{engine("idle", "a", 0)}
			for index := range 7 {
				engines = append(engines, engine(fmt.Sprint("e", index), "a", 2))
			}
			d := newDriver(Options{Seed: uint64(node), Defects: defects}, epoch, engines...)
			for range 16 {
				_, name := d.pick(at(0.1), nil)
				counts[name]++
			}
		}
		most := 0
		for _, count := range counts {
			most = max(most, count)
		}
		return most
	}
	spread, herd := mostLoaded(Defects{}), mostLoaded(Defects{TrustReports: true, FirstBest: true})
	if spread > 60 || herd != 160 {
		t.Errorf("the most loaded of 8 engines gets %d of 160 requests, with the defect %d", spread, herd)
	}
	t.Logf("most loaded of 8 engines: %d of 160 requests, with the defect %d", spread, herd)
}

func TestVersionsByWeight(t *testing.T) {
	d := newDriver(Options{Seed: 7}, epoch)
	versions := []WeightedVersion{{Model: notes, Weight: 9}, {Model: fleet.ModelVersion{Model: "notes", Version: "v2"}, Weight: 1}}
	second := 0
	for range 1000 {
		if d.core.ChooseVersion(versions).Version == "v2" {
			second++
		}
	}
	if second < 70 || second > 130 {
		t.Errorf("%d of 1000 drawn for a weight of 10%%", second)
	}
}

func TestServicesOwnZoneFirst(t *testing.T) {
	core := New(Options{Zone: "a"})
	services := []fleet.Backend{
		{Name: "s1", Kind: fleet.KindService, Zone: "b", Service: "turbines"},
		{Name: "s2", Kind: fleet.KindService, Zone: "a", Service: "turbines"},
		{Name: "s3", Kind: fleet.KindService, Zone: "a", Service: "turbines", Leaving: true},
	}
	core.Step(epoch, Tables{Tables: []fleet.RouteTable{{Zone: "a", Services: services}}})
	for ticket := range Ticket(10) {
		picked := core.Step(epoch, PickService{Ticket: ticket, Service: "turbines"})[0].(Picked)
		if picked.Backend.Name != "s2" {
			t.Fatalf("picked %s", picked.Backend.Name)
		}
	}
	picked := core.Step(epoch, PickService{Ticket: 99, Service: "turbines", Exclude: []fleet.BackendName{"s2"}})[0].(Picked)
	if picked.Backend.Name != "s1" {
		t.Errorf("after a failure in the own zone picked %s", picked.Backend.Name)
	}
}

func BenchmarkPick(b *testing.B) {
	b.ReportAllocs()
	var engines []fleet.EngineState
	for index := range 18 {
		engines = append(engines, engine(fmt.Sprint("e", index), "a", index%4))
	}
	d := newDriver(Options{}, epoch, engines...)
	for b.Loop() {
		ticket, _ := d.pick(epoch, nil)
		d.core.Step(epoch, Ended{Ticket: ticket, Result: ResultOK})
	}
}

// TestSlotsAreNotLearntFromOneThatWaits: new requests wait for the next iteration even at an engine
// that is far from full.
func TestSlotsAreNotLearntFromOneThatWaits(t *testing.T) {
	d := newDriver(Options{EngineSlots: 16}, epoch, engine("e1", "a", 2))
	reports := []struct{ running, waiting, slots int }{
		{5, 1, 16},
		{16, 1, 18},
		{30, 0, 33},
		{32, 3, 33},
		{32, 9, 32},
	}
	for index, report := range reports {
		now := at(float64(index + 1))
		shown := engine("e1", "a", report.running)
		shown.Report.AsOf, shown.Report.Waiting = now, report.waiting
		d.core.Step(now, tables(shown))
		if got := d.core.Capacity(now, notes).Slots; got != report.slots {
			t.Errorf("%d running and %d waiting: %d slots, want %d", report.running, report.waiting, got, report.slots)
		}
	}
}

// TestSuccessEjectsNoOne: an engine that recovers from an outage is not ejected for earlier
// failures.
func TestSuccessEjectsNoOne(t *testing.T) {
	var health health
	for range minSamples - 1 {
		health.addResult(epoch, true)
	}
	health.addResult(epoch, false)
	if health.ejectedUntil.After(epoch) {
		t.Error("ejected after a success")
	}
	health.addResult(epoch, true)
	if !health.ejectedUntil.After(epoch) {
		t.Error("not ejected after failures above the limit")
	}
}

// TestSuspectsGoTogether: nodes that know the same engines send picks with the same key to the same
// engine, even if another has less load, and spread different keys.
func TestSuspectsGoTogether(t *testing.T) {
	engines := []fleet.EngineState{engine("e1", "a", 0), engine("e2", "b", 9), engine("e3", "a", 2), engine("e4", "b", 1)}
	picked := make(map[string]bool)
	for key := range uint64(40) {
		with := func(pick *Pick) { pick.ColocationKey = key + 1 }
		_, first := newDriver(Options{Seed: 1}, epoch, engines...).pick(epoch, with)
		for seed := range uint64(5) {
			d := newDriver(Options{Seed: seed}, epoch, engines...)
			d.pick(epoch, nil)
			if _, got := d.pick(epoch, with); got != first {
				t.Fatalf("key %d: %q and %q", key, first, got)
			}
		}
		picked[first] = true
		without := func(pick *Pick) {
			pick.ColocationKey, pick.Exclude = key+1, []fleet.BackendName{fleet.BackendName(first)}
		}
		if _, got := newDriver(Options{}, epoch, engines...).pick(epoch, without); got == first || got == "" {
			t.Errorf("key %d: %q was picked again, or none (%q)", key, first, got)
		}
	}
	if len(picked) != len(engines) {
		t.Errorf("only %v were picked", picked)
	}
}
