package edge

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// ClaimTrial implements relay.Suspects. The first coordinator that answers decides for all
// nodes. If none answers, the request stays barred.
func (s *suspects) ClaimTrial(ctx context.Context, fingerprint poison.Fingerprint) bool {
	granted, by := false, ""
	for _, coordinator := range s.node.peers.coordinators(clock.Now()) {
		var answered bool
		if granted, answered = s.requestTrial(ctx, coordinator.Address, fingerprint); answered {
			by = coordinator.Address
			break
		}
	}
	if granted && by != s.node.peers.address {
		// This node also tracks the outcome of the trial.
		s.grantTrial(clock.Now(), fingerprint)
	}
	s.node.options.Logger.Info().Str("fingerprint", fingerprint.String()).Str("by", by).Bool("granted", granted).Msg("trial_claimed")
	return granted
}

// requestTrial asks one coordinator for a trial.
func (s *suspects) requestTrial(ctx context.Context, address string, fingerprint poison.Fingerprint) (granted, answered bool) {
	if address == s.node.peers.address {
		return s.decideTrial(fingerprint), true
	}
	call := &peerpb.TrialCall{Kind: peerpb.TrialCall_ASK, Asker: s.node.peers.address, Fingerprint: fingerprint[:]}
	return s.pendingTrials.call(ctx, askTimeout, func(id uint64) {
		call.Id = id
		s.node.peers.sendTrial(address, call)
	})
}

// handleTrial handles a trial request or response from another node.
func (s *suspects) handleTrial(call *peerpb.TrialCall) {
	if call.Kind != peerpb.TrialCall_ASK {
		s.pendingTrials.resolve(call.Id, call.Kind == peerpb.TrialCall_GRANTED)
		return
	}
	fingerprint, ok := poison.DecodeFingerprint(call.Fingerprint)
	if !ok {
		return
	}
	answer := &peerpb.TrialCall{Kind: peerpb.TrialCall_REFUSED, Id: call.Id}
	if s.decideTrial(fingerprint) {
		answer.Kind = peerpb.TrialCall_GRANTED
	}
	s.node.peers.sendTrial(call.Asker, answer)
}

// decideTrial grants at most one trial, and notifies all nodes that other copies of the request
// stay barred meanwhile.
func (s *suspects) decideTrial(fingerprint poison.Fingerprint) bool {
	now := clock.Now()
	if !s.grantTrial(now, fingerprint) {
		return false
	}
	s.mu.Lock()
	report := s.tally.BarReport(now, fingerprint)
	s.mu.Unlock()
	if report.BarredFor > 0 {
		s.broadcastReport(now, report)
	}
	return true
}

func (s *suspects) grantTrial(now time.Time, fingerprint poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.tally.ClaimTrial(now, fingerprint)
	s.nonEmpty.Store(s.tally.Size() > 0)
	return granted
}

// broadcastReport sends a report to all live nodes immediately and again in the next periods.
func (s *suspects) broadcastReport(now time.Time, report poison.Report) {
	s.mu.Lock()
	s.scheduleRepeat(now, report)
	s.mu.Unlock()
	s.node.peers.sendCrashes(s.node.peers.aliveAddresses(now), peer.EncodeCrashReports([]poison.Report{report}))
}
