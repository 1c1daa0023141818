package node

import (
	"context"
	"slices"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/spanlanding/spanlanding/internal/fleet"
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
	heard := decodeSuspects(told.GetReports())
	news := suspects.take(fleet.NodeName(told.GetFrom()), heard)
	own := suspects.dependencies.Self
	if !told.GetPassedOn() && told.GetZone() != string(own.Zone) {
		zone := slices.DeleteFunc(suspects.peers(), func(member fleet.Member) bool { return member.Zone != own.Zone })
		suspects.send(zone, news, true)
	}
	suspects.tell(suspects.take(own.Name, suspects.vouch(heard)))
	barred := suspects.barred()
	return &peerpb.SuspectReports{From: string(own.Name), Zone: string(own.Zone),
		Reports: encodeSuspects(barred[:min(mostExchanged, len(barred))])}, nil
}

// Try implements peerpb.Suspects.
func (s suspectsServer) Try(_ context.Context, trial *peerpb.SuspectTrial) (*peerpb.SuspectTrialAnswer, error) {
	fingerprint, ok := poison.FingerprintOf(trial.GetFingerprint())
	if !ok {
		return nil, twirp.InvalidArgumentError("fingerprint", "is none")
	}
	return &peerpb.SuspectTrialAnswer{Granted: s.suspects.grantTrial(fingerprint)}, nil
}

func decodeSuspects(encoded []*peerpb.CrashReport) []poison.Report {
	reports := make([]poison.Report, 0, len(encoded))
	for _, told := range encoded {
		fingerprint, ok := poison.FingerprintOf(told.GetFingerprint())
		if !ok {
			continue
		}
		reports = append(reports, poison.Report{
			Fingerprint: fingerprint, ServerID: told.GetServer(), Acquitted: told.GetAcquitted(), Lifted: told.GetLifted(),
			Age:       time.Duration(told.GetAgeMs()) * time.Millisecond,
			BarredFor: time.Duration(told.GetBarredMs()) * time.Millisecond,
		})
	}
	return reports
}

func encodeSuspects(reports []poison.Report) []*peerpb.CrashReport {
	encoded := make([]*peerpb.CrashReport, 0, len(reports))
	for _, report := range reports {
		encoded = append(encoded, &peerpb.CrashReport{
			Fingerprint: report.Fingerprint[:], Server: report.ServerID, Acquitted: report.Acquitted, Lifted: report.Lifted,
			AgeMs: uint32(max(0, report.Age.Milliseconds())), BarredMs: uint32(report.BarredFor.Milliseconds()),
		})
	}
	return encoded
}
