package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// fatalLoads plays servers that end as they load, one after the other, and returns the
// number of loads that were ordered. Between two of them gap passes; endWell are those,
// counted from 1, that end well.
func fatalLoads(servers int, gap time.Duration, endWell ...int) (loads int) {
	core := New(Options{Window: window, Overage: overage})
	core.SetTable(simTable())
	var all []inventory.Change
	for i := range servers {
		all = append(all, inventory.Change{Server: inventory.Server{ID: fmt.Sprintf("s%02d", i), Service: serviceName}})
	}
	core.SetServers(begin, all)
	now := begin
	for range 4 * servers {
		now = now.Add(gap)
		wantModel(core, now, "m08")
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
			ended := inventory.Change{Server: inventory.Server{ID: order.ServerID, Service: serviceName}, Gone: true}
			for _, well := range endWell {
				if loads == well {
					core.HandleReport(now.Add(time.Second), order.ServerID, Report{Sequence: order.ExpectedSequence + 1, Models: []inventory.HeldModel{{Name: order.Model}}}, true)
				}
			}
			core.SetServers(now.Add(gap/2), []inventory.Change{ended})
		}
	}
	return loads
}

// TestLoadsThatEndServersStop: a model under whose loads three servers ended is not loaded
// at the next one at once; one load that ends well acquits it.
func TestLoadsThatEndServersStop(t *testing.T) {
	if got := fatalLoads(12, 2*time.Second); got > badLoadLimit+1 {
		t.Errorf("%d loads of a model that ends each server, within %v; want %d and one trial at most", got, 96*time.Second, badLoadLimit)
	}
	if got := fatalLoads(6, 2*time.Second, 2, 4); got != 6 {
		t.Errorf("%d loads of a model that two servers loaded, want one at each of 6", got)
	}
}
