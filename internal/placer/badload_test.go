package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// countCrashingLoads simulates servers that crash one after the other while loading a model, and
// returns the number of loads ordered. The interval passes between rounds; the loads numbered in
// succeed, counted from 1, complete before their server stops.
func countCrashingLoads(servers int, interval time.Duration, succeed ...int) (loads int) {
	core := New(Options{Window: window, Overage: overage})
	core.SetTable(simTable())
	var all []inventory.Change
	for i := range servers {
		all = append(all, inventory.Change{Server: inventory.Server{ID: fmt.Sprintf("s%02d", i), Service: serviceName}})
	}
	core.SetServers(begin, all)
	now := begin
	for range 4 * servers {
		now = now.Add(interval)
		requestModel(core, now, "m08")
		core.ConfirmReservation()
		effects := core.Step(now, true)
		for _, call := range effects.ReportRequests {
			core.HandleReport(now, call.ServerID, Report{}, true)
		}
		for _, order := range effects.Orders {
			if order.Operation != Load {
				continue
			}
			loads++
			core.HandleOrderResult(now, order, ResultTaken)
			gone := inventory.Change{Server: inventory.Server{ID: order.ServerID, Service: serviceName}, Gone: true}
			for _, number := range succeed {
				if loads == number {
					core.HandleReport(now.Add(time.Second), order.ServerID, Report{Sequence: order.ExpectedSequence + 1, Models: []inventory.HeldModel{{Name: order.Model}}}, true)
				}
			}
			core.SetServers(now.Add(interval/2), []inventory.Change{gone})
		}
	}
	return loads
}

// TestLoadsThatEndServersStop checks that loads of a model pause after crashing loadCrashLimit
// servers, and that one successful load resets the count.
func TestLoadsThatEndServersStop(t *testing.T) {
	if got := countCrashingLoads(12, 2*time.Second); got > loadCrashLimit+1 {
		t.Errorf("%d loads of a model that crashes each server, within %v; want at most %d and one retry", got, 96*time.Second, loadCrashLimit)
	}
	if got := countCrashingLoads(6, 2*time.Second, 2, 4); got != 6 {
		t.Errorf("%d loads of a model that two servers loaded successfully, want one on each of 6", got)
	}
}
