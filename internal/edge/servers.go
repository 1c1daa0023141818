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
	// within which changes must be known (serversPauseFraction), at the most
	// longestServersPause.
	serversPauseFraction = 0.3
	maxServersPause      = 1200 * time.Millisecond
	// serversLagTolerance, lagShare for each node and longestLag bound how long a peer
	// may know other servers before this node asks it: news take longer in a
	// larger fleet.
	serversLagTolerance = 400 * time.Millisecond
	serversLagPerNode   = 8 * time.Millisecond
	maxServersLag       = time.Second
)

// followServers keeps the directory of servers.
func (n *Node) followServers(ctx context.Context) {
	var pause backoff
	for ctx.Err() == nil {
		if !n.shouldQueryStore(clock.Now(), &n.serversConfirmed) {
			clearSignal(n.serversRefresh)
			n.reloadServers.Store(false)
			sleep(ctx, roleCheckPeriod)
			continue
		}
		requestedAt := clock.Now()
		n.reloadServers.Store(false)
		servers, at, err := n.options.Store.Servers(ctx)
		if err != nil {
			n.handleServersError(ctx, err, &pause)
			continue
		}
		n.recordStoreSuccess()
		if n.applyServerList(requestedAt, servers, at) {
			n.serversConfirmed.confirm(requestedAt)
		}
		for err == nil && ctx.Err() == nil && !n.reloadServers.Load() && n.shouldQueryStore(clock.Now(), &n.serversConfirmed) {
			pause.reset()
			at, err = n.watchServers(ctx, at)
		}
		if err != nil {
			n.handleServersError(ctx, err, &pause)
		}
	}
}

func (n *Node) handleServersError(ctx context.Context, err error, pause *backoff) {
	n.recordStoreFailure("servers", err)
	if !errors.Is(err, context.Canceled) {
		// What ended this watch may have made the other one deaf.
		signal(n.configRefresh)
	}
	pause.wait(ctx, n.storePauseLimit())
}

// watchServers waits for changes once; a nudge ends the wait.
func (n *Node) watchServers(ctx context.Context, from storepos.Position) (at storepos.Position, err error) {
	watch, cancel := cancelOnSignal(ctx, n.serversRefresh)
	defer cancel()
	requestedAt, wait := clock.Now(), n.watchTimeout()
	events, at, err := n.options.Store.WatchServers(watch, from, wait)
	if err != nil {
		return at, err
	}
	n.recordStoreSuccess()
	n.applyServerEvents(events, at)
	if len(events) == 0 {
		n.serversConfirmed.confirm(confirmedUntil(requestedAt, wait, clock.Now()))
		return at, nil
	}
	n.serversConfirmed.confirm(requestedAt)
	n.pauseServersWatch(ctx)
	return at, nil
}

