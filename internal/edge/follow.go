package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/routetable"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

const (
	// Pauses after a failed call to the store; they double up to the maximum.
	minStorePause = 60 * time.Millisecond
	maxStorePause = 800 * time.Millisecond
	// secondaryStorePause is the pause of a node that queries the store only because no other
	// node confirmed its data. During an outage of the store for all nodes, the primary nodes
	// detect the recovery.
	secondaryStorePause = 3 * time.Second
	// roleCheckPeriod is the interval between checks whether this node is to query the store.
	roleCheckPeriod = 50 * time.Millisecond
)

// backoff is the pause after failed calls.
type backoff struct{ pause time.Duration }

func (b *backoff) reset() { b.pause = 0 }

// wait sleeps for a random part of the pause, so that nodes do not call in step after an outage.
func (b *backoff) wait(ctx context.Context, limit time.Duration) {
	b.pause = min(max(2*b.pause, minStorePause), limit)
	if limit > maxStorePause {
		b.pause = limit
	}
	sleep(ctx, b.pause/2+rand.N(b.pause/2+1))
}

// storePauseLimit returns the maximum pause of this node after failed calls.
func (n *Node) storePauseLimit() time.Duration {
	if rank, _ := n.peers.rank(clock.Now()); rank < primaryStoreNodes {
		return maxStorePause
	}
	return secondaryStorePause
}

// primaryStoreNodes is the number of nodes that probe an unavailable store.
const primaryStoreNodes = 4

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// storeResource is one kind of data in the store.
type storeResource struct {
	name      string
	confirmed *confirmation
	refresh   chan struct{}
	// read loads and applies all data and returns its position. watch applies the changes after
	// a position.
	read  func(ctx context.Context) (at storepos.Position, err error)
	watch func(ctx context.Context, from storepos.Position) (at storepos.Position, err error)
}

// follow keeps the store's data in force here while this node is one of those that query the
// store.
func (n *Node) follow(ctx context.Context, resource storeResource) {
	var pause backoff
	for ctx.Err() == nil {
		if !n.shouldQueryStore(clock.Now(), resource.confirmed) {
			clearSignal(resource.refresh)
			sleep(ctx, roleCheckPeriod)
			continue
		}
		requestedAt := clock.Now()
		at, err := resource.read(ctx)
		if err != nil {
			n.recordStoreFailure(resource.name, err)
			pause.wait(ctx, n.storePauseLimit())
			continue
		}
		n.recordStoreSuccess()
		resource.confirmed.confirm(requestedAt)
		for err == nil && ctx.Err() == nil && n.shouldQueryStore(clock.Now(), resource.confirmed) {
			pause.reset()
			at, err = resource.watch(ctx, at)
		}
		if err != nil {
			n.recordStoreFailure(resource.name, err)
			pause.wait(ctx, n.storePauseLimit())
		}
	}
}

// followConfiguration keeps the newest configuration in force.
func (n *Node) followConfiguration(ctx context.Context) {
	n.follow(ctx, storeResource{
		name: "configuration", confirmed: &n.configConfirmed, refresh: n.configRefresh,
		read: n.readConfiguration, watch: n.watchConfiguration,
	})
}

func (n *Node) readConfiguration(ctx context.Context) (at storepos.Position, err error) {
	table, at, err := n.options.Store.Configuration(ctx)
	if err != nil {
		return at, err
	}
	if table != nil {
		n.activateTable(table, "read")
	}
	return at, nil
}

// watchConfiguration waits once for a change; a refresh signal ends the wait.
func (n *Node) watchConfiguration(ctx context.Context, from storepos.Position) (at storepos.Position, err error) {
	ctx, cancel := cancelOnSignal(ctx, n.configRefresh)
	defer cancel()
	requestedAt, wait := clock.Now(), n.watchTimeout()
	table, at, err := n.options.Store.WatchConfiguration(ctx, from, wait)
	if err != nil {
		return at, err
	}
	n.recordStoreSuccess()
	if table == nil {
		n.configConfirmed.confirm(confirmedUntil(requestedAt, wait, clock.Now()))
		return at, nil
	}
	n.activateTable(table, "watch")
	n.configConfirmed.confirm(requestedAt)
	n.peers.tick()
	return at, nil
}

// confirmedUntil returns the time until which a watch without changes confirms the data: the end
// of its wait or, if it was cut short, its start.
func confirmedUntil(requestedAt time.Time, wait time.Duration, answered time.Time) time.Time {
	if ended := requestedAt.Add(wait); !ended.After(answered) {
		return ended
	}
	return requestedAt
}

// watchTimeout is how long a watch waits. It is short because a watch may stop delivering
// changes without an error.
func (n *Node) watchTimeout() time.Duration { return n.fractionOfBound(watchFraction) }

