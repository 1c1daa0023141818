package edge

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// singleEventStore returns one server event and then none.
type singleEventStore struct {
	sourceStore
	lists, watches atomic.Int64
}

func (s *singleEventStore) Servers(context.Context) ([]inventory.Server, storepos.Position, error) {
	s.lists.Add(1)
	return []inventory.Server{{ID: "a", Position: storepos.At(0, 1)}}, storepos.At(0, 2), nil
}

func (s *singleEventStore) WatchServers(ctx context.Context, from storepos.Position, wait time.Duration) ([]inventory.Change, storepos.Position, error) {
	if s.watches.Add(1) == 1 {
		return []inventory.Change{{Server: inventory.Server{ID: "b", Position: storepos.At(0, 3)}}}, storepos.At(0, 3), nil
	}
	select {
	case <-ctx.Done():
		return nil, from, ctx.Err()
	case <-time.After(wait):
		return nil, from, nil
	}
}

// TestLapsesEndInARest checks that the end of the expiry grace period triggers a reload of the
// servers even during the pause between two calls for changes.
func TestLapsesEndInARest(t *testing.T) {
	node := newFollower(t, 0)
	store := &singleEventStore{}
	node.options.Store = store
	node.callerWaiting.Store(true)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { node.followServers(ctx); close(done) }()
	defer func() { cancel(); <-done }()
	for store.watches.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	node.expiryGrace.mu.Lock()
	node.expiryGrace.hold(inventory.Server{ID: "c"})
	node.expiryGrace.mu.Unlock()
	before := store.lists.Load()
	node.finishExpiryGrace(clock.Now())
	for end := time.Now().Add(5 * time.Second); store.lists.Load() == before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the servers are not reloaded within 5 s of the end of the grace period")
		}
	}
}
