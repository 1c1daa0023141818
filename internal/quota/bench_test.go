package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// BenchmarkAsk measures a coordinator's work for one request.
func BenchmarkAsk(b *testing.B) {
	coordinator := NewCoordinator(tolerance)
	quota := routetable.Quota{PerSecond: 800_000, Burst: 800_000, CountsTokens: true}
	now := startTime
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		coordinator.Acquire(now, "t", quota, 1, 900, 1)
	}
}

// BenchmarkAdvisory measures a node's work for a request of a tenant far below its quota, with
// an advisory on 4 tenants.
func BenchmarkAdvisory(b *testing.B) {
	advisories, share := NewAdvisories(), NewShare(tolerance, true)
	quota := routetable.Quota{PerSecond: 800_000, Burst: 800_000, CountsTokens: true}
	var nearQuota []string
	for i := range 4 {
		nearQuota = append(nearQuota, fmt.Sprint("busy", i))
	}
	advisories.Observe(startTime, "coordinator", 1, nearQuota)
	b.ReportAllocs()
	for b.Loop() {
		if advisories.IsFarBelowQuota(startTime, "t") {
			share.RecordGrant(startTime, "t", quota, 84, 900)
		}
	}
}
