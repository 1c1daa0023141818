package origins

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// drawRecords draws what is recorded of one stream, the later record behind the earlier one. The same request ID
// may begin a second stream.
func drawRecords(t *rapid.T) (records []Entry, want Origin) {
	add := func(entry Entry) {
		entry.Key, entry.ExpiresAt = NewKey("caller", "r1"), begin.Add(rapid.SampledFrom([]time.Duration{time.Second, time.Minute}).Draw(t, "expires in"))
		records, want = append(records, entry), entry.Origin
	}
	for stream := range rapid.IntRange(1, 2).Draw(t, "streams") {
		version := rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
		entry := Entry{
			Origin: Origin{Service: "s", SoftwareVersion: version}, RecordedAt: begin.Add(time.Duration(stream) * time.Second),
			Server: inventory.Start{ID: "a", StartedAtMs: int64(1 + stream)},
		}
		add(entry)
		if rapid.Bool().Draw(t, "is doubtful") {
			entry.Origin.SoftwareVersion = ""
			add(entry)
		}
		if rapid.Bool().Draw(t, "is confirmed") {
			entry.Origin.SoftwareVersion, entry.IsCertain = version, true
			add(entry)
		}
	}
	return records, want
}

// TestLaterRecordOutlivesLateEarlierOnes guards against a stream that goes on at a version which did not begin it,
// or at none, as an earlier record of it came after a later one: late, twice, or back from the store.
func TestLaterRecordOutlivesLateEarlierOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, want := drawRecords(t)
		expiresAt := begin
		for _, record := range records {
			if record.ExpiresAt.After(expiresAt) {
				expiresAt = record.ExpiresAt
			}
		}
		again := rapid.SliceOfN(rapid.SampledFrom(records), 0, 3).Draw(t, "came twice")
		table := NewTable()
		for _, record := range rapid.Permutation(append(records, again...)).Draw(t, "order") {
			table.Put(begin, record)
		}
		last := records[len(records)-1]
		got, _ := table.Find(begin, last.Key)
		if got.Origin != want || got.Server != last.Server || got.IsCertain != last.IsCertain || !got.ExpiresAt.Equal(expiresAt) {
			t.Fatalf("got %+v, want %+v until %v", got, last, expiresAt)
		}
	})
}
