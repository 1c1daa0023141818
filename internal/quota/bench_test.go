package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// BenchmarkAsk is a coordinator's work for one question.
func BenchmarkAsk(b *testing.B) {
	coordinator := NewCoordinator(tolerance)
	quota := routetable.Quota{PerSecond: 800_000, Burst: 800_000, CountsTokens: true}
	now := begin
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		coordinator.Acquire(now, "t", quota, 1, 900, 1)
	}
}

// BenchmarkAdvisory is what a node does for a request of a tenant far below its quota, with
// an advisory on 16 tenants.
func BenchmarkAdvisory(b *testing.B) {
	advisories, share := NewAdvisories(), NewShare(tolerance, true)
	quota := routetable.Quota{PerSecond: 800_000, Burst: 800_000, CountsTokens: true}
	var closed []string
	for i := range 4 {
		closed = append(closed, fmt.Sprint("busy", i))
	}
	advisories.Observe(begin, "coordinator", closed)
	b.ReportAllocs()
	for b.Loop() {
		if advisories.IsFarBelowQuota(begin, "t") {
			share.RecordGrant(begin, "t", quota, 84, 900)
		}
	}
}
