package edge

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/storelease"
)

// maintainLease reads or writes the lease when that is due.
func (l *leader) maintainLease(ctx context.Context, now time.Time) {
	if l.callPending || now.Before(l.nextCall) {
		return
	}
	l.lease.Expire(now)
	if l.lease.Term() != 0 && (l.shouldCede(now) || l.shouldYield(now)) {
		l.lease.WriteConflicted()
	}
	switch {
	case l.lease.Term() != 0:
		if l.reserveNow || !now.Before(l.lease.RenewAt()) {
			l.reserveNow = false
			l.writeLease(ctx, now)
		}
	case !l.isCandidate(now):
	case l.lease.CanAcquire(now):
		l.writeLease(ctx, now)
	default:
		l.readLease(ctx)
	}
}

const (
	// yieldDelay is how long a much stronger node must be present before a leader yields to it.
	// yieldStandDown is how long the old leader then refrains from candidacy.
	yieldDelay     = 3 * time.Second
	yieldStandDown = 5 * time.Second
	// minYieldInterval is the minimum time between two yields of a node, so that it does not
	// keep waiting for a stronger node that does not take the lead.
	minYieldInterval = time.Minute
	// yieldCheckPeriod is the interval between checks for stronger nodes.
	yieldCheckPeriod = 500 * time.Millisecond
	// firstReadDelayPerRank (for each node that precedes this one) and maxFirstReadDelay
	// determine how long a starting node waits before it reads a lease that no peer has
	// reported; usually one of the first nodes reads it earlier.
	firstReadDelayPerRank = 150 * time.Millisecond
	maxFirstReadDelay     = 8 * time.Second
	// initialLeaseDelay is how long nodes listen to each other before the first of them takes a
	// lease that nobody ever held. There is nothing to place yet, and otherwise a weak machine
	// that came first would lead the whole fleet.
	initialLeaseDelay = 2500 * time.Millisecond
)

// shouldYield reports whether a leader should end its term because a much stronger node is
// present: the leader's work grows with the fleet, and a weak machine cannot keep up.
func (l *leader) shouldYield(now time.Time) bool {
	if now.Sub(l.yieldCheckedAt) < yieldCheckPeriod || now.Sub(l.yieldedAt) < minYieldInterval {
		return false
	}
	l.yieldCheckedAt = now
	l.node.peers.mu.Lock()
	hasStronger := l.node.peers.roster.HasMuchStrongerPeer(now)
	l.node.peers.mu.Unlock()
	if !hasStronger {
		l.strongerSince = time.Time{}
		return false
	}
	if l.strongerSince.IsZero() {
		l.strongerSince = now
	}
	if now.Sub(l.strongerSince) < yieldDelay {
		return false
	}
	l.yieldedAt = now
	l.node.options.Logger.Info().Int64("term", l.lease.Term()).Msg("lease_yielded")
	return true
}

// hasOrderingPeer reports whether this node could not order models while another node could.
func (l *leader) hasOrderingPeer(now time.Time) bool {
	if !l.node.reachable.cannotOrder() {
		return false
	}
	l.node.peers.mu.Lock()
	defer l.node.peers.mu.Unlock()
	return l.node.peers.roster.HasOrderingPeer(now)
}

// shouldCede reports whether a leader should end its term because its orders reach no server of some
// service, and another node could lead.
func (l *leader) shouldCede(now time.Time) bool {
	if !l.hasOrderingPeer(now) {
		return false
	}
	l.node.options.Logger.Warn().Int64("term", l.lease.Term()).Msg("lease_ceded")
	return true
}

// isCandidate reports whether this node should try to become leader.
func (l *leader) isCandidate(now time.Time) bool {
	if !l.node.isReady() {
		return false
	}
	if now.Sub(l.yieldedAt) < yieldStandDown || l.hasOrderingPeer(now) {
		return false
	}
	l.node.peers.mu.Lock()
	current := l.node.peers.roster.Leader(now)
	hasLeader := current != nil && current.LeaseExpiredFor < leaseExpiryTolerance
	if current != nil {
		l.lease.ObserveWrite(current.LastSeen, current.Name, current.Address, current.LeasePosition)
	}
	rank := l.node.peers.roster.Rank(now)
	l.node.peers.mu.Unlock()
	if l.lease.IsOwn() {
		// The lease names this node: it restarted and continues at once.
		return true
	}
	if hasLeader {
		l.leaderlessSince = time.Time{}
		return false
	}
	if !l.lease.IsKnown() {
		return now.Sub(l.started) >= l.node.firstRead+min(maxFirstReadDelay, time.Duration(rank)*firstReadDelayPerRank)
	}
	if l.leaderlessSince.IsZero() {
		l.leaderlessSince = now
	}
	wait := time.Duration(rank) * rankDelay
	if l.lease.Record().Holder == "" && now.Sub(l.started) < initialLeaseDelay {
		return false
	}
	return now.Sub(l.started) > candidacyDelay+wait && now.Sub(l.leaderlessSince) >= wait
}

