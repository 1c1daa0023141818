package node

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

func encodeReport(engineReport control.EngineReport) *peerpb.EngineReport {
	report := engineReport.Report
	encoded := &peerpb.EngineReport{
		Engine:          string(engineReport.Engine),
		Running:         int64(report.Running),
		Waiting:         int64(report.Waiting),
		QueuedTokens:    report.QueuedTokens,
		TokensPerSecond: report.TokensPerSecond,
		KvUsedBytes:     report.KVUsedBytes,
	}
	if !report.AsOf.IsZero() {
		encoded.AsOfUnixNano = report.AsOf.UnixNano()
	}
	return encoded
}

func decodeReport(encoded *peerpb.EngineReport) control.EngineReport {
	report := fleet.LoadReport{
		Running:         int(encoded.GetRunning()),
		Waiting:         int(encoded.GetWaiting()),
		QueuedTokens:    encoded.GetQueuedTokens(),
		TokensPerSecond: encoded.GetTokensPerSecond(),
		KVUsedBytes:     encoded.GetKvUsedBytes(),
	}
	if nanoseconds := encoded.GetAsOfUnixNano(); nanoseconds != 0 {
		report.AsOf = time.Unix(0, nanoseconds).UTC()
	}
	return control.EngineReport{Engine: fleet.BackendName(encoded.GetEngine()), Report: report}
}
