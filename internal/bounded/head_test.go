package bounded

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/joomcode/errorx"
)

func TestHeadReaderBoundsHeadsOnly(t *testing.T) {
	const maxBytes = 1000
	fields := func(count int) string { return strings.Repeat("A: b\r\n", count) }
	cases := map[string]struct {
		text      string
		isTooLong bool
	}{
		"short head, long body":      {"HTTP/1.1 200 OK\r\nA: b\r\n\r\n" + strings.Repeat("\r\n\nbody", 2000), false},
		"lines end without returns":  {"HTTP/1.1 200 OK\nA: b\n\n" + strings.Repeat("body\n", 2000), false},
		"head as long as is allowed": {"HTTP/1.1 200 OK\r\n" + fields((maxBytes-17)/6) + "\r\n", false},
		"head that is longer":        {"HTTP/1.1 200 OK\r\n" + fields(maxBytes/6) + "\r\n", true},
		"field that is longer":       {"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("b", maxBytes) + "\r\n\r\n", true},
		"head that does not end":     {"HTTP/1.1 200 OK\r\nA: b", false},
	}
	for name, c := range cases {
		for how, source := range map[string]io.Reader{
			"at once": strings.NewReader(c.text), "byte by byte": iotest.OneByteReader(strings.NewReader(c.text)), "halves": iotest.HalfReader(strings.NewReader(c.text)),
		} {
			reader := &HeadReader{Source: source}
			reader.Begin(maxBytes)
			text, err := io.ReadAll(reader)
			if isTooLong := errorx.IsOfType(err, ErrTooLong); isTooLong != c.isTooLong || !isTooLong && string(text) != c.text {
				t.Errorf("%s, %s: %d bytes, error %v", name, how, len(text), err)
			}
		}
	}
}

func TestHeadReaderBoundsFields(t *testing.T) {
	for count, isTooLong := range map[int]bool{MaxHeadFields: false, MaxHeadFields + 1: true} {
		reader := &HeadReader{Source: strings.NewReader("HTTP/1.1 200 OK\r\n" + strings.Repeat("A:\n", count) + "\n")}
		reader.Begin(DefaultHeadBytes)
		if _, err := io.ReadAll(reader); errorx.IsOfType(err, ErrTooLong) != isTooLong {
			t.Errorf("%d fields: error %v", count, err)
		}
	}
}

func TestHeadReaderTellsOfPartialHeads(t *testing.T) {
	for text, want := range map[string]string{"HTTP/1.1 200 OK\r\n\r\nbody": "w", "HTTP/1.1 200 OK\r\n|\r\nbody": "pw", "HTTP|/1.1 200 |OK": "ppp"} {
		var parts []io.Reader
		for part := range strings.SplitSeq(text, "|") {
			parts = append(parts, strings.NewReader(part))
		}
		got, reader := "", &HeadReader{Source: io.MultiReader(parts...)}
		reader.Begin(DefaultHeadBytes)
		for range parts {
			_, _ = reader.Read(make([]byte, 100))
			got += map[bool]string{true: "p", false: "w"}[reader.IsPartial()]
		}
		if got != want {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
	}
}

// FuzzHeadReader repeats any bytes without end: reading a head from them ends, and takes no more bytes than
// allowed and read ahead.
func FuzzHeadReader(f *testing.F) {
	for _, seed := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n", "\r\n", "\n", "\r", "\x00", "A:\n", " folded\r\n", "HTTP/1.1 100 Continue\r\n\r\n"} {
		f.Add([]byte("HTTP/1.1 200 OK\r\n"), []byte(seed))
		f.Add([]byte(""), []byte(seed))
	}
	f.Fuzz(func(t *testing.T, begin, unit []byte) {
		if len(unit) == 0 {
			return
		}
		source := &endlessReader{begin: begin, unit: unit}
		reader := &HeadReader{Source: source}
		reader.Begin(MinHeadBytes)
		const readAhead = 512
		// The body stays unread: closing it would read to its end.
		_, _ = http.ReadResponse(bufio.NewReaderSize(reader, readAhead), nil)
		if source.read > MinHeadBytes+readAhead {
			t.Errorf("%d bytes were read, want %d at most", source.read, MinHeadBytes+readAhead)
		}
	})
}

// endlessReader reads the beginning, and then the unit again and again.
type endlessReader struct {
	begin, unit []byte
	read        int
}

func (r *endlessReader) Read(into []byte) (int, error) {
	if len(r.begin) == 0 {
		r.begin = bytes.Repeat(r.unit, 1+len(into)/len(r.unit))
	}
	count := copy(into, r.begin)
	r.begin = r.begin[count:]
	r.read += count
	return count, nil
}
