package eventstream

import (
	"slices"
	"strings"
	"testing"
)

// split returns the events of the parts, as they become whole, and what is left.
func split(parts ...string) (events []string, rest string) {
	var splitter Splitter
	var buffer []byte
	for _, part := range parts {
		buffer = append(buffer, part...)
		for {
			end := splitter.Next(buffer)
			if end == 0 {
				break
			}
			events = append(events, string(buffer[:end]))
			buffer = append([]byte(nil), buffer[end:]...)
		}
	}
	return events, string(buffer)
}

// TestEventsAreFoundWhateverEndsTheirLines guards against streams whose events are never found.
func TestEventsAreFoundWhateverEndsTheirLines(t *testing.T) {
	for name, c := range map[string]struct {
		parts  []string
		events []string
		rest   string
	}{
		"line feeds":                      {[]string{"id: 1\ndata: a\n\nid: 2"}, []string{"id: 1\ndata: a\n\n"}, "id: 2"},
		"both":                            {[]string{"id: 1\r\ndata: a\r\n\r\nid: 2\r\n"}, []string{"id: 1\r\ndata: a\r\n\r\n"}, "id: 2\r\n"},
		"carriage returns":                {[]string{"id: 1\rdata: a\r\rid: 2\r\r"}, []string{"id: 1\rdata: a\r\r", "id: 2\r\r"}, ""},
		"carriage returns as they come":   {[]string{"id: 1\r", "\r"}, []string{"id: 1\r\r"}, ""},
		"all kinds":                       {[]string{"a: 1\n\r\nb: 1\r\n\nc: 1\n\rd: 1\r\r\n"}, []string{"a: 1\n\r\n", "b: 1\r\n\n", "c: 1\n\r", "d: 1\r\r\n"}, ""},
		"a cut within the last line end":  {[]string{"id: 1\r\n\r", "\nid: 2\r\n\r\n"}, []string{"id: 1\r\n\r", "\nid: 2\r\n\r\n"}, ""},
		"a cut within the first line end": {[]string{"id: 1\r", "\nid: 2\r", "\n\r\n"}, []string{"id: 1\r\nid: 2\r\n\r\n"}, ""},
		"a cut between two line feeds":    {[]string{"id: 1\n", "\n"}, []string{"id: 1\n\n"}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			if events, rest := split(c.parts...); !slices.Equal(events, c.events) || rest != c.rest {
				t.Errorf("events %q, rest %q", events, rest)
			}
		})
	}
}

func TestParse(t *testing.T) {
	for text, want := range map[string]Event{
		"id: 1\ndata: a\n\n":            {ID: "1", HasFields: true},
		"data: a\r\nid:2\r\n\r\n":       {ID: "2", HasFields: true},
		"\nid: 3\rid: 4\r\r":            {ID: "4", HasFields: true},
		"data: id: 5\n\n":               {HasFields: true},
		"id: 6\x00\n\n":                 {HasFields: true},
		": a comment\n\n":               {},
		"\n":                            {},
		"weight-versions: 7\nid: 8\n\n": {ID: "8", HasFields: true},
	} {
		if got := Parse([]byte(text)); got != want {
			t.Errorf("%q: %+v, want %+v", text, got, want)
		}
	}
}

// FuzzSplitter splits a stream at arbitrary points: no byte is lost or comes twice, each event ends with an
// empty line, and wherever it is cut, the same lines are found.
func FuzzSplitter(f *testing.F) {
	for _, text := range []string{"id: 1\ndata: a\n\nid: 2\n\n", "id: 1\r\n\r\nid: 2\r\n\r\n", "a\r\rb\r\r", "\n\r\n\r\r\n\n"} {
		f.Add([]byte(text), uint8(3))
	}
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		var parts []string
		for remaining := string(text); len(remaining) > 0; {
			count := min(int(step)+1, len(remaining))
			parts = append(parts, remaining[:count])
			remaining = remaining[count:]
		}
		events, rest := split(parts...)
		if strings.Join(events, "")+rest != string(text) {
			t.Errorf("%q became %q and %q", text, events, rest)
		}
		for _, event := range events {
			if last := event[len(event)-1]; last != '\n' && last != '\r' {
				t.Errorf("passed on a part of an event: %q", event)
			}
			Parse([]byte(event))
		}
		if whole, wholeRest := split(string(text)); strings.Trim(strings.Join(whole, ""), lineEnds) != strings.Trim(strings.Join(events, ""), lineEnds) {
			t.Errorf("%q became %q and %q, or %q and %q", text, whole, wholeRest, events, rest)
		}
	})
}
