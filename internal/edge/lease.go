package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
)

// keepLease reads or writes the lease where that is due.
func (l *leader) keepLease(ctx context.Context, now time.Time) {
	if l.calling || now.Before(l.nextCall) {
		return
	}
	l.lease.Expire(now)
	if l.lease.Term() != 0 && l.yields(now) {
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
	// yieldAfter is how long a much stronger node must be seen before a leader
	// leaves the lead to it, and yieldTime how long it then is no candidate.
	yieldAfter = 3 * time.Second
	yieldTime  = 5 * time.Second
	// yieldAgain is the least time between two times that a node yields: a
	// stronger one that does not take the lead is not waited for again and again.
	yieldAgain = time.Minute
	// yieldPeriod is the time between two looks for stronger nodes.
	yieldPeriod = 500 * time.Millisecond
	// firstLookDelay, for each node that comes before this one, and
	// longestFirstLook are how long a node that started waits until it reads the
	// lease of which no peer has told it: one of the first will have.
	firstLookDelay   = 150 * time.Millisecond
	longestFirstLook = 8 * time.Second
	// firstEver is how long nodes listen to each other before the first of them
	// ever takes the lease: there is nothing to order yet, and a weak machine
	// that came first would lead all.
	firstEver = 2500 * time.Millisecond
)

// yields ends the term of a leader that sees a much stronger node: its work
// grows with the fleet, and a weak machine cannot keep up with it.
func (l *leader) yields(now time.Time) bool {
	if now.Sub(l.yieldLook) < yieldPeriod || now.Sub(l.yielded) < yieldAgain {
		return false
	}
	l.yieldLook = now
	l.node.peers.mu.Lock()
	has := l.node.peers.roster.HasMuchStrongerPeer(now)
	l.node.peers.mu.Unlock()
	if !has {
		l.yieldFrom = time.Time{}
		return false
	}
	if l.yieldFrom.IsZero() {
		l.yieldFrom = now
	}
	if now.Sub(l.yieldFrom) < yieldAfter {
		return false
	}
	l.yielded = now
	l.node.options.Logger.Info().Int64("term", l.lease.Term()).Msg("lease_yielded")
	return true
}

// isCandidate reports whether this node should try to become leader.
func (l *leader) isCandidate(now time.Time) bool {
	if !l.node.isReady() {
		return false
	}
	if now.Sub(l.yielded) < yieldTime {
		return false
	}
	l.node.peers.mu.Lock()
	known := l.node.peers.roster.Leader(now)
	isLed := known != nil && known.LeaseExpiredFor < lapseTolerated
	if known != nil {
		l.lease.ObserveWrite(known.LastSeen, known.Name, known.LeasePosition)
	}
	rank := l.node.peers.roster.Rank(now)
	l.node.peers.mu.Unlock()
	if l.lease.Record().Holder == l.node.options.Name {
		// A process that starts anew where the lease lies goes on at once.
		return true
	}
	if isLed {
		l.quietFrom = time.Time{}
		return false
	}
	if !l.lease.IsKnown() {
		return now.Sub(l.started) >= l.node.firstRead+min(longestFirstLook, time.Duration(rank)*firstLookDelay)
	}
	if l.quietFrom.IsZero() {
		l.quietFrom = now
	}
	wait := time.Duration(rank) * rankDelay
	if l.lease.Record().Holder == "" && now.Sub(l.started) < firstEver {
		return false
	}
	return now.Sub(l.started) > firstCandidacy+wait && now.Sub(l.quietFrom) >= wait
}

func (l *leader) readLease(ctx context.Context) {
	l.calling = true
	asked := clock.Now()
	go func() {
		record, found, err := l.node.options.Lease.ReadLease(ctx)
		l.call(ctx, func() {
			now := clock.Now()
			l.calling = false
			l.nextCall = now.Add(leaseRead/2 + rand.N(leaseRead))
			switch {
			case err != nil:
				l.node.storeFailed("lease", err)
			case found:
				l.lease.Observe(asked, now, record)
				l.node.quotas.toldSize(now, record.Nodes)
				l.node.admissions.learnFleet(record.Nodes)
				l.node.suspects.hearStored(now, record.Barred)
				// Where no seed is right, the holder leads to the others.
				l.node.peers.addSeeds([]string{record.Address})
				if l.lease.CanAcquire(now) {
					l.nextCall = now
				}
			default:
				// Nobody has led yet: there are no others than those that can be heard.
				l.node.admissions.learnFleet(1)
				l.lease.ObserveAbsent(asked, now, record.Position.Era)
				l.nextCall = now
			}
		})
	}()
}

func (l *leader) writeLease(ctx context.Context, now time.Time) {
	l.calling = true
	record := l.lease.NextRecord(now)
	record.Nodes, _ = l.node.quotas.fleetSize(now)
	record.Barred = l.node.suspects.stored(now)
	core := l.core
	if core != nil {
		record.Loads = core.ReserveLoads(now)
		record.LoadsAtOnce = core.LoadsAtOnce()
	} else {
		record.Loads = l.lease.Record().Loads
		record.LoadsAtOnce = l.lease.Record().LoadsAtOnce
	}
	sent := now
	go func() {
		at, won, err := l.node.options.Lease.WriteLease(ctx, record)
		l.call(ctx, func() {
			now := clock.Now()
			l.calling = false
			switch {
			case err != nil:
				l.node.storeFailed("lease", err)
				l.nextCall = now.Add(leaseRetry/4 + rand.N(leaseRetry/2))
				l.readBack(ctx)
			case !won:
				l.node.options.Logger.Warn().Int64("term", l.lease.Term()).Str("position", record.Position.String()).Msg("lease_write_refused")
				l.nextCall = now.Add(l.refusedPause())
				l.readBack(ctx)
			case !l.lease.WriteSucceeded(sent, now, at):
				l.node.options.Logger.Warn().Int64("term", l.lease.Term()).Str("position", record.Position.String()).
					Str("written", at.String()).Msg("lease_written_in_other_era")
				l.readBack(ctx)
			default:
				l.refused = 0
				if core != nil && core == l.core {
					core.ConfirmReservation()
				}
			}
		})
	}()
}

// refusedPause is the pause after a write that another was before: none after the first, as the
// object is read back at once.
func (l *leader) refusedPause() time.Duration {
	l.refused++
	if l.refused == 1 {
		return 0
	}
	return leaseRetry/4 + rand.N(leaseRetry/2)
}

// readBack learns what became of a write that has no answer, or did not win.
func (l *leader) readBack(ctx context.Context) {
	l.calling = true
	asked := clock.Now()
	go func() {
		record, found, err := l.node.options.Lease.ReadLease(ctx)
		l.call(ctx, func() {
			l.calling = false
			switch {
			case err != nil:
			case found:
				l.lease.Observe(asked, clock.Now(), record)
			default:
				l.lease.ObserveAbsent(asked, clock.Now(), record.Position.Era)
			}
		})
	}()
}
