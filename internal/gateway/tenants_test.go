package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// fakeQuotas is one quota with a fixed amount for all tenants.
type fakeQuotas struct {
	mutex     sync.Mutex
	remaining float64
	isUnknown bool
	costs     []float64
}

func (p *fakeQuotas) Admit(_ context.Context, _ routetable.Tenant, cost float64) QuotaVerdict {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isUnknown {
		return QuotaVerdict{IsUnknown: true, RetryIn: time.Second}
	}
	if p.remaining < cost {
		return QuotaVerdict{RetryIn: 3 * time.Second}
	}
	p.remaining -= cost
	p.costs = append(p.costs, cost)
	return QuotaVerdict{Granted: true}
}

func (p *fakeQuotas) GiveBack(_ routetable.Tenant, cost float64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.remaining += cost
}

func digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// declareTenants declares zone a in the north, zone b in the south, and two tenants: anna
// with a quota of requests, bo with a quota of tokens and bound to the south.
func (h *harness) declareTenants(version uint64) {
	h.t.Helper()
	object := func(kind spec.Kind, name, text string) objectstore.Object {
		return objectstore.Object{Kind: string(kind), Name: name, Version: version, Spec: []byte(text)}
	}
	h.setConfiguration(version, []objectstore.Object{
		object(spec.KindRegion, "north", `{"zones":["a"]}`),
		object(spec.KindRegion, "south", `{"zones":["b"]}`),
		object(spec.KindTenant, "anna", fmt.Sprintf(`{"keys":[%q],"quota":{"requestsPerSecond":1,"burst":2}}`, digest("key-of-anna"))),
		object(spec.KindTenant, "bo", fmt.Sprintf(`{"keys":[%q],"quota":{"tokensPerSecond":9,"burst":20},"regions":["south"]}`, digest("key-of-bo"))),
	})
}

func TestCallersNeedAKeyOfATenant(t *testing.T) {
	h := newHarness(t, nil)
	zone := h.addZone("a", completeEngine)
	h.publishZones(zone)
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody))
	h.declareTenants(1)
	before := zone.models.Load() + zone.calls.Load()
	for _, header := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "Basic key-of-anna", "key-of-anna", "Bearer " + digest("key-of-anna")} {
		for _, path := range []string{backend.PathCompletions, "/turbines/7", pathModels} {
			got := h.do(http.MethodPost, path, streamBody, "Authorization", header)
			if got.status != http.StatusUnauthorized || got.problem.Code != codeUnknownKey || got.problem.Outcome != attempt.OutcomeNotRun ||
				got.header.Get("WWW-Authenticate") != "Bearer" {
				t.Errorf("%q at %s: %d %+v", header, path, got.status, got.problem)
			}
		}
	}
	if sent := zone.models.Load() + zone.calls.Load() - before; sent != 0 {
		t.Errorf("%d requests were sent without a key", sent)
	}
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody, "Authorization", "Bearer key-of-anna"))
}

func TestQuotaIsDrawnByWhatARequestCosts(t *testing.T) {
	quotas := &fakeQuotas{remaining: 3}
	h := newHarness(t, func(options *Options) { options.Quotas = quotas })
	h.publishZones(h.addZone("a", completeEngine), h.addZone("b", completeEngine))
	h.declareTenants(1)
	anna, bo := "Bearer key-of-anna", "Bearer key-of-bo"
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody, "Authorization", anna))
	if got := h.do(http.MethodGet, "/turbines/7", "", "Authorization", anna); got.status != http.StatusOK {
		t.Fatalf("%d %+v", got.status, got.problem)
	}
	const eightTokens = `{"model":"notes","stream":true,"prompt":"x","max_tokens":8}`
	got := h.do(http.MethodPost, backend.PathCompletions, eightTokens, "Authorization", bo)
	if got.status != http.StatusTooManyRequests || got.problem.Code != codeQuota || got.problem.Outcome != attempt.OutcomeNotRun ||
		got.header.Get("Retry-After") != "3" {
		t.Errorf("%d %v %+v", got.status, got.header, got.problem)
	}
	// A call has no token count, so it costs nothing of a token quota.
	if got := h.do(http.MethodGet, "/turbines/7", "", "Authorization", bo); got.status != http.StatusOK {
		t.Errorf("%d %+v", got.status, got.problem)
	}
	if quotas.remaining != 1 || len(quotas.costs) != 2 {
		t.Errorf("drawn %v, %v left", quotas.costs, quotas.remaining)
	}
	quotas.isUnknown = true
	got = h.do(http.MethodPost, backend.PathCompletions, streamBody, "Authorization", anna)
	if got.status != http.StatusServiceUnavailable || got.problem.Code != codeQuotaUnknown {
		t.Errorf("%d %+v", got.status, got.problem)
	}
}

func TestWhatDidNotRunIsGivenBack(t *testing.T) {
	quotas := &fakeQuotas{remaining: 1}
	h := newHarness(t, func(options *Options) { options.Quotas = quotas })
	h.catalog.model.Deadline = 50 * time.Millisecond
	h.declareTenants(1)
	got := h.do(http.MethodPost, backend.PathCompletions, streamBody, "Authorization", "Bearer key-of-anna")
	if got.problem.Outcome != attempt.OutcomeNotRun || quotas.remaining != 1 || len(quotas.costs) != 1 {
		t.Errorf("%+v: drawn %v, %v left", got.problem, quotas.costs, quotas.remaining)
	}
}

// TestRegionsOfRouteAndTenantBothBind checks that a request is refused if they have no region in common.
func TestRegionsOfRouteAndTenantBothBind(t *testing.T) {
	h := newHarness(t, nil)
	home, other := h.addZone("a", completeEngine), h.addZone("b", completeEngine)
	h.publishZones(home, other)
	h.declareTenants(1)
	h.wantComplete(h.do(http.MethodPost, backend.PathCompletions, streamBody, "Authorization", "Bearer key-of-bo"))
	if home.models.Load() != 0 || other.models.Load() != 1 {
		t.Errorf("the north got %d, the south %d", home.models.Load(), other.models.Load())
	}
	h.setConfiguration(2, []objectstore.Object{
		{Kind: string(spec.KindRegion), Name: "north", Version: 2, Spec: []byte(`{"zones":["a"]}`)},
		{Kind: string(spec.KindRegion), Name: "south", Version: 2, Spec: []byte(`{"zones":["b"]}`)},
		{Kind: string(spec.KindSelector), Name: "all", Version: 2, Spec: []byte(`{"match":{},"deployments":{},"regions":["north"]}`)},
		{Kind: string(spec.KindTenant), Name: "bo", Version: 2, Spec: []byte(fmt.Sprintf(`{"keys":[%q],"regions":["south"]}`, digest("key-of-bo")))},
	})
	got := h.do(http.MethodPost, backend.PathCompletions, streamBody, "Authorization", "Bearer key-of-bo")
	if got.status != http.StatusServiceUnavailable || got.problem.Code != codeNoRegion || got.problem.Outcome != attempt.OutcomeNotRun {
		t.Errorf("%d %+v", got.status, got.problem)
	}
}
