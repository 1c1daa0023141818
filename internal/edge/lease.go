package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
)

// maintainLease reads or writes the lease where that is due.
func (l *leader) maintainLease(ctx context.Context, now time.Time) {
	if l.callPending || now.Before(l.nextCall) {
		return
	}
	l.lease.Expire(now)
	if l.lease.Term() != 0 && l.shouldYield(now) {
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
	// yieldDelay is how long a much stronger node must be seen before a leader
	// leaves the lead to it, and yieldTime how long it then is no candidate.
	yieldDelay     = 3 * time.Second
	yieldStandDown = 5 * time.Second
	// minYieldInterval is the least time between two times that a node yields: a
	// stronger one that does not take the lead is not waited for again and again.
	minYieldInterval = time.Minute
	// yieldCheckPeriod is the time between two looks for stronger nodes.
	yieldCheckPeriod = 500 * time.Millisecond
	// firstReadDelayPerRank, for each node that comes before this one, and
	// longestFirstLook are how long a node that started waits until it reads the
	// lease of which no peer has told it: one of the first will have.
	firstReadDelayPerRank = 150 * time.Millisecond
	maxFirstReadDelay     = 8 * time.Second
	// initialLeaseDelay is how long nodes listen to each other before the first of them
	// ever takes the lease: there is nothing to order yet, and a weak machine
	// that came first would lead all.
	initialLeaseDelay = 2500 * time.Millisecond
)

// shouldYield ends the term of a leader that sees a much stronger node: its work
// grows with the fleet, and a weak machine cannot keep up with it.
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

// isCandidate reports whether this node should try to become leader.
func (l *leader) isCandidate(now time.Time) bool {
	if !l.node.isReady() {
		return false
	}
	if now.Sub(l.yieldedAt) < yieldStandDown {
		return false
	}
	l.node.peers.mu.Lock()
	current := l.node.peers.roster.Leader(now)
	hasLeader := current != nil && current.LeaseExpiredFor < leaseExpiryTolerance
	if current != nil {
		l.lease.ObserveWrite(current.LastSeen, current.Name, current.LeasePosition)
	}
	rank := l.node.peers.roster.Rank(now)
	l.node.peers.mu.Unlock()
	if l.lease.Record().Holder == l.node.options.Name {
		// A process that starts anew where the lease lies goes on at once.
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
				l.lease.Observe(requestedAt, now, record)
				l.node.quotas.raiseFleetSize(now, record.Nodes)
				l.node.admissions.learnFleetSize(record.Nodes)
				l.node.suspects.receiveStoredBars(now, record.Barred)
				// Where no seed is right, the holder leads to the others.
				l.node.peers.addSeeds([]string{record.Address})
				if l.lease.CanAcquire(now) {
					l.nextCall = now
				}
			default:
				// Nobody has led yet: there are no others than those that can be heard.
				l.node.admissions.learnFleetSize(1)
				l.lease.ObserveAbsent(requestedAt, now, record.Position.Era)
				l.nextCall = now
			}
		})
	}()
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

// refusedWritePause is the pause after a write that another was before: none after the first, as the
// object is read back at once.
func (l *leader) refusedWritePause() time.Duration {
	l.refusedWrites++
	if l.refusedWrites == 1 {
		return 0
	}
	return leaseRetryPause/4 + rand.N(leaseRetryPause/2)
}

// readBack learns what became of a write that has no answer, or did not win.
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
