package cutanswer

import (
	"fmt"
	"strings"
	"testing"
)

// Form is a way to write an answer.
type Form struct {
	Name string
	// IsUnframed is set if the body ends with its connection.
	IsUnframed bool
	write      func(status, fields, body string) (head, rest string)
}

// Forms are those in which servers write their answers.
var Forms = []Form{
	{Name: "length last", write: func(status, fields, body string) (string, string) {
		return head(status, fields+lengthOf(body)), body
	}},
	{Name: "length first", write: func(status, fields, body string) (string, string) {
		return head(status, lengthOf(body)+fields), body
	}},
	{Name: "line feeds", write: func(status, fields, body string) (string, string) {
		return strings.ReplaceAll(head(status, fields+lengthOf(body)), "\r", ""), body
	}},
	{Name: "chunks", write: func(status, fields, body string) (string, string) {
		return head(status, fields+"Transfer-Encoding: chunked\r\n"), chunked(body)
	}},
	{Name: "chunks with a trailer", write: func(status, fields, body string) (string, string) {
		return head(status, fields+"Transfer-Encoding: chunked\r\nTrailer: Sum\r\n"), strings.TrimSuffix(chunked(body), "\r\n") + "Sum: 1\r\n\r\n"
	}},
	{Name: "after another head", write: func(status, fields, body string) (string, string) {
		return head("103 Early Hints", "Link: </a>\r\n") + head(status, fields+lengthOf(body)), body
	}},
	{Name: "no length", IsUnframed: true, write: func(status, fields, body string) (string, string) {
		return head(status, fields), body
	}},
	{Name: "HTTP/1.0", IsUnframed: true, write: func(status, fields, body string) (string, string) {
		return strings.Replace(head(status, fields), "HTTP/1.1", "HTTP/1.0", 1), body
	}},
}

// Write returns the answer with this status (as in "200 OK") and fields, each ended by CRLF, and the length of
// its head, that of a head before it included.
func (f Form) Write(status, fields, body string) (text string, headLength int) {
	head, rest := f.write(status, fields, body)
	return head + rest, len(head)
}

func head(status, fields string) string { return "HTTP/1.1 " + status + "\r\n" + fields + "\r\n" }

func lengthOf(body string) string { return fmt.Sprintf("Content-Length: %d\r\n", len(body)) }

// chunked writes the body in two chunks.
func chunked(body string) string {
	half := len(body) / 2
	text := ""
	for _, part := range []string{body[:half], body[half:]} {
		if part != "" {
			text += fmt.Sprintf("%x\r\n%s\r\n", len(part), part)
		}
	}
	return text + "0\r\n\r\n"
}

// Cut is a part of an answer that a server gives before its connection ends.
type Cut struct {
	Form   Form
	Ending Ending
	// Offset is where the answer of Length bytes, the first HeadLength of them its head, is cut.
	Offset, HeadLength, Length int
}

// IsHeadWhole reports whether the status is known.
func (c Cut) IsHeadWhole() bool { return c.Offset >= c.HeadLength }

// IsWhole reports whether nothing is missing, and that can be told.
func (c Cut) IsWhole() bool {
	return c.Offset == c.Length && (!c.Form.IsUnframed || c.Ending == Closed)
}

// resetStride is the distance between the offsets at which connections are reset: a part of an answer that ends with
// a reset is never more believable than one that ends in order.
const resetStride = 7

// ForEach has the server give the parts of the answer in each of its forms, and calls check for each: every part for
// connections that are closed in order, and every resetStride-th, the whole included, for those that are reset.
func (s *Server) ForEach(t *testing.T, status, fields, body string, check func(t *testing.T, cut Cut)) {
	t.Helper()
	for _, form := range Forms {
		text, headLength := form.Write(status, fields, body)
		for _, ending := range Endings {
			for offset := range len(text) + 1 {
				if ending == Reset && (len(text)-offset)%resetStride != 0 {
					continue
				}
				s.Answer(text[:offset], ending)
				check(t, Cut{Form: form, Ending: ending, Offset: offset, HeadLength: headLength, Length: len(text)})
				if t.Failed() {
					t.Fatalf("%s, %s, %s: cut after %d of %d bytes, head of %d", status, form.Name, ending, offset, len(text), headLength)
				}
			}
		}
	}
}
