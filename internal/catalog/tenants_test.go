package catalog

import (
	"encoding/hex"
	"encoding/json"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// TestTenantsThatCannotBeReadOpenNothing checks that invalid tenants grant no access: callers
// need a key even if no tenant is valid, and a quota without a rate is not unlimited.
func TestTenantsThatCannotBeReadOpenNothing(t *testing.T) {
	if snapshot, _ := Compile(1, nil); snapshot.NeedsKey() {
		t.Error("keys are needed though no tenant is declared")
	}
	key := strings.Repeat("ab", 32)
	for _, text := range []string{
		`{"keys":["secret"]}`, `{"keys":7}`, `{"keys":["` + key + `"],"quota":{"burst":5}}`,
		`{"keys":["` + key + `"],"quota":{"requestsPerSecond":-1,"burst":5}}`, `{"keys":["` + key + `"],"quota":{"requestsPerSecond":1}}`,
	} {
		object := objectstore.Object{Kind: string(spec.KindTenant), Name: "anna", Version: 1, Spec: json.RawMessage(text)}
		snapshot, problems := Compile(1, []objectstore.Object{object})
		if len(problems) != 1 || !snapshot.NeedsKey() || len(snapshot.Tenants()) != 0 {
			t.Errorf("%s: got problems %v, needs key %v, tenants %v; want one problem, a key, no tenants", text, problems, snapshot.NeedsKey(), snapshot.Tenants())
		}
	}
}

func TestTenantIsFoundByItsKey(t *testing.T) {
	hash := routetable.HashKey("secret")
	text, err := json.Marshal(spec.Tenant{Keys: []string{strings.ToUpper(hex.EncodeToString(hash[:]))}, Regions: []string{"north"},
		Quota: spec.TenantQuota{TokensPerSecond: 3, Burst: 9}})
	if err != nil {
		t.Fatal(err)
	}
	snapshot := mustCompile(t, []objectstore.Object{{Kind: string(spec.KindTenant), Name: "anna", Version: 1, Spec: text}})
	tenant, found := snapshot.TenantByKey("secret")
	if !found || tenant.Name != "anna" || tenant.Regions != locality.Only("north") ||
		tenant.Quota != (routetable.Quota{PerSecond: 3, Burst: 9, CountsTokens: true}) {
		t.Errorf("found %v, tenant %+v", found, tenant)
	}
	if _, found := snapshot.TenantByKey(hex.EncodeToString(hash[:])); found {
		t.Error("the hash of a key was accepted as the key")
	}
}
