package platform

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// tenantRequests numbers the requests, for their IDs.
var tenantRequests atomic.Int64

// tenantCaller calls one node over a keep-alive connection.
type tenantCaller struct {
	node   *node
	client *http.Client
}

func newTenantCaller(n *node) *tenantCaller {
	return &tenantCaller{node: n, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// call sends a command with additional headers, and returns its ID and the reply.
func (c *tenantCaller) call(headers ...string) (id string, got reply) {
	id = "t" + strconv.FormatInt(tenantRequests.Add(1), 10)
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/command/x", c.node.ip, c.node.fleet.ports[1]), strings.NewReader("body"))
	if err != nil {
		c.node.fleet.t.Fatal(err)
	}
	request.Host = "host.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "2000")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Add(headers[i], headers[i+1])
	}
	response, err := c.client.Do(request)
	if err != nil {
		return id, reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return id, reply{status: response.StatusCode, body: string(text), retryAfter: response.Header.Get("Retry-After"), err: err}
}

func tenantConfig(version int, tenants ...map[string]any) map[string]any {
	config := newConfig(version)
	config["tenants"] = tenants
	return config
}

func (m *modelServer) headerOf(id string) http.Header {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.headers[id]
}

// TestTenantsOverNodes: API keys are required and not forwarded, a withdrawn key is rejected
// everywhere, including on keep-alive connections, keys never appear in logs, and a tenant
// stays within its quota over all nodes.
func TestTenantsOverNodes(t *testing.T) {
	const oldKey, newKey, busyKey = "k-old-5f1c", "k-new-77aa", "k-busy-09d2"
	north := map[string]any{"name": "north", "apiKeys": []string{oldKey, newKey}}
	busy := map[string]any{
		"name": "busy", "apiKeys": []string{busyKey}, "unit": "tokens", "ratePerS": 1000, "burst": 4000, "plainTokens": 500,
	}
	f := newFleet(t, 3)
	commands := newServer(t, f.store, "i-commands", "commands", 0)
	f.store.put("config", "main", tenantConfig(1, north, busy))
	f.awaitReady()
	var callers []*tenantCaller
	for _, n := range f.nodes {
		callers = append(callers, newTenantCaller(n))
	}
	for _, caller := range callers {
		for _, headers := range [][]string{{}, {"Api-Key", "k-unknown"}, {"Api-Key", oldKey, "Api-Key", newKey}} {
			if id, got := caller.call(headers...); got.status != http.StatusUnauthorized || commands.headerOf(id) != nil {
				t.Errorf("%s with %q: status %d, want 401, and the request not run", caller.node.name, headers, got.status)
			}
		}
		id, got := caller.call("Api-Key", oldKey, "Tenant", "busy", "Hold", "h1", "kv-from", "x/y", "Connection", "Tenant")
		sent := commands.headerOf(id)
		if got.status != http.StatusOK || sent.Get("Tenant") != "north" || len(sent["Tenant"]) != 1 || sent.Get("Api-Key") != "" || sent.Get("Hold") != "" || sent.Get("Kv-From") != "" {
			t.Errorf("%s: status %d, the server got the header %v", caller.node.name, got.status, sent)
		}
	}
	f.checkQuota(callers, busyKey)
	north["apiKeys"] = []string{newKey}
	f.store.put("config", "main", tenantConfig(2, north, busy))
	for _, caller := range callers {
		eventually(t, "the key is denied at "+caller.node.name, func() bool { _, got := caller.call("Api-Key", oldKey); return got.status == http.StatusUnauthorized })
		if _, got := caller.call("Api-Key", newKey); got.status != http.StatusOK {
			t.Errorf("%s: status %d with the remaining key", caller.node.name, got.status)
		}
	}
	f.store.put("config", "main", tenantConfig(1, north, busy))
	for _, n := range f.nodes {
		for _, key := range []string{oldKey, newKey, busyKey} {
			if strings.Contains(n.log(), key) {
				t.Errorf("%s wrote a key to its log", n.name)
			}
		}
	}
}

// checkQuota sends far more than the quota through all nodes concurrently. Requests within
// the quota are granted, the others refused with Retry-After, and the total stays within the
// bound.
func (f *fleet) checkQuota(callers []*tenantCaller, key string) {
	f.t.Helper()
	const concurrency, cost, perSecond, burst = 30, 500, 1000, 4000
	var granted, refused, other atomic.Int64
	started := time.Now()
	var group sync.WaitGroup
	for range concurrency {
		for _, caller := range callers {
			group.Go(func() {
				switch _, got := caller.call("Api-Key", key); {
				case got.status == http.StatusOK:
					granted.Add(1)
				case (got.status == http.StatusTooManyRequests || got.status == http.StatusServiceUnavailable) && got.retryAfter != "":
					refused.Add(1)
				default:
					other.Add(1)
				}
			})
		}
	}
	group.Wait()
	allowed := 1.1 * (perSecond*time.Since(started).Seconds() + burst)
	used := float64(cost * granted.Load())
	if used > allowed || granted.Load() == 0 || refused.Load() == 0 || other.Load() > 0 {
		f.t.Errorf("%d granted, using %.0f of at most %.0f tokens; %d refused with Retry-After; %d other answers",
			granted.Load(), used, allowed, refused.Load(), other.Load())
	}
}
