package configsync

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// benchObjects is the number of adapters, deployments, models and selectors declared at the target
// size.
const benchObjects = 8_700*2 + 54 + 400

// loadedCore holds objects as long as a deployment's JSON.
func loadedCore() *Core {
	core := New(Options{Self: fleet.Member{Name: "a", Zone: "z", State: fleet.MemberAlive}})
	core.Step(time.Unix(1, 0), MembersChanged{})
	list := objectstore.ObjectList{Version: benchObjects}
	for index := range benchObjects {
		list.Objects = append(list.Objects, benchObject(index, uint64(index+1)))
	}
	core.Step(time.Unix(1, 0), StoreListed{Generation: 1, List: list})
	return core
}

func benchObject(index int, version uint64) objectstore.Object {
	name := fmt.Sprintf("deployment-%05d", index)
	return objectstore.Object{
		Kind: "Deployment", Name: name, Version: version, ChangeID: fmt.Sprintf("change-%d", version), ChangedBy: "pipeline",
		Labels: map[string]string{"tenant": fmt.Sprintf("tenant-%03d", index%400), "tier": "gold"},
		Spec:   json.RawMessage(fmt.Sprintf(`{"model":"model-%02d","adapter":"%s","versions":[{"name":"v1","weight":95},{"name":"v2","weight":5}]}`, index%54, name)),
	}
}

func BenchmarkPushOfOneChange(b *testing.B) {
	core := loadedCore()
	now := time.Unix(2, 0)
	version := uint64(benchObjects)
	b.ReportAllocs()
	for b.Loop() {
		version++
		object := benchObject(int(version)%benchObjects, version)
		core.Step(now, PushReceived{From: "b", Push: Push{Changes: Changes{
			Since: version - 1, Version: version, Objects: []objectstore.Object{object},
		}}})
	}
	if held, _ := core.Version(); held != version {
		b.Fatalf("version %d is in force instead of %d", held, version)
	}
}

func BenchmarkDigestOfAnEqual(b *testing.B) {
	core := loadedCore()
	digest := Digest{Version: core.objects.version, Hash: core.objects.hash}
	b.ReportAllocs()
	for b.Loop() {
		core.Step(time.Unix(2, 0), DigestReceived{Digest: digest})
	}
}

func BenchmarkDigestThatLacksOneChange(b *testing.B) {
	core := loadedCore()
	digest := Digest{Version: core.objects.version}
	changes := Changes{Since: benchObjects, Version: benchObjects + 1, Objects: []objectstore.Object{benchObject(0, benchObjects+1)}}
	core.Step(time.Unix(2, 0), PushReceived{From: "b", Push: Push{Changes: changes}})
	b.ReportAllocs()
	for b.Loop() {
		core.Step(time.Unix(2, 0), DigestReceived{Digest: digest})
	}
}

func BenchmarkDigestOfAnEmptyNode(b *testing.B) {
	core := loadedCore()
	b.ReportAllocs()
	for b.Loop() {
		core.Step(time.Unix(2, 0), DigestReceived{})
	}
}

func BenchmarkObjects(b *testing.B) {
	core := loadedCore()
	b.ReportAllocs()
	for b.Loop() {
		if len(core.Objects()) != benchObjects {
			b.Fatal("objects are missing")
		}
	}
}

func BenchmarkHeldMemory(b *testing.B) {
	var held *Core
	for b.Loop() {
		held = nil
		before := heapBytes()
		held = loadedCore()
		b.ReportMetric(float64(heapBytes()-before), "held-B")
	}
	runtime.KeepAlive(held)
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
