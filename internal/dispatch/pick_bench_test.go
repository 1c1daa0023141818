package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// largeCore knows 3,000 servers of one service, which hold three of 500 models each and keep ten.
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

// BenchmarkPick is a choice at the size that is planned for; BenchmarkWait is what a request that
// waits asks for with each news.
func BenchmarkPick(b *testing.B) {
	core := largeCore()
	ask := Request{Service: "s", Model: "m7", PromptTokens: 1000}
	b.ReportAllocs()
	for b.Loop() {
		choice, ok := core.Pick(begin, ask)
		if !ok {
			b.Fatal("no server")
		}
		core.End(begin, choice.Attempt, OutcomeServed)
	}
}

func BenchmarkWait(b *testing.B) {
	core := largeCore()
	wanted := Requirements{Service: "s", Model: "m-nowhere"}
	b.ReportAllocs()
	for b.Loop() {
		if core.CanPick(begin, Request{Service: "s", Model: wanted.Model}) {
			b.Fatal("a server")
		}
		_, _ = core.ReadyIn(begin, wanted)
		_, _, _ = core.BackoffEndsIn(begin, wanted)
		_ = core.NearestCopy(begin, wanted)
	}
}
