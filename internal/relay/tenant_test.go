package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/waiting"
)

// tenantTable has two tenants, and a route that needs no key.
func tenantTable() *routetable.Table {
	parts := []routetable.WeightedService{{Service: "svc", Weight: 1}}
	table := routetable.New(3, []routetable.Route{
		{Name: "once", Host: "127.0.0.1", Prefix: "/once/", MaxAttempts: 1, Services: parts},
		{Name: "open", Host: "127.0.0.1", Prefix: "/open/", MaxAttempts: 1, Public: true, Services: parts},
	}, []routetable.Service{{Name: "svc"}}, routetable.Limits{})
	table.SetTenants([]routetable.Tenant{
		{Name: "north", Keys: []routetable.KeyHash{routetable.HashKey("key-n")}},
		{Name: "south", Keys: []routetable.KeyHash{routetable.HashKey("key-s1"), routetable.HashKey("key-s2")}},
	})
	return table
}

func TestAuthenticate(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f := newFixture(t, server)
	f.handler.SetTable(tenantTable())
	cases := []struct {
		name, path, key string
		status          int
		tenant          string
	}{
		{"a key", "/once/", "key-n", http.StatusOK, "north"},
		{"another of two keys", "/once/", "key-s2", http.StatusOK, "south"},
		{"no key", "/once/", "", http.StatusUnauthorized, ""},
		{"an unknown key", "/once/", "key-x", http.StatusUnauthorized, ""},
		{"the beginning of a key", "/once/", "key-", http.StatusUnauthorized, ""},
		{"no route, no key", "/nothing/", "", http.StatusNotFound, ""},
		{"a public route without a key", "/open/", "", http.StatusOK, ""},
		{"a public route with a key", "/open/", "key-n", http.StatusOK, ""},
	}
	for _, c := range cases {
		before := server.count()
		got := f.send(t, http.MethodPost, c.path, "b", "X-Key", c.key)
		if got.status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, got.status, c.status)
		}
		if ran := server.count() > before; ran != (c.status == http.StatusOK) {
			t.Errorf("%s: forwarded to a server: %v", c.name, ran)
		} else if ran && server.last().Header.Get("X-Tenant") != c.tenant {
			t.Errorf("%s: the server got tenant %q, want %q", c.name, server.last().Header.Get("X-Tenant"), c.tenant)
		}
	}
}

// A key that is removed from the table is denied at once, also on a connection that is already open; a
// key that moves to another tenant takes effect the same way.
func TestWithdrawnKeyOnAKeptConnection(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f := newFixture(t, server)
	f.handler.SetTable(tenantTable())
	if got := f.send(t, http.MethodPost, "/once/", "b", "X-Key", "key-n"); got.status != http.StatusOK {
		t.Fatalf("status %d before the key was withdrawn", got.status)
	}
	next := tenantTable()
	next.SetTenants(next.Tenants()[1:])
	f.handler.SetTable(next)
	if got := f.send(t, http.MethodPost, "/once/", "b", "X-Key", "key-n"); got.status != http.StatusUnauthorized {
		t.Errorf("status %d after the key was withdrawn", got.status)
	}
	moved := tenantTable()
	tenants := moved.Tenants()
	tenants[0].Keys, tenants[1].Keys = tenants[1].Keys, tenants[0].Keys
	moved.SetTenants(tenants)
	f.handler.SetTable(moved)
	got := f.send(t, http.MethodPost, "/once/", "b", "X-Key", "key-n")
	if tenant := server.last().Header.Get("X-Tenant"); got.status != http.StatusOK || tenant != "south" {
		t.Errorf("status %d, tenant %q for a key that moved to south", got.status, tenant)
	}
}

// Guards against forged headers: however a caller sets a field that only nodes may set, no server gets
// it.
func TestCallersDoNotSetWhatNodesSet(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "done"))
	f := newFixture(t, server)
	f.handler.SetTable(tenantTable())
	ways := map[string][]string{
		"as it is":           {"X-Reserved", "1"},
		"in lower case":      {"x-reserved", "1"},
		"a tenant":           {"X-Tenant", "south"},
		"the connection's":   {"Connection", "x-tenant, X-Server, X-Model", "X-Tenant", "south"},
		"a trailer":          {"Trailer", "X-Reserved", "X-Reserved", "1"},
		"a server and a key": {"X-Server", "s9", "X-Left", time.Hour.String()},
	}
	for name, headers := range ways {
		got := f.send(t, http.MethodPost, "/once/", "b", append(headers, "X-Key", "key-n", "X-Model", "m")...)
		if got.status != http.StatusOK {
			t.Errorf("%s: status %d", name, got.status)
			continue
		}
		sent := server.last().Header
		if sent.Get("X-Reserved") != "" || sent.Get("X-Tenant") != "north" || len(sent["X-Tenant"]) != 1 || sent.Get("X-Server") != "s0" || sent.Get("X-Model") != "m" {
			t.Errorf("%s: the server got headers %v", name, sent)
		}
	}
}

// A tenant's priority outranks the route's, which decides among tenants of the same priority.
func TestUrgency(t *testing.T) {
	tenant := func(priority int) *routetable.Tenant {
		return &routetable.Tenant{Priority: priority, HasPriority: true}
	}
	cases := []struct {
		name   string
		tenant *routetable.Tenant
		route  int
		want   int
	}{
		{"no tenant", nil, 1, 3},
		{"a tenant without a priority", &routetable.Tenant{}, 1, 3},
		{"the most urgent route of the first tenants", tenant(0), 0, 0},
		{"the least urgent route of the first tenants", tenant(0), 7, 2},
		{"the most urgent route of the next ones", tenant(1), 0, 3},
		{"the next route of the same tenants", tenant(1), 1, 4},
		{"beyond the lowest rank", tenant(5), 2, waiting.LowestRank},
	}
	for _, c := range cases {
		x := &exchange{needsModel: true, tenant: c.tenant, route: &routetable.Route{Priority: c.route}}
		if got := x.urgency(); got != c.want {
			t.Errorf("%s: %d, want %d", c.name, got, c.want)
		}
	}
}