func (l *leader) readLease(ctx context.Context) {
	l.callPending = true
	requestedAt := clock.Now()
	go func() {
		record, found, err := l.node.options.Lease.ReadLease(ctx)
		l.deliver(ctx, func() {
			now := clock.Now()
			l.callPending = false
			l.nextCall = now.Add(leaseReadInterval/2 + rand.N(leaseReadInterval))
			switch {
			case err != nil:
				l.node.recordStoreFailure("lease", err)
			case found:
				l.receiveLease(requestedAt, now, record)
				if l.lease.CanAcquire(now) {
					l.nextCall = now
				}
			default:
				// No node has led yet: the fleet is only what can be heard.
				l.node.admissions.learnFleetSize(1)
				l.lease.ObserveAbsent(requestedAt, now, record.Position.Era)
				l.nextCall = now
			}
		})
	}()
}

// receiveLease applies the lease as read by a call that was made at requestedAt, with what its holder told of the
// fleet. The bars in it have run on since it was first seen.
func (l *leader) receiveLease(requestedAt, now time.Time, record storelease.Record) {
	l.lease.Observe(requestedAt, now, record)
	l.node.quotas.raiseFleetSize(now, record.Nodes)
	l.node.admissions.learnFleetSize(record.Nodes)
	if l.lease.Record().Position == record.Position {
		l.node.suspects.receiveStoredBars(now, record.Barred, l.lease.RecordAge(now))
	}
	// The holder gives access to the other nodes if no seed address is valid.
	l.node.peers.addSeeds([]string{record.Address})
}

func (l *leader) writeLease(ctx context.Context, now time.Time) {
	l.callPending = true
	record := l.lease.NextRecord(now)
	record.Nodes, _ = l.node.quotas.fleetSize(now)
	record.Barred = l.node.suspects.storedBars(now)
	core := l.core
	if core != nil {
		record.Loads = core.ReserveLoads(now)
		record.LoadsAtOnce = core.LoadsAtOnce()
	} else {
		record.Loads = l.lease.Record().Loads
		record.LoadsAtOnce = l.lease.Record().LoadsAtOnce
	}
	sentAt := now
	go func() {
		at, won, err := l.node.options.Lease.WriteLease(ctx, record)
		l.deliver(ctx, func() {
			now := clock.Now()
			l.callPending = false
			switch {
			case err != nil:
				l.node.recordStoreFailure("lease", err)
				l.nextCall = now.Add(leaseRetryPause/4 + rand.N(leaseRetryPause/2))
				l.readBack(ctx)
			case !won:
				l.node.options.Logger.Warn().Int64("term", l.lease.Term()).Str("position", record.Position.String()).Msg("lease_write_refused")
				l.nextCall = now.Add(l.refusedWritePause())
				l.readBack(ctx)
			case !l.lease.WriteSucceeded(sentAt, now, at):
				l.node.options.Logger.Warn().Int64("term", l.lease.Term()).Str("position", record.Position.String()).
					Str("written", at.String()).Msg("lease_written_in_other_era")
				l.readBack(ctx)
			default:
				l.refusedWrites = 0
				if core != nil && core == l.core {
					core.ConfirmReservation()
				}
			}
		})
	}()
}

// refusedWritePause returns the pause after a write that lost against another. There is none
// after the first, because the lease is read back at once.
func (l *leader) refusedWritePause() time.Duration {
	l.refusedWrites++
	if l.refusedWrites == 1 {
		return 0
	}
	return leaseRetryPause/4 + rand.N(leaseRetryPause/2)
}

// readBack determines the outcome of a write that was not answered or did not win.
func (l *leader) readBack(ctx context.Context) {
	l.callPending = true
	requestedAt := clock.Now()
	go func() {
		record, found, err := l.node.options.Lease.ReadLease(ctx)
		l.deliver(ctx, func() {
			l.callPending = false
			switch {
			case err != nil:
			case found:
				l.lease.Observe(requestedAt, clock.Now(), record)
			default:
				l.lease.ObserveAbsent(requestedAt, clock.Now(), record.Position.Era)
			}
		})
	}()
}

// recallLoadsOfOthers records the loads that the views of earlier leaders tell of: the answers to their
// orders may have been lost.
func (l *leader) recallLoadsOfOthers() {
	l.node.dispatch.Do(func(core *dispatch.Core) {
		for view, receivedAt := range core.Views {
			for model := range view.Loading {
				if !strings.Contains(model, "/") {
					l.formerOrders.AddPossibleLoad(receivedAt, view.ServerID, model, view.Sequence)
				}
			}
		}
	})
}
