package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// BenchmarkStep measures one step of a leader of 60 servers with room for three models each. 70
// of 190 models in demand have no copy, and requests are waiting for them.
func BenchmarkStep(b *testing.B) {
	core := New(Options{Window: window, Overage: overage})
	engine := &routetable.Engine{MemoryMB: 220_000, LoadsPerSecond: 17, Models: make(map[string]routetable.Model)}
	const models, servers = 190, 60
	for i := range models {
		name := fmt.Sprintf("m%03d", i)
		engine.Models[name] = routetable.Model{Name: name, WeightsMB: 65_000 + 7_000*float64(i%2), Load: 6 * time.Second, DiskLoad: 800 * time.Millisecond}
	}
	core.SetTable(&routetable.Table{Services: map[string]routetable.Service{serviceName: {Name: serviceName, Engine: engine}}})
	var changes []inventory.Change
	for i := range servers {
		changes = append(changes, inventory.Change{Server: inventory.Server{ID: fmt.Sprintf("s%02d", i), Service: serviceName, Zone: fmt.Sprint(i % 3)}})
	}
	core.SetServers(begin, changes)
	core.Step(begin, true)
	for i := range servers {
		var held []inventory.HeldModel
		for j := range 3 {
			held = append(held, inventory.HeldModel{Name: fmt.Sprintf("m%03d", (3*i+j)%120)})
		}
		core.HandleReport(begin, fmt.Sprintf("s%02d", i), Report{Models: held}, true)
	}
	var counts []RequestCount
	for i := range models {
		count := RequestCount{Requirements: dispatch.Requirements{Service: serviceName, Model: fmt.Sprintf("m%03d", i)}, Requests: 1, LatencyGoal: 2500 * time.Millisecond}
		if i >= 120 {
			count.Waiting = 1
		}
		counts = append(counts, count)
	}
	core.demand.SetCounts(begin, "node", 1, counts)
	core.storeLoads[serviceName] = make([]time.Time, 1000)
	for i := range core.storeLoads[serviceName] {
		core.storeLoads[serviceName][i] = begin
	}
	b.ResetTimer()
	for range b.N {
		core.Step(begin.Add(time.Second), true)
	}
}
