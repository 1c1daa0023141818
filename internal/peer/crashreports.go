package peer

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// CrashReportsOf decodes reports from their wire form and skips those without a valid fingerprint.
func CrashReportsOf(encoded []*peerpb.CrashReport) []poison.Report {
	reports := make([]poison.Report, 0, len(encoded))
	for _, message := range encoded {
		fingerprint, ok := poison.DecodeFingerprint(message.GetFingerprint())
		if !ok {
			continue
		}
		reports = append(reports, poison.Report{
			Fingerprint: fingerprint, Request: message.GetRequest(), ServerID: message.GetServer(), Acquitted: message.GetAcquitted(), Lifted: message.GetLifted(),
			Age:       time.Duration(message.GetAgeMs()) * time.Millisecond,
			RanFor:    time.Duration(message.GetRanMs()) * time.Millisecond,
			BarredFor: time.Duration(message.GetBarredMs()) * time.Millisecond,
			Bar: poison.Bar{
				Serial: message.GetBarSerial(), Age: time.Duration(message.GetBarAgeMs()) * time.Millisecond,
				Time: time.Duration(message.GetBarTimeMs()) * time.Millisecond,
			},
		})
	}
	return reports
}

// EncodeCrashReports encodes reports in their wire form.
func EncodeCrashReports(reports []poison.Report) []*peerpb.CrashReport {
	encoded := make([]*peerpb.CrashReport, 0, len(reports))
	for _, report := range reports {
		encoded = append(encoded, &peerpb.CrashReport{
			Fingerprint: report.Fingerprint[:], Request: report.Request, Server: report.ServerID, Acquitted: report.Acquitted, Lifted: report.Lifted,
			AgeMs: uint32(max(0, report.Age.Milliseconds())), RanMs: uint32(max(0, report.RanFor.Milliseconds())),
			BarredMs: uint32(report.BarredFor.Milliseconds()), BarSerial: report.Bar.Serial,
			BarAgeMs: uint32(max(0, report.Bar.Age.Milliseconds())), BarTimeMs: uint32(report.Bar.Time.Milliseconds()),
		})
	}
	return encoded
}
