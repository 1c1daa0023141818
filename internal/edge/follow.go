package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

const (
	// watchTime is how long one watch waits. A watch may turn deaf without a
	// word, so two nodes of all, the sentinels, watch in short turns; the others
	// learn from them that they missed something.
	watchTime         = 5 * time.Second
	sentinelWatchTime = time.Second
	// watchPause gathers changes that come in quick succession into one call.
	watchPause         = 1200 * time.Millisecond
	sentinelWatchPause = 300 * time.Millisecond
	// goingTold is how long peers are told of a server that goes.
	goingTold = 3 * time.Second
	// lagTolerated is how long a peer may know other servers before this node
	// asks the store anew.
	lagTolerated = 400 * time.Millisecond
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
		n.putInForce(table, "read")
		for err == nil && ctx.Err() == nil {
			pause.reset()
			table, at, err = n.watchConfiguration(ctx, at)
			if err == nil {
				n.storeAnswered()
			}
			if err == nil && table != nil {
				n.putInForce(table, "watch")
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

// watchServers waits for changes; a nudge ends the wait.
func (n *Node) watchServers(ctx context.Context, at int64) ([]inventory.Change, int64, error) {
	ctx, cancel := nudged(ctx, n.serversNudge)
	defer cancel()
	return n.options.Store.WatchServers(ctx, at, n.watchTime())
}

func (n *Node) watchTime() time.Duration {
	if n.peers.isSentinel() {
		return sentinelWatchTime
	}
	return watchTime
}

func (n *Node) watchPause() time.Duration {
	if n.peers.isSentinel() {
		return sentinelWatchPause
	}
	return watchPause
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

// send hands over a nudge; one that waits already is enough.
func send(nudge chan<- struct{}) {
	select {
	case nudge <- struct{}{}:
	default:
	}
}

// compareServers asks the store anew where a peer knows other servers from a
// newer revision for longer than news takes.
func (n *Node) compareServers(now time.Time, digest uint64, revision int64) {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	if digest == n.serversDigest || revision <= n.serversRevision {
		if digest == n.serversDigest {
			n.lagSince = time.Time{}
		}
		return
	}
	if n.lagSince.IsZero() {
		n.lagSince = now
		return
	}
	if now.Sub(n.lagSince) > lagTolerated {
		n.lagSince = time.Time{}
		send(n.serversNudge)
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

// followServers keeps the table of servers.
func (n *Node) followServers(ctx context.Context) {
	var pause backoff
	table := inventory.NewTable()
	for ctx.Err() == nil {
		servers, at, err := n.options.Store.Servers(ctx)
		if err != nil {
			n.storeFailed("servers", err)
			pause.wait(ctx)
			continue
		}
		n.takeServers(table.Replace(servers, at), at)
		n.noteServers(table)
		n.hasServers.Store(true)
		for err == nil && ctx.Err() == nil {
			pause.reset()
			var changes []inventory.Change
			changes, at, err = n.watchServers(ctx, at)
			if err == nil {
				n.storeAnswered()
				n.takeServers(table.Apply(changes, at), at)
				n.noteServers(table)
			}
			if len(changes) > 0 {
				sleep(ctx, n.watchPause())
			}
		}
		n.storeFailed("servers", err)
		if err != nil && !errors.Is(err, context.Canceled) {
			// What ended this watch may have made the other one deaf.
			send(n.configNudge)
		}
		pause.wait(ctx)
	}
}

// going is a server that takes no new work.
type going struct {
	beforeRevision int64
	learned        time.Time
}

// tellGoing lets peers hear at once which servers go.
func (n *Node) tellGoing(changes []inventory.Change, revision int64) {
	now := time.Now()
	n.viewMu.Lock()
	for id, known := range n.going {
		if now.Sub(known.learned) > goingTold {
			delete(n.going, id)
		}
	}
	found := false
	for _, change := range changes {
		switch {
		case change.Gone:
			n.going[change.Server.ID] = going{beforeRevision: revision + 1, learned: now}
			found = true
		case change.Server.Draining:
			n.going[change.Server.ID] = going{beforeRevision: change.Server.Revision, learned: now}
			found = true
		}
	}
	n.viewMu.Unlock()
	if found && n.peers.isSentinel() {
		n.peers.tick()
	}
}

// noteServers keeps what peers are told of the table.
func (n *Node) noteServers(table *inventory.Table) {
	n.viewMu.Lock()
	defer n.viewMu.Unlock()
	n.serversDigest = table.Digest()
	n.serversRevision = table.Revision()
}

func (n *Node) takeServers(changes []inventory.Change, revision int64) {
	if len(changes) == 0 {
		return
	}
	n.leader.call(context.Background(), func() { n.leader.takeServers(changes, revision) })
	n.dispatch.Do(func(core *dispatch.Core) { core.SetServers(changes) })
	n.tellGoing(changes, revision)
	for _, change := range changes {
		if change.Gone || change.Server.Draining {
			n.pool.Forget(change.Server.Address)
		}
		n.options.Logger.Info().Str("server", change.Server.ID).Str("address", change.Server.Address).
			Str("service", change.Server.Service).Bool("gone", change.Gone).Bool("draining", change.Server.Draining).
			Int64("revision", change.Server.Revision).Int("models", len(change.Server.Models)).Msg("server_changed")
	}
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
