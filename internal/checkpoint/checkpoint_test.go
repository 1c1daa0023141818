package checkpoint

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestShardsKeepWithinTheStoresRates guards against calls beyond the share of the store's rates that is kept
// for them, at any size.
func TestShardsKeepWithinTheStoresRates(t *testing.T) {
	cases := []struct {
		reads, writes float64
		nodes, shards int
		period        time.Duration
	}{
		{shards: 1, nodes: 3, period: time.Second},
		{reads: 2000, writes: 400, nodes: 7, shards: 4, period: time.Second},
		{reads: 6000, writes: 1200, nodes: 90, shards: 12, period: 9 * time.Second},
		{reads: 16000, writes: 3200, nodes: 800, shards: 32, period: 80 * time.Second},
	}
	for _, c := range cases {
		shards := NewShards(c.reads, c.writes)
		if got := shards.ReadPeriod(c.nodes); shards.Count != c.shards || got != c.period {
			t.Errorf("%v reads, %v writes, %d nodes: %d shards read each %v, want %d, %v", c.reads, c.writes, c.nodes, shards.Count, got, c.shards, c.period)
		}
	}
}

// FuzzDecodeVersionRecord guards against records that crash a node, and against ones that are not what was
// written: a version that a record hides is taken for one that never served.
func FuzzDecodeVersionRecord(f *testing.F) {
	data, err := VersionRecord{"s": {"v1", "v2"}, "t": {""}}.Encode()
	if err != nil {
		f.Fatal(err)
	}
	for length := range len(data) + 1 {
		f.Add(data[:length])
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeVersionRecord(data)
		if err != nil {
			return
		}
		again, err := record.Encode()
		if err != nil {
			return
		}
		decoded, err := DecodeVersionRecord(again)
		if err != nil || !decoded.Covers(record) || !record.Covers(decoded) {
			t.Errorf("%v is %v, %v once more: %s", record, decoded, err, cmp.Diff(record, decoded))
		}
	})
}
