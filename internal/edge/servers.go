package edge

import (
	"context"
	"errors"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	// serversPause and serversPauseShare, which counts for each node, bound the
	// pause between two calls for changes of the servers: all nodes together make
	// about seven of these calls a second, up to the fleet in which the pause is
	// the longest, which the store's history must cover. Who comes or goes is told
	// by the sentinels meanwhile.
	serversPause        = 1200 * time.Millisecond
	serversPauseShare   = 150 * time.Millisecond
	longestServersPause = 15 * time.Second
	// The sentinels' pause is short, and grows a little with the fleet, which has
	// more of them: one of them asks several times a second.
	sentinelServersPause      = 450 * time.Millisecond
	sentinelServersPauseShare = 6 * time.Millisecond
	longestSentinelPause      = time.Second
	// lagTolerated, lagShare for each node and longestLag bound how long a peer
	// may know other servers before this node asks the store anew: news take
	// longer in a larger fleet.
	lagTolerated = 400 * time.Millisecond
	lagShare     = 8 * time.Millisecond
	longestLag   = time.Second
)

// followServers keeps the directory of servers.
func (n *Node) followServers(ctx context.Context) {
	var pause backoff
	for ctx.Err() == nil {
		servers, at, err := n.options.Store.Servers(ctx)
		if err != nil {
			n.storeFailed("servers", err)
			pause.wait(ctx)
			continue
		}
		n.listServers(servers, at)
		for err == nil && ctx.Err() == nil {
			pause.reset()
			var events []inventory.Change
			events, at, err = n.watchServers(ctx, at)
			if err == nil {
				n.storeAnswered()
				n.changeServers(events, at)
			}
			if len(events) > 0 {
				n.restServers(ctx)
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

// watchServers waits for changes; a nudge ends the wait.
func (n *Node) watchServers(ctx context.Context, at int64) ([]inventory.Change, int64, error) {
	ctx, cancel := nudged(ctx, n.serversNudge)
	defer cancel()
	return n.options.Store.WatchServers(ctx, at, n.watchTime())
}

// restServers gathers changes into one call; a nudge ends the rest.
func (n *Node) restServers(ctx context.Context) {
	timer := time.NewTimer(n.serversPause())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.serversNudge:
	case <-ctx.Done():
	}
}

func (n *Node) serversPause() time.Duration {
	if n.peers.isSentinel() {
		return min(longestSentinelPause, sentinelServersPause+n.nodes()*sentinelServersPauseShare)
	}
	return min(longestServersPause, max(serversPause, n.nodes()*serversPauseShare))
}

// listServers takes the store's whole list.
func (n *Node) listServers(servers []inventory.Server, revision int64) {
	changes, hasNews := n.directory.replace(time.Now(), servers, revision)
	n.leader.call(context.Background(), func() { n.leader.listServers(servers, revision) })
	n.useServers(changes, "list")
	n.hasServers.Store(true)
	n.passOnNews(hasNews)
}

// changeServers takes the store's events.
func (n *Node) changeServers(events []inventory.Change, revision int64) {
	if len(events) > 0 {
		n.leader.call(context.Background(), func() { n.leader.changeServers(events, revision) })
	}
	changes, hasNews := n.directory.apply(time.Now(), events, revision)
	n.useServers(changes, "watch")
	n.passOnNews(hasNews)
}

// passOnNews lets peers hear at once of what the store told a sentinel.
func (n *Node) passOnNews(hasNews bool) {
	if hasNews && n.peers.isSentinel() {
		n.peers.tick()
	}
}

// hearServers takes the news of a peer.
func (n *Node) hearServers(now time.Time, items []gossip.Item) {
	changes := n.directory.hear(now, items)
	n.useServers(changes, "peer")
	n.dispatch.Do(func(core *dispatch.Core) {
		for _, item := range items {
			if item.Server.Draining {
				core.SetGoing(item.Server.ID, item.Server.Revision)
			}
		}
	})
}

// useServers puts changes in force.
func (n *Node) useServers(changes []inventory.Change, from string) {
	if len(changes) == 0 {
		return
	}
	n.dispatch.Do(func(core *dispatch.Core) { core.SetServers(changes) })
	for _, change := range changes {
		if change.Gone || change.Server.Draining {
			n.pool.Forget(change.Server.Address)
		}
		n.options.Logger.Info().Str("server", change.Server.ID).Str("address", change.Server.Address).
			Str("service", change.Server.Service).Bool("gone", change.Gone).Bool("draining", change.Server.Draining).
			Int64("revision", change.Server.Revision).Int("models", len(change.Server.Models)).
			Str("from", from).Msg("server_changed")
	}
}

// compareServers asks the store anew where a peer knows other servers from a
// newer revision for longer than news take.
func (n *Node) compareServers(now time.Time, digest uint64, revision int64) {
	tolerated := min(longestLag, lagTolerated+n.nodes()*lagShare)
	if n.directory.lags(now, digest, revision, tolerated) {
		send(n.serversNudge)
	}
}
