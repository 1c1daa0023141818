package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/routetable"
)

// BenchmarkAsk is a giver's work for one question.
func BenchmarkAsk(b *testing.B) {
	giver := NewGiver(tolerance)
	quota := routetable.Quota{PerSecond: 800_000, Burst: 800_000, CountsTokens: true}
	now := begin
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		giver.Ask(now, "t", quota, 1, 900, 1)
	}
}

// BenchmarkWord is what a node does for a request of a tenant far below its quota, with
// the word on 16 tenants.
func BenchmarkWord(b *testing.B) {
	words, share := NewWords(), NewShare(tolerance, true)
	quota := routetable.Quota{PerSecond: 800_000, Burst: 800_000, CountsTokens: true}
	var closed []string
	for i := range 4 {
		closed = append(closed, fmt.Sprint("busy", i))
	}
	words.Hear(begin, "giver", closed)
	b.ReportAllocs()
	for b.Loop() {
		if words.IsOpen(begin, "t") {
			share.Granted(begin, "t", quota, 84, 900)
		}
	}
}
