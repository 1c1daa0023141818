package edge

import (
	"context"
	"errors"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

const (
	// serversPause is the pause between two calls for changes of the servers, whose
	// entries change many times a second in a large fleet. It is a part of the time
	// within which changes must be known (serversPauseShare), at the most
	// longestServersPause.
	serversPauseShare   = 0.3
	longestServersPause = 1200 * time.Millisecond
	// lagTolerated, lagShare for each node and longestLag bound how long a peer
	// may know other servers before this node asks it: news take longer in a
	// larger fleet.
	lagTolerated = 400 * time.Millisecond
	lagShare     = 8 * time.Millisecond
	longestLag   = time.Second
)

// followServers keeps the directory of servers.
func (n *Node) followServers(ctx context.Context) {
	var pause backoff
	for ctx.Err() == nil {
		if !n.watchesStore(clock.Now(), &n.serversConfirmed) {
			discard(n.serversNudge)
			n.relistServers.Store(false)
			sleep(ctx, watchCheck)
			continue
		}
		asked := clock.Now()
		n.relistServers.Store(false)
		servers, at, err := n.options.Store.Servers(ctx)
		if err != nil {
			n.serversFailed(ctx, err, &pause)
			continue
		}
		n.storeAnswered()
		if n.listServers(asked, servers, at) {
			n.serversConfirmed.confirm(asked)
		}
		for err == nil && ctx.Err() == nil && !n.relistServers.Load() && n.watchesStore(clock.Now(), &n.serversConfirmed) {
			pause.reset()
			at, err = n.watchServers(ctx, at)
		}
		if err != nil {
			n.serversFailed(ctx, err, &pause)
		}
	}
}

func (n *Node) serversFailed(ctx context.Context, err error, pause *backoff) {
	n.storeFailed("servers", err)
	if !errors.Is(err, context.Canceled) {
		// What ended this watch may have made the other one deaf.
		send(n.configNudge)
	}
	pause.wait(ctx, n.longestStorePause())
}

// watchServers waits for changes once; a nudge ends the wait.
func (n *Node) watchServers(ctx context.Context, from storepos.Position) (at storepos.Position, err error) {
	watch, cancel := nudged(ctx, n.serversNudge)
	defer cancel()
	asked, wait := clock.Now(), n.watchTime()
	events, at, err := n.options.Store.WatchServers(watch, from, wait)
	if err != nil {
		return at, err
	}
	n.storeAnswered()
	n.changeServers(events, at)
	if len(events) == 0 {
		n.serversConfirmed.confirm(confirmedBy(asked, wait, clock.Now()))
		return at, nil
	}
	n.serversConfirmed.confirm(asked)
	n.restServers(ctx)
	return at, nil
}

// restServers gathers changes into one call; a nudge ends the rest.
func (n *Node) restServers(ctx context.Context) {
	timer := time.NewTimer(min(longestServersPause, n.shareOf(serversPauseShare)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.serversNudge:
	case <-ctx.Done():
	}
}

// listServers takes the store's whole list, which was asked for at asked. It reports whether that is
// not older than what is known.
func (n *Node) listServers(asked time.Time, servers []inventory.Server, at storepos.Position) bool {
	now := clock.Now()
	known, knownAt, _ := n.directory.list()
	n.logLeftOut("list", len(servers), at, knownAt)
	servers = n.lapses.complete(now, servers, known)
	changes, hasNews := n.directory.replace(now, asked, servers, at)
	n.leader.call(context.Background(), func() { n.leader.listServers(now, asked, servers, at) })
	n.useServers(changes, "list")
	n.hasServers.Store(true)
	n.passOnNews(hasNews)
	if at.Era != knownAt.Era && !knownAt.IsZero() {
		n.options.Logger.Info().Str("at", at.String()).Str("known", knownAt.String()).Int("listed", len(servers)).
			Int("changed", len(changes)).Int("awaiting_rewrite", n.directory.awaiting(now)).Msg("servers_kept_over_era")
	}
	return !at.IsBefore(n.directory.completeTo())
}

// listPeerServers takes the whole list of a peer.
func (n *Node) listPeerServers(servers []inventory.Server, at storepos.Position) {
	n.useServers(n.directory.replaceByPeer(clock.Now(), servers, at), "peer_list")
	n.hasServers.Store(true)
}

// changeServers takes the store's events.
func (n *Node) changeServers(events []inventory.Change, at storepos.Position) {
	now := clock.Now()
	n.logLeftOut("watch", len(events), at, n.directory.completeTo())
	events = n.lapses.filter(now, events)
	if len(events) > 0 {
		n.leader.call(context.Background(), func() { n.leader.changeServers(now, events, at) })
	}
	changes, hasNews := n.directory.apply(now, events, at)
	n.useServers(changes, "watch")
	n.passOnNews(hasNews)
}

// logLeftOut writes that an answer of the store is older than what is known, and changes nothing.
func (n *Node) logLeftOut(from string, entries int, at, known storepos.Position) {
	if entries == 0 || !at.IsBefore(known) {
		return
	}
	n.metrics.leftOut.WithLabelValues("servers", from).Inc()
	n.options.Logger.Warn().Str("from", from).Int("entries", entries).Str("at", at.String()).Str("known", known.String()).Msg("servers_left_out")
}

// passOnNews lets peers hear at once of what the store told.
func (n *Node) passOnNews(hasNews bool) {
	if hasNews {
		n.peers.tick()
	}
}

// hearServers takes the news of a peer. Entries from before a word that a server goes
// may be under way to the choice of servers still: they do not bring the server back.
func (n *Node) hearServers(now time.Time, items []gossip.ServerChange) {
	changes := n.directory.hear(now, items)
	if len(changes) == 0 {
		return
	}
	n.useServers(changes, "peer")
	n.dispatch.Do(func(core *dispatch.Core) {
		for _, change := range changes {
			if change.Server.Draining {
				core.SetDraining(change.Server.ID, change.Server.Position)
			}
		}
	})
}

// useServers puts changes in force.
func (n *Node) useServers(changes []inventory.Change, from string) {
	if len(changes) == 0 {
		return
	}
	now := clock.Now()
	worked, startedAgain := make(map[string]bool, len(changes)), make(map[string]bool)
	n.dispatch.Do(func(core *dispatch.Core) {
		for _, change := range changes {
			worked[change.Server.ID] = core.Stays(change.Server.ID)
			startedAgain[change.Server.ID] = !change.Gone && core.KnowsOtherStart(change.Server.Start())
		}
		core.SetServers(changes)
		for _, change := range changes {
			if !change.Gone {
				core.UpdateColdFromEntry(now, change.Server)
			}
		}
	})
	for _, change := range changes {
		if change.Gone || change.Server.Draining || startedAgain[change.Server.ID] {
			n.pool.CloseIdle(change.Server.Address)
		}
		n.logServer(change, worked[change.Server.ID] && !startedAgain[change.Server.ID], from)
	}
}

// logServer writes what became known of a server. Whether it takes work is an event
// of its own, of which every line is kept: entries that say what engines hold change
// hundreds of times a second in a large fleet.
func (n *Node) logServer(change inventory.Change, worked bool, from string) {
	event := "server_changed"
	if worked && !change.Gone && !change.Server.Draining {
		event = "server_entry"
	}
	n.options.Logger.Info().Str("server", change.Server.ID).Int64("born", change.Server.StartedAtMs).Str("address", change.Server.Address).
		Str("service", change.Server.Service).Bool("gone", change.Gone).Bool("draining", change.Server.Draining).
		Str("position", change.Server.Position.String()).Int("models", len(change.Server.Models)).
		Str("from", from).Msg(event)
}

// compareServers takes which servers a peer knows. Where they are others, from a
// newer revision or confirmed later, for longer than news take, the peer is asked
// for them; a node that watches the store itself asks that anew.
func (n *Node) compareServers(now time.Time, state *peerpb.NodeState) {
	n.confirmServers(now, state.ServersDigest, state.ServersAgeMs)
	age, known := n.serversConfirmed.age(now)
	isFresher := state.ServersAgeMs > 0 && (!known || time.Duration(state.ServersAgeMs)*time.Millisecond < age)
	tolerated := min(longestLag, lagTolerated+n.nodes()*lagShare)
	switch {
	case !n.hasServers.Load() && state.ServersRevision > 0:
		if !n.snapshots.mayAsk(now, state.Address) {
			return
		}
		n.snapshots.want(wantedSnapshot{address: state.Address})
	case !n.directory.lags(now, state.ServersDigest, storepos.At(state.ServersEra, state.ServersRevision), isFresher, tolerated):
	case n.watchesStore(now, &n.serversConfirmed):
		send(n.serversNudge)
	case !n.snapshots.mayAsk(now, state.Address):
	default:
		n.snapshots.want(wantedSnapshot{address: state.Address})
	}
}

// confirmServers takes how old a peer's knowledge is, where it is the same; that of a
// node which has no list yet is not.
func (n *Node) confirmServers(now time.Time, digest uint64, age uint32) {
	if !n.hasServers.Load() {
		return
	}
	if own, _ := n.directory.standing(); own == digest {
		n.serversConfirmed.hear(now, age)
	}
}
