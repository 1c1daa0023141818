package catalog

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/spec"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

func object(t testing.TB, kind spec.Kind, name string, labels map[string]string, declared any) objectstore.Object {
	t.Helper()
	raw, err := json.Marshal(declared)
	if err != nil {
		t.Fatal(err)
	}
	return objectstore.Object{Kind: string(kind), Name: name, Labels: labels, Version: 1, Spec: raw}
}

func matching(key, value string) spec.LabelSelector {
	return spec.LabelSelector{MatchLabels: map[string]string{key: value}}
}

// reportObjects returns a small valid set of declarations of most kinds.
func reportObjects(t testing.TB) []objectstore.Object {
	return []objectstore.Object{
		object(t, spec.KindModel, "report", nil, spec.Model{
			Versions:      []spec.ModelVersion{{Name: "v1", Memory: 10, Checkpoint: 9}, {Name: "v2", Memory: 12, Checkpoint: 11}},
			ContextTokens: 4096,
			Replicas:      spec.ReplicaBounds{Min: 1, Max: 4},
		}),
		object(t, spec.KindModel, "chat", nil, spec.Model{Versions: []spec.ModelVersion{{Name: "v1", Memory: 3}}}),
		object(t, spec.KindAdapter, "insurer", nil, spec.Adapter{Model: "report", Memory: 2}),
		object(t, spec.KindDeployment, "report-certified", map[string]string{"use": "report"}, spec.Deployment{
			Model: "report", Adapter: "insurer", Versions: []spec.WeightedVersion{{Name: "v1", Weight: 90}, {Name: "v2", Weight: 10}},
		}),
		object(t, spec.KindDeployment, "report-plain", map[string]string{"use": "report"}, spec.Deployment{
			Model: "report", Versions: []spec.WeightedVersion{{Name: "v2"}},
		}),
		object(t, spec.KindDeployment, "chat", map[string]string{"use": "chat"}, spec.Deployment{Model: "chat"}),
		object(t, spec.KindSelector, "owners", nil, spec.Selector{
			Match: matching("tenant", "owner"), Deployments: matching("use", "report"), Priority: 3, Deadline: spec.Duration(time.Minute),
		}),
		object(t, spec.KindSelector, "owners-night", nil, spec.Selector{
			Match:       spec.LabelSelector{MatchLabels: map[string]string{"tenant": "owner", "shift": "night"}},
			Deployments: matching("use", "chat"), Priority: 7,
		}),
		object(t, spec.KindSelector, "stopped", nil, spec.Selector{
			Match: matching("stopped", "yes"), Deployments: matching("use", "none"), Precedence: 5,
		}),
		object(t, spec.KindService, "turbines", nil, spec.Service{PathPrefix: "/turbines/", Repeatable: []string{"PUT"}}),
		object(t, spec.KindService, "pings", nil, spec.Service{PathPrefix: "/turbines/ping", Deadline: spec.Duration(time.Second)}),
		object(t, spec.KindCapacity, "keep-reports", nil, spec.Capacity{Deployments: matching("use", "report"), Replicas: 2}),
		{Kind: objectstore.KindAllotments, Name: "fleet", Version: 3},
	}
}

func mustCompile(t testing.TB, objects []objectstore.Object) *Snapshot {
	t.Helper()
	snapshot, problems := Compile(9, objects)
	if len(problems) > 0 {
		t.Fatalf("problems: %v", problems)
	}
	return snapshot
}

func TestModelRoute(t *testing.T) {
	snapshot := mustCompile(t, reportObjects(t))
	cases := []struct {
		name       string
		labels     map[string]string
		selector   string
		deployment fleet.DeploymentName
		priority   int
		deadline   time.Duration
	}{
		{"first by name", map[string]string{"tenant": "owner"}, "owners", "report-certified", 3, time.Minute},
		{"named among several", map[string]string{"tenant": "owner", "model": "report-plain"}, "owners", "report-plain", 3, time.Minute},
		{"named outside the selector", map[string]string{"tenant": "owner", "model": "chat"}, "owners", "report-certified", 3, time.Minute},
		{"more conditions", map[string]string{"tenant": "owner", "shift": "night"}, "owners-night", "chat", 7, DefaultModelDeadline},
		{"no selector", map[string]string{"model": "report-plain"}, "", "report-plain", 0, DefaultModelDeadline},
	}
	for _, testCase := range cases {
		t.Run(testCase.name, func(t *testing.T) {
			route, found := snapshot.ModelRoute(testCase.labels)
			if !found || route.Selector != testCase.selector || route.Deployment != testCase.deployment ||
				route.Priority != testCase.priority || route.Deadline != testCase.deadline {
				t.Errorf("got %+v, %v", route, found)
			}
		})
	}
	for name, labels := range map[string]map[string]string{
		"unknown model":                 {"model": "unknown"},
		"selector without a deployment": {"tenant": "owner", "stopped": "yes", "model": "chat"},
		"no labels":                     {},
	} {
		if route, found := snapshot.ModelRoute(labels); found {
			t.Errorf("%s: got %+v", name, route)
		}
	}
}

