package edge

import (
	"context"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storelease"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// newInEra returns a node that listed an available server in the era.
func newInEra(t *testing.T, era int64) *Node {
	t.Helper()
	node := newTestNode(t)
	node.applyServerList(clock.Now(), []inventory.Server{{ID: "a", Service: "s", Position: storepos.At(era, 5)}}, storepos.At(era, 9))
	return node
}

// TestNewsOfOtherEras checks that an announcement of an earlier era cannot disable a server, and
// that one of a later era is not compared with known data but triggers a request for the list.
func TestNewsOfOtherEras(t *testing.T) {
	cases := map[string]struct {
		at    storepos.Position
		takes bool
		lags  bool
	}{
		"an earlier era, at a later revision": {at: storepos.At(2, 99), takes: true},
		"the same era":                        {at: storepos.At(3, 10)},
		"a build that knows no eras":          {at: storepos.At(0, 10)},
		"a later era":                         {at: storepos.At(4, 1), takes: true, lags: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			node := newInEra(t, 3)
			node.receivePeerChanges(clock.Now(), []gossip.ServerChange{{Server: inventory.Server{ID: "a", Draining: true, Position: c.at}}})
			if got := isAvailable(node, "a"); got != c.takes {
				t.Errorf("available: %v, want %v", got, c.takes)
			}
			if got := node.directory.isBehind(clock.Now(), 1, c.at, false, time.Minute); got != c.lags {
				t.Errorf("list requested at once: %v, want %v", got, c.lags)
			}
		})
	}
}

// TestListLeftOutConfirmsNothing guards against counting an ignored stale list as a confirmation
// of the known data.
func TestListLeftOutConfirmsNothing(t *testing.T) {
	node := newInEra(t, 3)
	asked := clock.Now().Add(-time.Minute)
	if node.applyServerList(asked, nil, storepos.At(2, 50)) || node.applyServerList(asked, nil, storepos.At(3, 8)) {
		t.Error("a list older than the known data was accepted")
	}
	if !isAvailable(node, "a") {
		t.Error("an older list removed a server")
	}
	if !node.applyServerList(clock.Now(), []inventory.Server{{ID: "a", Service: "s", Position: storepos.At(4, 2)}}, storepos.At(4, 2)) {
		t.Error("the first list of a later era was ignored")
	}
}

func TestNodeIsReadyOnceSeedsWereAsked(t *testing.T) {
	node := newFollower(t, 0)
	node.seedsQueried.Store(false)
	if node.isReady() {
		t.Error("ready before the seeds were queried")
	}
	node.options.Tunables.PeerSeeds = nil
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	node.snapshots.run(ctx)
	if !node.isReady() {
		t.Error("not ready although all seeds were queried")
	}
}

// conflictStore refuses every write of the lease.
type conflictStore struct {
	LeaseStore
	writes chan storelease.Record
}

func (s *conflictStore) ReadLease(context.Context) (storelease.Record, bool, error) {
	return storelease.Record{Holder: "n", Position: storepos.At(3, 5), Era: 3}, true, nil
}

func (s *conflictStore) WriteLease(_ context.Context, record storelease.Record) (storepos.Position, bool, error) {
	s.writes <- record
	return storepos.Position{}, false, nil
}

// TestRefusedLeaseWritesArePaused guards against a busy loop: without a pause, a lease write
// that is always refused was retried as fast as the store responded.
func TestRefusedLeaseWritesArePaused(t *testing.T) {
	node := newFollower(t, 0)
	store := &conflictStore{writes: make(chan storelease.Record, 100)}
	node.options.Lease = store
	leader := node.leader
	now := clock.Now()
	leader.lease.Observe(now, now, storelease.Record{Holder: "n", Position: storepos.At(3, 5), Era: 3})
	for range 2 {
		leader.writeLease(t.Context(), clock.Now())
		<-store.writes
		for range 2 {
			(<-leader.inbox)()
		}
	}
	if pause := leader.nextCall.Sub(clock.Now()); pause < leaseRetryPause/8 {
		t.Errorf("the next write is due %v after the second refusal, too soon", pause)
	}
}
