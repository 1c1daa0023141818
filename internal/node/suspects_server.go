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

// suspectsServer serves the peers' calls.
type suspectsServer struct{ suspects *Suspects }

// Tell implements peerpb.Suspects. What comes from another zone, and is news, is passed
// on within this one; what was passed on goes no further.
func (s suspectsServer) Tell(_ context.Context, told *peerpb.SuspectReports) (*peerpb.SuspectReports, error) {
	suspects := s.suspects
	heard := peer.CrashReportsOf(told.GetReports())
	news := suspects.take(fleet.NodeName(told.GetFrom()), heard)
	own := suspects.dependencies.Self
	if !told.GetPassedOn() && told.GetZone() != string(own.Zone) {
		zone := slices.DeleteFunc(suspects.peers(), func(member fleet.Member) bool { return member.Zone != own.Zone })
		suspects.send(zone, news, true)
	}
	suspects.tell(suspects.take(own.Name, suspects.vouch(heard)))
	barred := suspects.barred()
	return &peerpb.SuspectReports{From: string(own.Name), Zone: string(own.Zone),
		Reports: peer.EncodeCrashReports(barred[:min(mostExchanged, len(barred))])}, nil
}

// Try implements peerpb.Suspects.
func (s suspectsServer) Try(_ context.Context, trial *peerpb.SuspectTrial) (*peerpb.SuspectTrialAnswer, error) {
	fingerprint, ok := poison.DecodeFingerprint(trial.GetFingerprint())
	if !ok {
		return nil, twirp.InvalidArgumentError("fingerprint", "is none")
	}
	return &peerpb.SuspectTrialAnswer{Granted: s.suspects.grantTrial(fingerprint)}, nil
}
