package spec

import (
	"encoding/json"
	"testing"
	"time"
)

func TestParseBytes(t *testing.T) {
	cases := []struct {
		text string
		want Bytes
		bad  bool
	}{
		{text: "14GiB", want: 14 << 30},
		{text: "1.5KiB", want: 1536},
		{text: "300MB", want: 300_000_000},
		{text: "4096", want: 4096},
		{text: "0", want: 0},
		{text: "9223372036854775807", want: 1<<63 - 1},
		{text: "9223372036854775808", bad: true},
		{text: "9000000TiB", bad: true},
		{text: "-1GiB", bad: true},
		{text: "NaNGiB", bad: true},
		{text: "1e3", bad: true},
		{text: "14 GiB", bad: true},
		{text: "GiB", bad: true},
		{text: "", bad: true},
	}
	for _, test := range cases {
		got, err := ParseBytes(test.text)
		if (err != nil) != test.bad || got != test.want {
			t.Errorf("ParseBytes(%q) = %d, %v; want %d, bad %v", test.text, got, err, test.want, test.bad)
		}
	}
}

func TestBytesTextReadsBack(t *testing.T) {
	for _, size := range []Bytes{0, 1, 1023, 1 << 10, 4608 << 20, 14 << 30, 3 << 40, 1<<63 - 1} {
		if got, err := ParseBytes(size.String()); err != nil || got != size {
			t.Errorf("%d became %q, then %d, %v", size, size, got, err)
		}
	}
}

func TestSpecsReadNumbersAndTextFromJSON(t *testing.T) {
	type pair struct {
		Size Bytes
		Span Duration
	}
	want := pair{Size: 14 << 30, Span: Duration(90 * time.Second)}
	for _, text := range []string{`{"Size":"14GiB","Span":"1m30s"}`, `{"Size":15032385536,"Span":90000000000}`} {
		var got pair
		if err := json.Unmarshal([]byte(text), &got); err != nil || got != want {
			t.Errorf("%s gave %v, %v", text, got, err)
		}
	}
	encoded, err := json.Marshal(want)
	if err != nil || string(encoded) != `{"Size":15032385536,"Span":"1m30s"}` {
		t.Errorf("encoded as %s, %v", encoded, err)
	}
}
