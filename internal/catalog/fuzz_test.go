package catalog

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// FuzzCompile checks that no object in the store makes a node fail, whoever wrote it: it is
// compiled, or left out with a reason, and the snapshot contains no invalid numbers. It also
// checks that incremental compilation gives the same result.
func FuzzCompile(f *testing.F) {
	files, err := filepath.Glob("../../examples/*/*.yaml")
	if err != nil || len(files) == 0 {
		f.Fatalf("no seeds: %v", err)
	}
	for _, file := range files {
		content, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		set, _ := spec.Options{}.Parse(file, content)
		objects, err := json.Marshal(set.Objects())
		if err != nil {
			f.Fatal(err)
		}
		f.Add(objects)
	}
	for _, seed := range []string{
		`[{"kind":"Model","name":"m","spec":{"versions":[{"name":"v","memory":-1,"checkpoint":-1}],"replicas":{"min":-1,"max":-2},"contextTokens":-1}}]`,
		`[{"kind":"Model","name":"m","spec":null},{"kind":"Model","name":"","spec":{}},{"kind":"Selector","name":"s","spec":{"deadline":-5,"match":{}}}]`,
		`[{"kind":"Service","name":"s","spec":{"pathPrefix":"","deadline":"-1s","keyWindow":"-1s"}}]`,
		`[{"kind":"Preferences","name":"p","spec":{"coldStartWeight":-7}},{"kind":"Capacity","name":"c","spec":{"replicas":-3,"deployments":{}}}]`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		var objects []objectstore.Object
		if json.Unmarshal(content, &objects) != nil {
			return
		}
		whole, problems := Compile(3, objects)
		checkUsable(t, whole)
		compiler := NewCompiler()
		for _, object := range objects {
			compiler.Apply([]objectstore.Object{object})
			compiler.Snapshot(2)
		}
		stepwise, stepwiseProblems := compiler.Snapshot(3)
		if difference := cmp.Diff(problems, stepwiseProblems); difference != "" {
			t.Fatalf("problems (-whole +incremental):\n%s", difference)
		}
		if difference := cmp.Diff(whole.Models(), stepwise.Models()); difference != "" {
			t.Fatalf("models (-whole +incremental):\n%s", difference)
		}
	})
}

func checkUsable(t *testing.T, snapshot *Snapshot) {
	t.Helper()
	for _, model := range snapshot.Models() {
		if model.MemoryBytes < 0 || model.CheckpointBytes < 0 || model.MinReplicas < 0 || model.StandingReplicas < 0 ||
			model.MaxReplicas < 0 {
			t.Fatalf("%+v", model)
		}
	}
	for _, adapter := range snapshot.Adapters() {
		if adapter.MemoryBytes < 0 {
			t.Fatalf("%+v", adapter)
		}
	}
	for _, deployment := range snapshot.Deployments() {
		for _, version := range deployment.Versions {
			if _, found := snapshot.Model(version.Model); !found || version.Weight < 0 {
				t.Fatalf("%+v", deployment)
			}
		}
		labels := map[string]string{modelLabel: string(deployment.Name)}
		for key, value := range deployment.Labels {
			labels[key] = value
		}
		if route, found := snapshot.ModelRoute(labels); found && (len(route.Versions) == 0 || route.Deadline < 0) {
			t.Fatalf("%+v", route)
		}
	}
	for _, service := range snapshot.Services() {
		if route, found := snapshot.ServiceRoute("POST", service.PathPrefix+"x"); !found || route.Deadline < 0 || route.KeyWindow < 0 {
			t.Fatalf("%+v", route)
		}
	}
	if weight := snapshot.Preferences().ColdStartWeight; weight < 0 || weight > 1 {
		t.Fatalf("weight %v", weight)
	}
}