// TestFiledSelectorsMatchLikeTheirList compares the lookup in the index of selectors
// with the evaluation of all selectors in order.
func TestFiledSelectorsMatchLikeTheirList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		labels := rapid.MapOfN(rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"", "1", "2"}), 0, 3)
		var objects []objectstore.Object
		for index := range rapid.IntRange(0, 12).Draw(t, "selectors") {
			match := spec.LabelSelector{MatchLabels: labels.Draw(t, "match")}
			if rapid.Bool().Draw(t, "exists") {
				match.MatchExpressions = []spec.Requirement{{Key: "b", Operator: spec.OperatorExists}}
			}
			raw, err := json.Marshal(spec.Selector{Match: match, Precedence: rapid.IntRange(0, 2).Draw(t, "precedence")})
			if err != nil {
				t.Fatal(err)
			}
			objects = append(objects, objectstore.Object{Kind: string(spec.KindSelector), Name: fmt.Sprint(index), Version: 1, Spec: raw})
		}
		snapshot, _ := Compile(1, objects)
		request := labels.Draw(t, "request")
		var want *selector
		for index := range snapshot.selectors {
			if snapshot.selectors[index].Match.Matches(request) {
				want = &snapshot.selectors[index]
				break
			}
		}
		if got := snapshot.firstMatching(request); got != want {
			t.Errorf("got %v, want %v", got, want)
		}
	})
}

func TestModelRouteGivesVersionsAdapterAndContext(t *testing.T) {
	snapshot := mustCompile(t, reportObjects(t))
	route, _ := snapshot.ModelRoute(map[string]string{"model": "report-certified"})
	want := ModelRoute{
		Deployment: "report-certified",
		Adapter:    "insurer",
		Versions: []WeightedModel{
			{Model: fleet.ModelVersion{Model: "report", Version: "v1"}, Weight: 90},
			{Model: fleet.ModelVersion{Model: "report", Version: "v2"}, Weight: 10},
		},
		Deadline:      DefaultModelDeadline,
		ContextTokens: 4096,
	}
	if difference := cmp.Diff(want, route); difference != "" {
		t.Error(difference)
	}
}

func TestServiceRoute(t *testing.T) {
	snapshot := mustCompile(t, reportObjects(t))
	longest, _ := snapshot.ServiceRoute("GET", "/turbines/ping/7")
	if longest.Service != "pings" || !longest.Repeatable || longest.Deadline != time.Second {
		t.Errorf("longest prefix: %+v", longest)
	}
	stop, _ := snapshot.ServiceRoute("POST", "/turbines/7/stop")
	if stop.Service != "turbines" || stop.Repeatable || stop.Deadline != defaultServiceDeadline || stop.KeyWindow != defaultKeyWindow {
		t.Errorf("POST call: %+v", stop)
	}
	if yaw, _ := snapshot.ServiceRoute("PUT", "/turbines/7/yaw"); !yaw.Repeatable {
		t.Error("a method declared as repeatable is not repeatable")
	}
	if other, found := snapshot.ServiceRoute("GET", "/slots"); found {
		t.Errorf("got %+v", other)
	}
}

func TestModelFacts(t *testing.T) {
	snapshot := mustCompile(t, reportObjects(t))
	want := []ModelInfo{
		{Model: fleet.ModelVersion{Model: "chat", Version: "v1"}, MemoryBytes: 3, MaxReplicas: 1, Priority: 7},
		{Model: fleet.ModelVersion{Model: "report", Version: "v1"}, MemoryBytes: 10, CheckpointBytes: 9,
			MinReplicas: 1, MaxReplicas: 4, StandingReplicas: 2, Priority: 3},
		{Model: fleet.ModelVersion{Model: "report", Version: "v2"}, MemoryBytes: 12, CheckpointBytes: 11,
			MinReplicas: 1, MaxReplicas: 4, StandingReplicas: 2, Priority: 3},
	}
	if difference := cmp.Diff(want, snapshot.Models()); difference != "" {
		t.Error(difference)
	}
	if weight := snapshot.Preferences().ColdStartWeight; weight != defaultColdStartWeight {
		t.Errorf("got default cold-start weight %v", weight)
	}
}

func TestCompileLeavesOutWhatCannotBeUsed(t *testing.T) {
	objects := append(reportObjects(t),
		objectstore.Object{Kind: string(spec.KindSelector), Name: "broken", Version: 4, Spec: json.RawMessage(`{"priority":"high"}`)},
		object(t, spec.KindAdapter, "orphan", nil, spec.Adapter{Model: "gone"}),
		object(t, spec.KindDeployment, "wrong-adapter", nil, spec.Deployment{Model: "chat", Adapter: "insurer"}),
		object(t, spec.KindDeployment, "wrong-version", nil, spec.Deployment{
			Model: "chat", Versions: []spec.WeightedVersion{{Name: "v9", Weight: 1}}}),
		object(t, spec.KindService, "relative", nil, spec.Service{PathPrefix: "slots"}),
		objectstore.Object{Kind: string(spec.KindDeployment), Name: "deleted", Version: 5, Deleted: true},
	)
	snapshot, problems := Compile(9, objects)
	var named []string
	for _, problem := range problems {
		named = append(named, problem.Object.Name)
	}
	want := []string{"orphan", "wrong-adapter", "wrong-version", "broken", "relative"}
	if difference := cmp.Diff(want, named); difference != "" {
		t.Error(difference)
	}
	if difference := cmp.Diff([]string{"chat", "report-certified", "report-plain"}, snapshot.ModelNames()); difference != "" {
		t.Error(difference)
	}
}

func TestCompilerTakesChangedObjectsAnew(t *testing.T) {
	objects := reportObjects(t)
	compiler := NewCompiler()
	compiler.Apply(objects)
	compiler.Snapshot(1)
	changed := object(t, spec.KindSelector, "owners", nil, spec.Selector{
		Match: matching("tenant", "owner"), Deployments: matching("use", "report"), Priority: 9,
	})
	changed.Version = 2
	objects[6] = changed
	compiler.Apply([]objectstore.Object{changed})
	incremental, _ := compiler.Snapshot(2)
	whole, _ := Compile(2, objects)
	options := cmp.AllowUnexported(Snapshot{}, selector{}, service{}, labelPair{}, locality.Map{}, routetable.Table{})
	if difference := cmp.Diff(whole, incremental, options); difference != "" {
		t.Error(difference)
	}
}
