package quota

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// TestLateAdvisoryVouchesForNoTenant guards against requests of a tenant near its quota that are granted without asking,
// as an advisory from before came late, or twice.
func TestLateAdvisoryVouchesForNoTenant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var numbers []uint64
		isNear := make(map[uint64]bool)
		for number := range rapid.Uint64Range(1, 5).Draw(t, "advisories") {
			numbers = append(numbers, 1+number)
			isNear[1+number] = rapid.Bool().Draw(t, "is near")
		}
		again := rapid.SliceOfN(rapid.SampledFrom(numbers), 0, 3).Draw(t, "came twice")
		advisories, latest := NewAdvisories(), uint64(0)
		now := startTime
		for _, number := range rapid.Permutation(append(numbers, again...)).Draw(t, "order") {
			var near []string
			if isNear[number] {
				near = []string{"t"}
			}
			advisories.Observe(now, "coordinator", number, near)
			latest = max(latest, number)
			if got := advisories.IsFarBelowQuota(now, "t"); got == isNear[latest] {
				t.Fatalf("advisory %d behind %d: far below %v", number, latest, got)
			}
			now = now.Add(time.Millisecond)
		}
		advisories.Observe(now.Add(AdvisoryLifetime), "coordinator", 1, nil)
		if !advisories.IsFarBelowQuota(now.Add(AdvisoryLifetime), "t") {
			t.Fatal("the first advisory of a coordinator that started again is left out for ever")
		}
	})
}
