package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// largeCore returns a core with 3,000 servers of one service. Each holds three of 500 models and
// stores ten on disk.
func largeCore() *Core {
	const servers, models = 3000, 500
	core := New(Options{Zone: "z", Seed: 1})
	var changes []inventory.Change
	var views []View
	for i := range servers {
		id := fmt.Sprintf("i-%d", i)
		view := View{ServerID: id, Held: make(map[string][]string), Loading: make(map[string]time.Duration), Digest: uint64(i + 1)}
		for j := range 3 {
			view.Held[fmt.Sprintf("m%d", (3*i+j)%models)] = []string{"a1"}
		}
		for j := range 10 {
			view.OnDisk = append(view.OnDisk, fmt.Sprintf("m%d", (7*i+j)%models))
		}
		views = append(views, view)
		changes = append(changes, inventory.Change{Server: inventory.Server{ID: id, Service: "s", Address: id + ":1", Zone: "z", Slots: 8, Position: storepos.At(0, 1)}})
	}
	core.SetServers(changes)
	core.SetViews(begin, 1, views)
	return core
}

// BenchmarkPick measures a selection at the planned size. BenchmarkWait measures the checks that a
// waiting request makes after each change.
func BenchmarkPick(b *testing.B) {
	core := largeCore()
	request := Request{Service: "s", Model: "m7", PromptTokens: 1000}
	b.ReportAllocs()
	for b.Loop() {
		choice, ok := core.Pick(begin, request)
		if !ok {
			b.Fatal("no server picked")
		}
		core.End(begin, choice.Attempt, OutcomeServed)
	}
}

func BenchmarkWait(b *testing.B) {
	core := largeCore()
	requirements := Requirements{Service: "s", Model: "m-nowhere"}
	b.ReportAllocs()
	for b.Loop() {
		if core.CanPick(begin, Request{Service: "s", Model: requirements.Model}) {
			b.Fatal("picked a server without the model")
		}
		_, _ = core.ReadyIn(begin, requirements)
		_, _, _ = core.BackoffEndsIn(begin, requirements)
		_ = core.NearestCopy(begin, requirements)
	}
}