// pauseServersWatch gathers changes into one call; a nudge ends the rest.
func (n *Node) pauseServersWatch(ctx context.Context) {
	timer := time.NewTimer(min(maxServersPause, n.fractionOfBound(serversPauseFraction)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.serversRefresh:
	case <-ctx.Done():
	}
}

// applyServerList takes the store's whole list, which was asked for at asked. It reports whether that is
// not older than what is known.
func (n *Node) applyServerList(requestedAt time.Time, servers []inventory.Server, at storepos.Position) bool {
	now := clock.Now()
	known, knownAt, _ := n.directory.listAvailable()
	n.logStaleAnswer("list", len(servers), at, knownAt)
	servers = n.expiryGrace.addMissing(now, servers, known)
	changes, hasOutgoing := n.directory.replace(now, requestedAt, servers, at)
	n.leader.deliver(context.Background(), func() { n.leader.applyServerList(now, requestedAt, servers, at) })
	n.applyServerChanges(changes, "list")
	n.hasServers.Store(true)
	n.announceChanges(hasOutgoing)
	if at.Era != knownAt.Era && !knownAt.IsZero() {
		n.options.Logger.Info().Str("at", at.String()).Str("known", knownAt.String()).Int("listed", len(servers)).
			Int("changed", len(changes)).Int("awaiting_rewrite", n.directory.countEarlierEra(now)).Msg("servers_kept_over_era")
	}
	return !at.IsBefore(n.directory.position())
}

// applyPeerServerList takes the whole list of a peer.
func (n *Node) applyPeerServerList(servers []inventory.Server, at storepos.Position) {
	n.applyServerChanges(n.directory.replaceByPeer(clock.Now(), servers, at), "peer_list")
	n.hasServers.Store(true)
}

// applyServerEvents takes the store's events.
func (n *Node) applyServerEvents(events []inventory.Change, at storepos.Position) {
	now := clock.Now()
	n.logStaleAnswer("watch", len(events), at, n.directory.position())
	events = n.expiryGrace.filterRemovals(now, events)
	if len(events) > 0 {
		n.leader.deliver(context.Background(), func() { n.leader.applyServerEvents(now, events, at) })
	}
	changes, hasOutgoing := n.directory.apply(now, events, at)
	n.applyServerChanges(changes, "watch")
	n.announceChanges(hasOutgoing)
}

// logStaleAnswer writes that an answer of the store is older than what is known, and changes nothing.
func (n *Node) logStaleAnswer(from string, entries int, at, known storepos.Position) {
	if entries == 0 || !at.IsBefore(known) {
		return
	}
	n.metrics.staleAnswers.WithLabelValues("servers", from).Inc()
	n.options.Logger.Warn().Str("from", from).Int("entries", entries).Str("at", at.String()).Str("known", known.String()).Msg("servers_left_out")
}

// announceChanges lets peers hear at once of what the store told.
func (n *Node) announceChanges(hasOutgoing bool) {
	if hasOutgoing {
		n.peers.tick()
	}
}

// receivePeerChanges takes the news of a peer. Entries from before a word that a server goes
// may be under way to the choice of servers still: they do not bring the server back.
func (n *Node) receivePeerChanges(now time.Time, items []gossip.ServerChange) {
	changes := n.directory.applyPeerChanges(now, items)
	if len(changes) == 0 {
		return
	}
	n.applyServerChanges(changes, "peer")
	n.dispatch.Do(func(core *dispatch.Core) {
		for _, change := range changes {
			if change.Server.Draining {
				core.SetDraining(change.Server.ID, change.Server.Position)
			}
		}
	})
}

// applyServerChanges puts changes in force.
func (n *Node) applyServerChanges(changes []inventory.Change, from string) {
	if len(changes) == 0 {
		return
	}
	now := clock.Now()
	wasAvailable, startedAgain := make(map[string]bool, len(changes)), make(map[string]bool)
	n.dispatch.Do(func(core *dispatch.Core) {
		for _, change := range changes {
			wasAvailable[change.Server.ID] = core.Stays(change.Server.ID)
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
		n.logServerChange(change, wasAvailable[change.Server.ID] && !startedAgain[change.Server.ID], from)
	}
}

// logServerChange writes what became known of a server. Whether it takes work is an event
// of its own, of which every line is kept: entries that say what engines hold change
// hundreds of times a second in a large fleet.
func (n *Node) logServerChange(change inventory.Change, wasAvailable bool, from string) {
	event := "server_changed"
	if wasAvailable && !change.Gone && !change.Server.Draining {
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
	tolerance := min(maxServersLag, serversLagTolerance+n.nodeFactor()*serversLagPerNode)
	switch {
	case !n.hasServers.Load() && state.ServersRevision > 0:
		if !n.snapshots.mayRequest(now, state.Address) {
			return
		}
		n.snapshots.enqueue(wantedSnapshot{address: state.Address})
	case !n.directory.isBehind(now, state.ServersDigest, storepos.At(state.ServersEra, state.ServersRevision), isFresher, tolerance):
	case n.shouldQueryStore(now, &n.serversConfirmed):
		signal(n.serversRefresh)
	case !n.snapshots.mayRequest(now, state.Address):
	default:
		n.snapshots.enqueue(wantedSnapshot{address: state.Address})
	}
}

// confirmServers takes how old a peer's knowledge is, where it is the same; that of a
// node which has no list yet is not.
func (n *Node) confirmServers(now time.Time, digest uint64, age uint32) {
	if !n.hasServers.Load() {
		return
	}
	if own, _ := n.directory.digestAndPosition(); own == digest {
		n.serversConfirmed.receiveAge(now, age)
	}
}
