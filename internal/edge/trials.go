package edge

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// ClaimTrial implements relay.Suspects. The first of the coordinators that answers decides for
// all nodes; where none does the request stays barred.
func (s *suspects) ClaimTrial(ctx context.Context, fingerprint poison.Fingerprint) bool {
	granted, by := false, ""
	for _, coordinator := range s.node.peers.coordinators(clock.Now()) {
		var answered bool
		if granted, answered = s.askTrial(ctx, coordinator.Address, fingerprint); answered {
			by = coordinator.Address
			break
		}
	}
	if granted && by != s.node.peers.address {
		// What becomes of the trial is judged here, too.
		s.grantTrial(clock.Now(), fingerprint)
	}
	s.node.options.Logger.Info().Str("fingerprint", fingerprint.String()).Str("by", by).Bool("granted", granted).Msg("trial_claimed")
	return granted
}

// askTrial asks one coordinator.
func (s *suspects) askTrial(ctx context.Context, address string, fingerprint poison.Fingerprint) (granted, answered bool) {
	if address == s.node.peers.address {
		return s.decideTrial(fingerprint), true
	}
	call := &peerpb.TrialCall{Kind: peerpb.TrialCall_ASK, Asker: s.node.peers.address, Fingerprint: fingerprint[:]}
	return s.trials.ask(ctx, askTimeout, func(id uint64) {
		call.Id = id
		s.node.peers.sendTrial(address, call)
	})
}

// takeTrial takes a question or an answer of another node.
func (s *suspects) takeTrial(call *peerpb.TrialCall) {
	if call.Kind != peerpb.TrialCall_ASK {
		s.trials.answered(call.Id, call.Kind == peerpb.TrialCall_GRANTED)
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

// decideTrial grants one trial, and tells all nodes that the request is barred beside it.
func (s *suspects) decideTrial(fingerprint poison.Fingerprint) bool {
	now := clock.Now()
	if !s.grantTrial(now, fingerprint) {
		return false
	}
	s.mu.Lock()
	left := s.tally.BarRemaining(now, fingerprint)
	s.mu.Unlock()
	if left > 0 {
		s.tellAll(now, poison.Report{Fingerprint: fingerprint, BarredFor: left})
	}
	return true
}

func (s *suspects) grantTrial(now time.Time, fingerprint poison.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	granted := s.tally.ClaimTrial(now, fingerprint)
	s.any.Store(s.tally.Size() > 0)
	return granted
}

// tellAll sends a report to all living nodes, at once and again in the next periods.
func (s *suspects) tellAll(now time.Time, report poison.Report) {
	s.mu.Lock()
	s.tellAgain(now, report)
	s.mu.Unlock()
	s.node.peers.sendCrashes(s.node.peers.all(now), peer.EncodeCrashReports([]poison.Report{report}))
}
