package node

import (
	"context"
	"slices"

	"github.com/twitchtv/twirp"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// Server returns the handlers for the peers' calls.
func (s *Suspects) Server() peerpb.Suspects { return suspectsServer{s} }

// suspectsServer serves the peers' calls about suspects.
type suspectsServer struct{ suspects *Suspects }

// Tell implements peerpb.Suspects. New reports from another zone are forwarded within this
// zone; forwarded reports are not forwarded again.
func (s suspectsServer) Tell(_ context.Context, request *peerpb.SuspectReports) (*peerpb.SuspectReports, error) {
	suspects := s.suspects
	reports := peer.CrashReportsOf(request.GetReports())
	newReports := suspects.recordReports(fleet.NodeName(request.GetFrom()), reports)
	self := suspects.dependencies.Self
	if !request.GetPassedOn() && request.GetZone() != string(self.Zone) {
		zonePeers := slices.DeleteFunc(suspects.peers(), func(member fleet.Member) bool { return member.Zone != self.Zone })
		suspects.send(zonePeers, newReports, true)
	}
	suspects.broadcast(suspects.recordReports(self.Name, suspects.acquittalsFor(reports)))
	return &peerpb.SuspectReports{From: string(self.Name), Zone: string(self.Zone),
		Reports: peer.EncodeCrashReports(suspects.exchangedReports())}, nil
}

// Try implements peerpb.Suspects.
func (s suspectsServer) Try(_ context.Context, trial *peerpb.SuspectTrial) (*peerpb.SuspectTrialAnswer, error) {
	fingerprint, ok := poison.DecodeFingerprint(trial.GetFingerprint())
	if !ok {
		return nil, twirp.InvalidArgumentError("fingerprint", "is none")
	}
	return &peerpb.SuspectTrialAnswer{Granted: s.suspects.grantTrial(fingerprint)}, nil
}
