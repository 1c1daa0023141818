package edge

import (
	"context"

	"github.com/twitchtv/twirp"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// Bars lists the barred requests, for operators.
func (s *snapshots) Bars(context.Context, *peerpb.BarsRequest) (*peerpb.BarsResponse, error) {
	return &peerpb.BarsResponse{Bars: s.node.suspects.listBars()}, nil
}

// LiftBar lifts the bar on a request here and notifies all nodes. The next renewal of the lease
// no longer contains it.
func (s *snapshots) LiftBar(_ context.Context, request *peerpb.LiftBarRequest) (*peerpb.LiftBarResponse, error) {
	fingerprint, ok := poison.DecodeFingerprint(request.Fingerprint)
	if !ok {
		return nil, twirp.InvalidArgumentError("fingerprint", "16 bytes are wanted")
	}
	return &peerpb.LiftBarResponse{WasBarred: s.node.suspects.liftBar(fingerprint)}, nil
}

// listBars returns the barred requests in order.
func (s *suspects) listBars() []*peerpb.Bar {
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	var bars []*peerpb.Bar
	for _, fingerprint := range s.tally.Barred(now) {
		bar := &peerpb.Bar{Fingerprint: fingerprint[:], LeftMs: uint32(s.tally.BarRemaining(now, fingerprint).Milliseconds())}
		for _, report := range s.tally.Reports(now, fingerprint) {
			bar.Servers = append(bar.Servers, report.ServerID)
		}
		bars = append(bars, bar)
	}
	return bars
}

// liftBar lifts the bar on a request at all nodes. It reports whether the request was barred
// here.
func (s *suspects) liftBar(fingerprint poison.Fingerprint) bool {
	now := clock.Now()
	wasBarred := s.Status(fingerprint) == poison.StatusBarred
	report := poison.Report{Fingerprint: fingerprint, Lifted: true}
	s.recordReports(now, operatorReporter, []poison.Report{report})
	s.broadcastReport(now, report)
	return wasBarred
}

// operatorReporter is the reporter name recorded for an operator's decisions.
const operatorReporter = "operator"
