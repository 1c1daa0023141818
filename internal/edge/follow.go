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
	// Pauses after a failed call to the store; they double up to the longest.
	minStorePause = 60 * time.Millisecond
	maxStorePause = 800 * time.Millisecond
	// secondaryStorePause is the pause of a node that asks only because nobody confirmed
	// to it what it knows: where the store is away for all, the first nodes find
	// out that it is back.
	secondaryStorePause = 3 * time.Second
	// roleCheckPeriod is the time between looks whether this node is to ask the store.
	roleCheckPeriod = 50 * time.Millisecond
)

// backoff is the pause after failed calls.
type backoff struct{ pause time.Duration }

func (b *backoff) reset() { b.pause = 0 }

// wait sleeps for a time drawn from the pause, so that nodes do not call in
// step after an outage.
func (b *backoff) wait(ctx context.Context, limit time.Duration) {
	b.pause = min(max(2*b.pause, minStorePause), limit)
	if limit > maxStorePause {
		b.pause = limit
	}
	sleep(ctx, b.pause/2+rand.N(b.pause/2+1))
}

// storePauseLimit is the longest pause of this node after failed calls.
func (n *Node) storePauseLimit() time.Duration {
	if rank, _ := n.peers.rank(clock.Now()); rank < primaryStoreNodes {
		return maxStorePause
	}
	return secondaryStorePause
}

// primaryStoreNodes is the number of nodes that look for a store which is away.
const primaryStoreNodes = 4

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// storeResource is one kind of what lies in the store.
type storeResource struct {
	name      string
	confirmed *confirmation
	refresh   chan struct{}
	// read puts all in force and returns the position that it is from, and watch what
	// changes behind a position.
	read  func(ctx context.Context) (at storepos.Position, err error)
	watch func(ctx context.Context, from storepos.Position) (at storepos.Position, err error)
}

// follow keeps what lies in the store in force here while this node is one of those
// that ask the store.
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

// watchConfiguration waits for a change once; a nudge ends the wait.
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

// confirmedUntil is up to when a watch that told of no change says that there was
// none: the end of its wait or, where it was cut short, its beginning.
func confirmedUntil(requestedAt time.Time, wait time.Duration, answered time.Time) time.Time {
	if ended := requestedAt.Add(wait); !ended.After(answered) {
		return ended
	}
	return requestedAt
}

// watchTimeout is how long a watch waits. A watch may turn deaf without a word, so
// the turns are short.
func (n *Node) watchTimeout() time.Duration { return n.fractionOfBound(watchFraction) }

// watchTimeoutFor is the same for a kind whose changes have another time.
func (n *Node) watchTimeoutFor(confirmed *confirmation) time.Duration {
	return time.Duration(watchFraction * float64(n.applyBound(confirmed)))
}

// nodeFactor is the number of nodeFactor, as a factor of times.
func (n *Node) nodeFactor() time.Duration { return time.Duration(1 + n.peers.count()) }

// configLag tells how long peers have had a newer configuration. It is not safe
// for concurrent use.
type configLag struct {
	version int64
	since   time.Time
}

const (
	// configLagPerNode, which counts for each node, and longestConfigLag bound how
	// long a newer configuration may be under way to this node before it asks
	// for it anew: a large one takes a while on a slow link, and what was
	// received of it would be lost.
	configLagPerNode = 6 * time.Millisecond
	maxConfigLag     = 400 * time.Millisecond
)

// exceeds takes the word of a peer that has a newer version, and reports whether
// peers have had one for longer than tolerated; then the time begins anew.
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

// configVersion is the version in force, 0 where there is none.
func (n *Node) configVersion() int64 {
	if table := n.handler.Table(); table != nil {
		return table.Version
	}
	return 0
}

// compareConfiguration takes which version a peer has. Where it is newer, the peer
// is asked for it; a node that watches the store itself asks that anew, too, where
// peers have had it for longer than it takes to come here.
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

// cancelOnSignal returns a context that a nudge ends, too.
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

// clearSignal drops a nudge that waits.
func clearSignal(signals <-chan struct{}) {
	select {
	case <-signals:
	default:
	}
}

// signal hands over a nudge; one that waits already is enough.
func signal(signals chan<- struct{}) {
	select {
	case signals <- struct{}{}:
	default:
	}
}

// activateTable takes a table unless a newer one is in force.
func (n *Node) activateTable(table *routetable.Table, from string) {
	known := n.handler.Table()
	if known != nil && known.Version >= table.Version {
		return
	}
	n.handler.SetTable(table)
	n.dispatch.Do(func(core *dispatch.Core) { core.SetColdStarts(table.ColdStarts()) })
	n.options.Logger.Info().Int64("version", table.Version).Int("routes", table.RouteCount()).
		Str("from", from).Msg("config_in_force")
}

// minOutageForExpiry is how long the store must have been away for entries of servers
// to have lapsed because of that; a server renews its own about as often.
const minOutageForExpiry = time.Second

// recordStoreSuccess notes that the store is there.
func (n *Node) recordStoreSuccess() {
	if !n.storeFailing.Swap(false) {
		return
	}
	outage := clock.Since(n.started) - time.Duration(n.failingSince.Load())
	if outage >= minOutageForExpiry {
		n.expiryGrace.begin(clock.Now())
	}
	n.options.Logger.Info().Int64("away_ms", outage.Milliseconds()).Msg("store_regained")
}

// storeRetryAfter is how long after a failed call a node to which others confirm
// what it knows counts again as one that the store answers.
const storeRetryAfter = 5 * time.Second

// clearOldStoreFailure lets a node be a sentinel again whose call failed a while ago.
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
