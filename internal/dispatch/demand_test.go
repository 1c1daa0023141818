package dispatch

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// TestNearestCopy: memory goes before disk, disk before the weight store, and a
// server that leaves counts for nothing.
func TestNearestCopy(t *testing.T) {
	cases := []struct {
		name    string
		servers []inventory.Server
		want    CopyLocation
	}{
		{"nowhere", []inventory.Server{{ID: "a", Service: "svc"}}, CopyInStore},
		{"on disk", []inventory.Server{{ID: "a", Service: "svc"}, {ID: "b", Service: "svc", OnDisk: []string{"m"}}}, CopyOnDisk},
		{"in memory", []inventory.Server{{ID: "a", Service: "svc", OnDisk: []string{"m"}}, {ID: "b", Service: "svc", InMemory: []string{"m"}}}, CopyInMemory},
		{"leaving", []inventory.Server{{ID: "a", Service: "svc", OnDisk: []string{"m"}, Draining: true}}, CopyInStore},
		{"another service", []inventory.Server{{ID: "a", Service: "other", OnDisk: []string{"m"}}}, CopyInStore},
	}
	for _, c := range cases {
		core := New(Options{Zone: "z"})
		var changes []inventory.Change
		for _, server := range c.servers {
			changes = append(changes, inventory.Change{Server: server})
		}
		core.SetServers(changes)
		if got := core.NearestCopy(begin, Requirements{Service: "svc", Model: "m"}); got != c.want {
			t.Errorf("%s: copy %v, want %v", c.name, got, c.want)
		}
	}
}