// watchTimeoutFor is watchTimeout for data with its own apply bound.
func (n *Node) watchTimeoutFor(confirmed *confirmation) time.Duration {
	return time.Duration(watchFraction * float64(n.applyBound(confirmed)))
}

// nodeFactor returns the number of nodes, as a factor for durations.
func (n *Node) nodeFactor() time.Duration { return time.Duration(1 + n.peers.count()) }

// configLag tracks how long peers have had a newer configuration. It is not safe for concurrent
// use.
type configLag struct {
	version int64
	since   time.Time
}

const (
	// configLagPerNode (for each node) and maxConfigLag bound how long a newer configuration may
	// be in transit before this node requests it again. A large one takes a while on a slow
	// link, and a new request would discard the part received.
	configLagPerNode = 6 * time.Millisecond
	maxConfigLag     = 400 * time.Millisecond
)

// exceeds records that a peer has a newer version, and reports whether peers have had one for
// longer than tolerance. It then restarts the measurement.
func (l *configLag) exceeds(now time.Time, version int64, tolerance time.Duration) bool {
	if version > l.version {
		l.version = version
		l.since = now
	}
	if now.Sub(l.since) < tolerance {
		return false
	}
	l.since = now
	return true
}

// configVersion returns the version in force, or 0 if there is none.
func (n *Node) configVersion() int64 {
	if table := n.handler.Table(); table != nil {
		return table.Version
	}
	return 0
}

// compareConfiguration compares a peer's version with the one in force. A newer version is
// requested from the peer; a node that watches the store also queries the store again if peers
// have had the version for longer than the usual propagation time.
func (n *Node) compareConfiguration(now time.Time, address string, version int64, age uint32) {
	if version <= n.configVersion() {
		n.configConfirmed.receiveAge(now, age)
		return
	}
	if n.snapshots.mayRequest(now, address) {
		n.snapshots.enqueue(wantedSnapshot{address: address, version: version})
	}
	if n.configLag.exceeds(now, version, min(maxConfigLag, n.nodeFactor()*configLagPerNode)) {
		signal(n.configRefresh)
	}
}

// cancelOnSignal returns a context that a signal cancels, too.
func cancelOnSignal(ctx context.Context, signals <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// clearSignal drops a pending signal.
func clearSignal(signals <-chan struct{}) {
	select {
	case <-signals:
	default:
	}
}

// signal sends a signal unless one is pending.
func signal(signals chan<- struct{}) {
	select {
	case signals <- struct{}{}:
	default:
	}
}

// activateTable applies a table unless a newer one is in force. Tables come from the store and from peers
// at the same time.
func (n *Node) activateTable(table *routetable.Table, from string) {
	n.activation.Lock()
	defer n.activation.Unlock()
	known := n.handler.Table()
	if known != nil && known.Version >= table.Version {
		return
	}
	n.handler.SetTable(table)
	n.dispatch.Do(func(core *dispatch.Core) { core.SetColdStarts(table.ColdStarts()) })
	n.options.Logger.Info().Int64("version", table.Version).Int("routes", table.RouteCount()).
		Str("from", from).Msg("config_in_force")
}

// minOutageForExpiry is how long the store may have been unavailable before entries of servers
// may have expired because of it; servers renew their entries about as often.
const minOutageForExpiry = time.Second

// recordStoreSuccess records that the store is available. An outage may have begun right after the
// last call that succeeded: nodes that rarely call the store notice it late.
func (n *Node) recordStoreSuccess() {
	now := clock.Since(n.started)
	succeededAt := time.Duration(n.storeSucceededAt.Swap(int64(now)))
	if !n.storeFailing.Swap(false) {
		return
	}
	outage := now - min(succeededAt, time.Duration(n.failingSince.Load()))
	if outage >= minOutageForExpiry {
		n.expiryGrace.begin(clock.Now())
	}
	n.options.Logger.Info().Int64("away_ms", outage.Milliseconds()).Msg("store_regained")
}

// storeRetryAfter is how long after a failed call a node whose data is confirmed by others is
// again considered able to reach the store.
const storeRetryAfter = 5 * time.Second

// clearOldStoreFailure lets a node act as a sentinel again when its failed call is old enough.
func (n *Node) clearOldStoreFailure(now time.Time) {
	age, known := n.configConfirmed.age(now)
	failed := now.Sub(n.started) - time.Duration(n.failingSince.Load())
	if known && age < n.fractionOfBound(confirmedFraction) && failed > storeRetryAfter && !n.shouldQueryStore(now, &n.configConfirmed) {
		n.storeFailing.Store(false)
	}
}

func (n *Node) recordStoreFailure(resource string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		if !n.storeFailing.Swap(true) {
			n.failingSince.Store(int64(clock.Since(n.started)))
		}
		n.options.Logger.Warn().Str("what", resource).Str("error", err.Error()).Msg("store_failed")
	}
}
