package dispatch

import (
	"testing"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// TestNearestCopy: memory is nearer than disk, and disk nearer than the weight store. A draining
// server doesn't count.
func TestNearestCopy(t *testing.T) {
	cases := []struct {
		name    string
		servers []inventory.Server
		want    CopyLocation
	}{
		{"nowhere", []inventory.Server{{ID: "a", Service: "svc"}}, CopyInStore},
		{"on disk", []inventory.Server{{ID: "a", Service: "svc"}, {ID: "b", Service: "svc", OnDisk: []string{"m"}}}, CopyOnDisk},
		{"in memory", []inventory.Server{{ID: "a", Service: "svc", OnDisk: []string{"m"}}, {ID: "b", Service: "svc", InMemory: []string{"m"}}}, CopyInMemory},
		{"draining", []inventory.Server{{ID: "a", Service: "svc", OnDisk: []string{"m"}, Draining: true}}, CopyInStore},
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
			t.Errorf("%s: nearest copy %v, want %v", c.name, got, c.want)
		}
	}
}
