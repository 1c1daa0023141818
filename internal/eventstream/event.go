package eventstream

import (
	"bytes"
	"iter"
	"strings"
)

// lineEnds are the bytes that end lines: either alone, or both in this order.
const lineEnds = "\r\n"

// Splitter finds the events in a buffer to which the bytes of a stream are appended.
type Splitter struct {
	// scanned is the length of the buffer's beginning in which no event ends.
	scanned int
}

// longestBoundary is the length of two line ends, the second of which is the empty line behind an event.
const longestBoundary = len("\r\n\r\n")

// Next returns the length of the first event in the buffer, with the empty line that ends it; 0 if none is
// whole. The caller removes the event from the buffer.
func (s *Splitter) Next(buffer []byte) int {
	end := 0
	from := max(0, s.scanned-longestBoundary)
	if rest := buffer[from:]; bytes.IndexByte(rest, '\r') >= 0 {
		end = boundary(rest)
	} else if at := bytes.Index(rest, []byte("\n\n")); at >= 0 {
		end = at + len("\n\n")
	}
	if end == 0 {
		s.scanned = len(buffer)
		return 0
	}
	s.scanned = 0
	return from + end
}

// boundary returns the end of the first empty line that follows another line end; 0 if there is none. A
// carriage return at the end of the text counts as a line end: a line feed that follows it belongs to it, and
// begins no event.
func boundary(text []byte) int {
	for at := 0; ; {
		next := bytes.IndexAny(text[at:], lineEnds)
		if next < 0 {
			return 0
		}
		at += next
		at += lineEndLength(text[at:])
		if second := lineEndLength(text[at:]); second > 0 {
			return at + second
		}
	}
}

// lineEndLength is the length of the line end with which the text begins; 0 if there is none.
func lineEndLength(text []byte) int {
	switch {
	case bytes.HasPrefix(text, []byte(lineEnds)):
		return len(lineEnds)
	case len(text) > 0 && (text[0] == '\r' || text[0] == '\n'):
		return 1
	default:
		return 0
	}
}

// IsBlank reports whether the text has nothing but line ends: it is no part of an event.
func IsBlank(text []byte) bool { return len(bytes.TrimLeft(text, lineEnds)) == 0 }

// Event is what an event says of itself.
type Event struct {
	// ID is empty if it has none.
	ID string
	// HasFields is set unless it consists of comments and empty lines.
	HasFields bool
}

// Parse reads an event. Fields that it does not know do not matter, as the standard says.
func Parse(text []byte) (event Event) {
	for field := range fields(text) {
		event.HasFields = true
		if id, ok := bytes.CutPrefix(field, []byte("id:")); ok && bytes.IndexByte(id, 0) < 0 {
			event.ID = strings.TrimSpace(string(id))
		}
	}
	return event
}

// fields yields the lines of an event but comments and empty ones.
func fields(text []byte) iter.Seq[[]byte] {
	return func(yield func(field []byte) bool) {
		for len(text) > 0 {
			line, rest := text, []byte(nil)
			if end := bytes.IndexAny(text, lineEnds); end >= 0 {
				line, rest = text[:end], text[end+1:]
			}
			text = rest
			if len(line) > 0 && line[0] != ':' && !yield(line) {
				return
			}
		}
	}
}
