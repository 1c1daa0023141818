package relay

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Guards against estimating a load from the weight store, which is too long to wait for, when a server has
// the weights on disk.
func TestModelOnDiskIsWaitedFor(t *testing.T) {
	f := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, "ok")))
	f.handler.SetTable(engineTable(time.Second))
	f.dispatch.Do(func(core *dispatch.Core) { core.SetLeader(time.Now(), 1, false, 0) })
	copied := inventory.Server{ID: "s0", Service: "svc", Zone: "z", Position: storepos.At(0, 2)}
	if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m", "X-Wait", "1500ms"); !strings.Contains(got.body, reasonTooLate) {
		t.Fatalf("%s with the weights only in the store, want a refusal as too late", got.body)
	}
	copied.OnDisk = []string{"m"}
	f.dispatch.Do(func(core *dispatch.Core) { core.SetServers([]inventory.Change{{Server: copied}}) })
	started := time.Now()
	got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m", "X-Wait", "1500ms")
	if held := time.Since(started); held < 300*time.Millisecond {
		t.Errorf("refused as %s after %v although a server has the weights on disk", got.body, held)
	}
}

// A load that ends after the latency goal but within the longest wait is waited for; the caller is not told
// to retry.
func TestWhatIsServedInPatienceIsKept(t *testing.T) {
	f := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, "ok")))
	f.handler.SetTable(engineTable(100 * time.Millisecond))
	f.setView(map[string][]string{}, map[string]time.Duration{"m": 600 * time.Millisecond})
	go func() {
		time.Sleep(500 * time.Millisecond)
		f.setView(map[string][]string{"m": nil}, nil)
	}()
	if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.status != http.StatusOK {
		t.Errorf("status %d, want 200 once the model is loaded", got.status)
	}
}
