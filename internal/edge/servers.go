package edge

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

const (
	// The pause between two calls for changes of the servers, whose entries change many times a
	// second in a large fleet, is a fraction of the time within which changes must be in force
	// (serversPauseFraction), and at most maxServersPause.
	serversPauseFraction = 0.3
	maxServersPause      = 1200 * time.Millisecond
	// serversLagTolerance, serversLagPerNode and maxServersLag bound how long a peer may report
	// different servers before this node asks for them: changes take longer to propagate in a
	// larger fleet.
	serversLagTolerance = 400 * time.Millisecond
	serversLagPerNode   = 8 * time.Millisecond
	maxServersLag       = time.Second
)

// followServers keeps the directory of servers up to date.
func (n *Node) followServers(ctx context.Context) {
	var pause backoff
	isIdle, lastCalled := true, n.started
	for ctx.Err() == nil {
		if !n.shouldQueryStore(clock.Now(), &n.serversConfirmed) {
			isIdle = true
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
		if isIdle && requestedAt.Sub(lastCalled) >= minOutageForExpiry && n.knowsOnlyOthers(servers) {
			// An outage in which all entries expired may have passed without a call of this node.
			n.expiryGrace.begin(clock.Now())
		}
		isIdle = false
		n.recordStoreSuccess()
		if n.applyServerList(requestedAt, servers, at) {
			n.serversConfirmed.confirm(requestedAt)
		}
		for err == nil && ctx.Err() == nil && !n.reloadServers.Load() && n.shouldQueryStore(clock.Now(), &n.serversConfirmed) {
			pause.reset()
			at, err = n.watchServers(ctx, at)
		}
		lastCalled = clock.Now()
		if err != nil {
			n.handleServersError(ctx, err, &pause)
		}
	}
}

// knowsOnlyOthers reports whether servers are known to take work, and the list has none of them. A
// list that lacks some of them is believed: servers end at any time.
func (n *Node) knowsOnlyOthers(listed []inventory.Server) bool {
	isListed := make(map[string]bool, len(listed))
	for _, server := range listed {
		isListed[server.ID] = true
	}
	known, _, _ := n.directory.listAvailable()
	return len(known) > 0 && !slices.ContainsFunc(known, func(server inventory.Server) bool { return isListed[server.ID] })
}

func (n *Node) handleServersError(ctx context.Context, err error, pause *backoff) {
	n.recordStoreFailure("servers", err)
	if !errors.Is(err, context.Canceled) {
		// The failure may have stalled the other watch, too.
		signal(n.configRefresh)
	}
	pause.wait(ctx, n.storePauseLimit())
}

// watchServers waits once for changes; a signal on serversRefresh ends the wait.
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

// pauseServersWatch lets changes accumulate so that one call returns them; a refresh signal ends
// the pause.
func (n *Node) pauseServersWatch(ctx context.Context) {
	timer := time.NewTimer(min(maxServersPause, n.fractionOfBound(serversPauseFraction)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-n.serversRefresh:
	case <-ctx.Done():
	}
}

// applyServerList applies the store's whole list, requested at requestedAt. It reports whether
// the list is not older than what is known.
func (n *Node) applyServerList(requestedAt time.Time, servers []inventory.Server, at storepos.Position) bool {
	now := clock.Now()
	known, knownAt, _ := n.directory.listAvailable()
	n.logStaleAnswer("list", len(servers), at, knownAt)
	servers = n.expiryGrace.addMissing(now, servers, known)
	n.leader.deliver(context.Background(), func() { n.leader.applyServerList(now, requestedAt, servers, at) })
	hasOutgoing := false
	changes := n.changeServers("list", func() (changes []inventory.Change) {
		changes, hasOutgoing = n.directory.replace(now, requestedAt, servers, at)
		return changes
	})
	n.hasServers.Store(true)
	n.history.observe(clock.Now())
	n.announceChanges(hasOutgoing)
	if at.Era != knownAt.Era && !knownAt.IsZero() {
		n.options.Logger.Info().Str("at", at.String()).Str("known", knownAt.String()).Int("listed", len(servers)).
			Int("changed", len(changes)).Int("awaiting_rewrite", n.directory.countEarlierEra(now)).Msg("servers_kept_over_era")
	}
	return !at.IsBefore(n.directory.position())
}

// applyPeerServerList applies the whole list of a peer.
func (n *Node) applyPeerServerList(list inventory.PeerList) {
	now := clock.Now()
	knownAt, knownPrior := n.directory.position(), n.directory.prior(now)
	changes := n.changeServers("peer_list", func() []inventory.Change { return n.directory.replaceByPeer(now, list) })
	n.hasServers.Store(true)
	n.history.observe(clock.Now())
	if prior := n.directory.prior(now); prior != knownPrior {
		n.options.Logger.Info().Str("at", list.Position.String()).Str("prior", prior.String()).Str("known", knownAt.String()).
			Str("known_prior", knownPrior.String()).Int("listed", len(list.Servers)).Int("changed", len(changes)).Msg("servers_known_before_restore")
	}
}

// applyServerEvents applies the store's events.
func (n *Node) applyServerEvents(events []inventory.Change, at storepos.Position) {
	now := clock.Now()
	n.logStaleAnswer("watch", len(events), at, n.directory.position())
	events = n.expiryGrace.filterRemovals(now, events)
	if len(events) > 0 {
		n.leader.deliver(context.Background(), func() { n.leader.applyServerEvents(now, events, at) })
	}
	hasOutgoing := false
	n.changeServers("watch", func() (changes []inventory.Change) {
		changes, hasOutgoing = n.directory.apply(now, events, at)
		return changes
	})
	n.announceChanges(hasOutgoing)
}

// logStaleAnswer logs that a response of the store is older than what is known and was ignored.
func (n *Node) logStaleAnswer(from string, entries int, at, known storepos.Position) {
	if entries == 0 || !at.IsBefore(known) {
		return
	}
	n.metrics.staleAnswers.WithLabelValues("servers", from).Inc()
	n.options.Logger.Warn().Str("from", from).Int("entries", entries).Str("at", at.String()).Str("known", known.String()).Msg("servers_left_out")
}

// announceChanges sends changes from the store to peers immediately.
func (n *Node) announceChanges(hasOutgoing bool) {
	if hasOutgoing {
		n.peers.tick()
	}
}

// receivePeerChanges applies changes announced by a peer. Entries older than a server's removal
// may still be on their way to the dispatcher; they do not bring the server back.
func (n *Node) receivePeerChanges(now time.Time, items []gossip.ServerChange) {
	changes := n.changeServers("peer", func() []inventory.Change { return n.directory.applyPeerChanges(now, items) })
	if len(changes) == 0 {
		return
	}
	n.dispatch.Do(func(core *dispatch.Core) {
		for _, change := range changes {
			if change.Server.Draining {
				core.SetDraining(change.Server.ID, change.Server.Position)
			}
		}
	})
}

// changeServers changes the directory and puts the changes into effect, in the order in which the directory
// takes them: it orders what the store and the peers say, and nothing else does.
func (n *Node) changeServers(from string, change func() []inventory.Change) []inventory.Change {
	n.serversActivation.Lock()
	defer n.serversActivation.Unlock()
	changes := change()
	n.applyServerChanges(changes, from)
	return changes
}

// applyServerChanges puts changes into effect.
func (n *Node) applyServerChanges(changes []inventory.Change, from string) {
	if len(changes) == 0 {
		return
	}
	now := clock.Now()
	n.origins.observeServers(now, changes)
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

// logServerChange logs a change of a server. A change of whether it accepts work has its own
// event, all of whose lines are kept: entries that only report what engines hold change hundreds
// of times a second in a large fleet.
func (n *Node) logServerChange(change inventory.Change, wasAvailable bool, from string) {
	event := "server_changed"
	if wasAvailable && !change.Gone && !change.Server.Draining {
		event = "server_entry"
	}
	n.options.Logger.Info().Str("server", change.Server.ID).Int64("born", change.Server.StartedAtMs).Str("address", change.Server.Address).
		Str("service", change.Server.Service).Str("version", change.Server.SoftwareVersion).Bool("gone", change.Gone).Bool("draining", change.Server.Draining).
		Str("position", change.Server.Position.String()).Int("models", len(change.Server.Models)).
		Str("from", from).Msg(event)
}

// compareServers compares a peer's servers with those known here. If they differ for longer than
// changes take to propagate, and the peer's come from a newer revision or were confirmed later,
// the peer is asked for them; a node that watches the store itself reloads them from there.
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
	case state.ServersRevision > 0 && n.mayAskForPrior(now, state.ServersDigest):
		n.snapshots.enqueue(wantedSnapshot{address: state.Address})
	case !n.directory.isBehind(now, state.ServersDigest, storepos.At(state.ServersEra, state.ServersRevision), isFresher, tolerance):
	case n.shouldQueryStore(now, &n.serversConfirmed):
		signal(n.serversRefresh)
	case !n.snapshots.mayRequest(now, state.Address):
	default:
		n.snapshots.enqueue(wantedSnapshot{address: state.Address})
	}
}

// priorRequestPeriod is the minimum interval between requests for what peers knew before the store
// was restored.
const priorRequestPeriod = 250 * time.Millisecond

// mayAskForPrior reports whether a peer with other servers may know more of the time before the store
// was restored and is to be asked for its list, whatever its position.
func (n *Node) mayAskForPrior(now time.Time, digest uint64) bool {
	if own, _ := n.directory.digestAndPosition(); own == digest || !n.directory.lacksPrior(now) {
		return false
	}
	if now.Sub(n.priorRequestedAt) < priorRequestPeriod {
		return false
	}
	n.priorRequestedAt = now
	return true
}

// confirmServers applies the age of a peer's data if both nodes know the same servers. It does
// nothing before this node has its first list.
func (n *Node) confirmServers(now time.Time, digest uint64, age uint32) {
	if !n.hasServers.Load() {
		return
	}
	if own, _ := n.directory.digestAndPosition(); own == digest {
		n.serversConfirmed.receiveAge(now, age)
	}
}
