package routetable

import (
	"fmt"
	"testing"
)

func newTenants(count int) []Tenant {
	var tenants []Tenant
	for i := range count {
		tenants = append(tenants, Tenant{
			Name: fmt.Sprint("t", i), Keys: []KeyHash{HashKey(fmt.Sprint("k", i)), HashKey(fmt.Sprint("l", i))},
		})
	}
	return tenants
}

func TestTenantOf(t *testing.T) {
	table := New(1, nil, nil, Limits{})
	if table.HasTenants() || table.HasQuotas() {
		t.Error("a table without tenants has some")
	}
	if _, ok := table.TenantByKey(""); ok {
		t.Error("an empty key has an owner in a table without tenants")
	}
	tenants := newTenants(3)
	tenants[2].Keys = append(tenants[2].Keys, HashKey("k0"))
	tenants[1].Quota = Quota{PerSecond: 5}
	table.SetTenants(tenants)
	if !table.HasTenants() || !table.HasQuotas() {
		t.Error("the tenants or their quotas are missing")
	}
	for key, want := range map[string]string{"k0": "t0", "l0": "t0", "k2": "t2", "l1": "t1", "k": "", "": "", "K0": ""} {
		name := ""
		if tenant, ok := table.TenantByKey(key); ok {
			name = tenant.Name
		}
		if name != want {
			t.Errorf("key %q belongs to %q, want %q (the first of two owners)", key, name, want)
		}
	}
	if tenant, ok := table.Tenant("t1"); !ok || tenant.Quota.PerSecond != 5 {
		t.Errorf("tenant t1 is %+v", tenant)
	}
	table.SetTenants(nil)
	if table.HasTenants() || table.HasQuotas() {
		t.Error("a table whose tenants were removed has some")
	}
}

func TestCost(t *testing.T) {
	tokens := Quota{PerSecond: 1, CountsTokens: true, DefaultTokens: 200}
	requests := Quota{PerSecond: 1, DefaultTokens: 200}
	cases := []struct {
		quota         Quota
		tokens        int
		hasTokenCount bool
		want          float64
	}{
		{tokens, 1500, true, 1500}, {tokens, 0, false, 200}, {tokens, 0, true, 0}, {requests, 1500, true, 1}, {requests, 0, false, 1},
	}
	for _, c := range cases {
		if got := c.quota.Cost(c.tokens, c.hasTokenCount); got != c.want {
			t.Errorf("quota %+v: a request of %d tokens costs %.0f, want %.0f", c.quota, c.tokens, got, c.want)
		}
	}
}

func BenchmarkTenantOf(b *testing.B) {
	table := New(1, nil, nil, Limits{})
	table.SetTenants(newTenants(1000))
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.TenantByKey("l500"); !ok {
			b.Fatal("not found")
		}
	}
}
