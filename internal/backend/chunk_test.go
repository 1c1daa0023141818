package backend

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/spanlanding/spanlanding/internal/fleet"
	_ "github.com/spanlanding/spanlanding/internal/testseed"
)

// TestChunksAreReadAsEncodingJSONReadsThem compares decodeChunk with
// encoding/json, also for input that is not valid JSON.
func TestChunksAreReadAsEncodingJSONReadsThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.OneOf(rapid.StringMatching(`[ -~]{0,8}`), rapid.String()).Draw(t, "text")
		original := Chunk{RequestID: "r1", Attempt: rapid.IntRange(-1, 20).Draw(t, "attempt"),
			Sequence: rapid.IntRange(0, 1<<40).Draw(t, "sequence"), Text: text,
			Finish: rapid.SampledFrom([]string{"", "", "stop"}).Draw(t, "finish")}
		data, err := json.Marshal(original)
		if err != nil {
			t.Fatal(err)
		}
		if rapid.IntRange(0, 3).Draw(t, "damage") == 0 {
			at := rapid.IntRange(0, len(data)-1).Draw(t, "at")
			data[at] = rapid.Byte().Draw(t, "byte")
		}
		var want, got Chunk
		wantErr := json.Unmarshal(data, &want)
		previousID := rapid.SampledFrom([]fleet.RequestID{"r1", "r2"}).Draw(t, "previousID")
		gotErr := decodeChunk(data, previousID, &got)
		if (wantErr == nil) != (gotErr == nil) {
			t.Fatalf("%s: error %v, encoding/json returns %v", data, gotErr, wantErr)
		}
		if wantErr == nil && !cmp.Equal(want, got) {
			t.Fatalf("%s: %s", data, cmp.Diff(want, got))
		}
	})
}
