package catalog

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// The size of fleet that the project is designed for.
const (
	benchModels    = 54
	benchAdapters  = 8_700
	benchSelectors = 200
	benchTenants   = 400
)

// fleetObjects returns the declarations of a fleet of that size.
func fleetObjects(b *testing.B) []objectstore.Object {
	b.Helper()
	var objects []objectstore.Object
	add := func(kind spec.Kind, name string, labels map[string]string, declared any) {
		added := object(b, kind, name, labels, declared)
		added.Version = uint64(len(objects) + 1)
		objects = append(objects, added)
	}
	for index := range benchModels {
		add(spec.KindModel, fmt.Sprintf("model-%02d", index), nil, spec.Model{
			Versions: []spec.ModelVersion{{Name: "v1", Memory: 14 << 30, Checkpoint: 14 << 30}, {Name: "v2", Memory: 15 << 30, Checkpoint: 15 << 30}},
			Replicas: spec.ReplicaBounds{Max: 40},
		})
	}
	for index := range benchAdapters {
		model := fmt.Sprintf("model-%02d", index%benchModels)
		add(spec.KindAdapter, fmt.Sprintf("adapter-%04d", index), nil, spec.Adapter{Model: model, Memory: 64 << 20})
		labels := map[string]string{
			"tenant": fmt.Sprintf("tenant-%03d", index%benchTenants), "tier": []string{"gold", "basic"}[index%2], "model": model,
		}
		add(spec.KindDeployment, fmt.Sprintf("deployment-%04d", index), labels, spec.Deployment{
			Model: model, Adapter: fmt.Sprintf("adapter-%04d", index),
			Versions: []spec.WeightedVersion{{Name: "v1", Weight: 95}, {Name: "v2", Weight: 5}},
		})
	}
	for index := range benchSelectors {
		tenant := fmt.Sprintf("tenant-%03d", index)
		add(spec.KindSelector, fmt.Sprintf("selector-%03d", index), nil, spec.Selector{
			Match:       matching("tenant", tenant),
			Deployments: spec.LabelSelector{MatchLabels: map[string]string{"tenant": tenant, "tier": []string{"gold", "basic"}[index%2]}},
			Priority:    index % 10, Deadline: spec.Duration(20 * time.Second),
		})
		add(spec.KindCapacity, fmt.Sprintf("capacity-%03d", index), nil, spec.Capacity{Deployments: matching("tenant", tenant), Replicas: 1})
	}
	return objects
}

func BenchmarkCompileWhole(b *testing.B) {
	objects := fleetObjects(b)
	b.ReportAllocs()
	for b.Loop() {
		if _, problems := Compile(1, objects); len(problems) > 0 {
			b.Fatal(problems)
		}
	}
}

func BenchmarkCompileAfterOneChange(b *testing.B) {
	objects := fleetObjects(b)
	first := func(kind spec.Kind) objectstore.Object {
		return objects[slices.IndexFunc(objects, func(object objectstore.Object) bool { return object.Kind == string(kind) })]
	}
	for _, kind := range []spec.Kind{spec.KindSelector, spec.KindDeployment, spec.KindAdapter} {
		b.Run(string(kind), func(b *testing.B) {
			compiler := NewCompiler()
			compiler.Apply(objects)
			compiler.Snapshot(1)
			changed := []objectstore.Object{first(kind)}
			b.ReportAllocs()
			for b.Loop() {
				compiler.Apply(changed)
				compiler.Snapshot(2)
			}
		})
	}
}

func BenchmarkModelRoute(b *testing.B) {
	snapshot, _ := Compile(1, fleetObjects(b))
	last := map[string]string{"tenant": fmt.Sprintf("tenant-%03d", benchSelectors-1), "model": "deployment-0199"}
	b.ReportAllocs()
	for b.Loop() {
		if _, found := snapshot.ModelRoute(last); !found {
			b.Fatal("no route")
		}
	}
}
