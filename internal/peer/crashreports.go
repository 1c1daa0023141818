package peer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// CrashReportsOf reads reports as nodes send them; those without a fingerprint are left out.
func CrashReportsOf(encoded []*peerpb.CrashReport) []poison.Report {
	reports := make([]poison.Report, 0, len(encoded))
	for _, told := range encoded {
		fingerprint, ok := poison.DecodeFingerprint(told.GetFingerprint())
		if !ok {
			continue
		}
		reports = append(reports, poison.Report{
			Fingerprint: fingerprint, ServerID: told.GetServer(), Acquitted: told.GetAcquitted(), Lifted: told.GetLifted(),
			Age:       time.Duration(told.GetAgeMs()) * time.Millisecond,
			RanFor:    time.Duration(told.GetRanMs()) * time.Millisecond,
			BarredFor: time.Duration(told.GetBarredMs()) * time.Millisecond,
		})
	}
	return reports
}

// EncodeCrashReports writes reports as nodes send them.
func EncodeCrashReports(reports []poison.Report) []*peerpb.CrashReport {
	encoded := make([]*peerpb.CrashReport, 0, len(reports))
	for _, report := range reports {
		encoded = append(encoded, &peerpb.CrashReport{
			Fingerprint: report.Fingerprint[:], Server: report.ServerID, Acquitted: report.Acquitted, Lifted: report.Lifted,
			AgeMs: uint32(max(0, report.Age.Milliseconds())), RanMs: uint32(max(0, report.RanFor.Milliseconds())),
			BarredMs: uint32(report.BarredFor.Milliseconds()),
		})
	}
	return encoded
}
