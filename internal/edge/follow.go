package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

const (
	// watchTime is how long one watch waits. A watch may turn deaf without a
	// word, so two nodes of all, the sentinels, watch in short turns; the others
	// learn from them that they missed something.
	watchTime         = 5 * time.Second
	sentinelWatchTime = time.Second
	// longestWatch and watchShare, which counts for each node, bound the watches
	// of the others, whose number then does not grow with the fleet.
	longestWatch = 30 * time.Second
	watchShare   = 400 * time.Millisecond
	// longestConfigPause and configPauseShare, which counts for each node, bound
	// the pause after a new configuration: a storm of them is not read whole by
	// each node.
	longestConfigPause = 500 * time.Millisecond
	configPauseShare   = 8 * time.Millisecond
	// Pauses after a failed call to the store; they double up to the longest.
	shortestPause = 60 * time.Millisecond
	longestPause  = 800 * time.Millisecond
)

// backoff is the pause after failed calls.
type backoff struct{ pause time.Duration }

func (b *backoff) reset() { b.pause = 0 }

// wait sleeps for a time drawn from the pause, so that nodes do not call in
// step after an outage.
func (b *backoff) wait(ctx context.Context) {
	b.pause = min(max(2*b.pause, shortestPause), longestPause)
	sleep(ctx, b.pause/2+rand.N(b.pause/2+1))
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// followConfiguration keeps the newest configuration in force.
func (n *Node) followConfiguration(ctx context.Context) {
	var pause backoff
	for ctx.Err() == nil {
		table, at, err := n.options.Store.Configuration(ctx)
		if err != nil {
			n.storeFailed("configuration", err)
			pause.wait(ctx)
			continue
		}
		n.storeAnswered()
		if table != nil {
			n.putInForce(table, "read")
		}
		for err == nil && ctx.Err() == nil {
			pause.reset()
			table, at, err = n.watchConfiguration(ctx, at)
			if err == nil {
				n.storeAnswered()
			}
			if err == nil && table != nil {
				n.putInForce(table, "watch")
				sleep(ctx, n.configPause())
				// The next call says what peers hear of meanwhile.
				discard(n.configNudge)
			}
		}
		n.storeFailed("configuration", err)
		pause.wait(ctx)
	}
}

// watchConfiguration waits for a change; a nudge ends the wait.
func (n *Node) watchConfiguration(ctx context.Context, at int64) (*routetable.Table, int64, error) {
	ctx, cancel := nudged(ctx, n.configNudge)
	defer cancel()
	return n.options.Store.WatchConfiguration(ctx, at, n.watchTime())
}

// watchTime is how long a watch waits: the more nodes there are, the longer, as
// the sentinels stand in for all.
func (n *Node) watchTime() time.Duration {
	if n.peers.isSentinel() {
		return sentinelWatchTime
	}
	return min(longestWatch, max(watchTime, n.nodes()*watchShare))
}

// configPause gathers versions that come in quick succession into one call.
func (n *Node) configPause() time.Duration {
	if n.peers.isSentinel() {
		return 0
	}
	return min(longestConfigPause, n.nodes()*configPauseShare)
}

// nodes is the number of nodes, as a factor of times.
func (n *Node) nodes() time.Duration { return time.Duration(1 + n.peers.count()) }

// configLag tells how long peers have had a newer configuration. It is not safe
// for concurrent use.
type configLag struct {
	version int64
	since   time.Time
}

const (
	// configLagShare, which counts for each node, and longestConfigLag bound how
	// long a newer configuration may be under way to this node before it asks
	// for it anew: a large one takes a while on a slow link, and what was
	// received of it would be lost.
	configLagShare   = 6 * time.Millisecond
	longestConfigLag = 400 * time.Millisecond
)

// passes takes the word of a peer that has a newer version, and reports whether
// peers have had one for longer than tolerated; then the time begins anew.
func (l *configLag) passes(now time.Time, version int64, tolerated time.Duration) bool {
	if version > l.version {
		l.version = version
		l.since = now
	}
	if now.Sub(l.since) < tolerated {
		return false
	}
	l.since = now
	return true
}

// compareConfiguration asks the store anew where a peer has a newer version for
// longer than it takes to come here.
func (n *Node) compareConfiguration(now time.Time, version int64) {
	known := int64(0)
	if table := n.handler.Table(); table != nil {
		known = table.Version
	}
	if version <= known {
		return
	}
	if n.configLag.passes(now, version, min(longestConfigLag, n.nodes()*configLagShare)) {
		send(n.configNudge)
	}
}

// nudged returns a context that a nudge ends, too.
func nudged(ctx context.Context, nudge <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		select {
		case <-nudge:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// discard drops a nudge that waits.
func discard(nudge <-chan struct{}) {
	select {
	case <-nudge:
	default:
	}
}

// send hands over a nudge; one that waits already is enough.
func send(nudge chan<- struct{}) {
	select {
	case nudge <- struct{}{}:
	default:
	}
}

// putInForce takes a table unless a newer one is in force.
func (n *Node) putInForce(table *routetable.Table, from string) {
	known := n.handler.Table()
	if known != nil && known.Version >= table.Version {
		return
	}
	n.handler.SetTable(table)
	n.options.Logger.Info().Int64("version", table.Version).Int("routes", table.RouteCount()).
		Str("from", from).Msg("config_in_force")
}

// storeAnswered notes that the store is there.
func (n *Node) storeAnswered() {
	if n.storeFailing.Swap(false) {
		n.options.Logger.Info().Msg("store_regained")
	}
}

func (n *Node) storeFailed(what string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		n.storeFailing.Store(true)
		n.options.Logger.Warn().Str("what", what).Str("error", err.Error()).Msg("store_failed")
	}
}
