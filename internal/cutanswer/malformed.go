package cutanswer

import (
	"strings"
	"testing"
)

// malformations turn a whole answer into one that is no answer, though all of it comes.
var malformations = []struct {
	name    string
	malform func(status, fields, body string) string
}{
	{"status 000", func(status, fields, body string) string {
		return head("000"+strings.TrimLeft(status, "0123456789"), fields+lengthOf(body)) + body
	}},
	{"another version", func(status, fields, body string) string {
		return strings.Replace(head(status, fields+lengthOf(body)), "HTTP/1.1", "HTTP/3.7", 1) + body
	}},
	{"blank in a name", func(status, fields, body string) string {
		return head(status, "Fo o: x\r\n"+fields+lengthOf(body)) + body
	}},
	{"blank before a colon", func(status, fields, body string) string {
		return head(status, strings.ReplaceAll(fields, ": ", " : ")+"Foo : x\r\n"+lengthOf(body)) + body
	}},
	{"blank behind Content-Length", func(status, fields, body string) string {
		return head(status, fields+strings.Replace(lengthOf(body), ":", " :", 1)) + body
	}},
	{"control byte in a name", func(status, fields, body string) string {
		return head(status, "Fo\x01o: x\r\n"+fields+lengthOf(body)) + body
	}},
}

// ForEachMalformed has the server give the answer with this status (as in "200 OK") and fields, each ended by CRLF, in
// each way to malform it, and calls check for each.
func (s *Server) ForEachMalformed(t *testing.T, status, fields, body string, check func(t *testing.T)) {
	t.Helper()
	for _, m := range malformations {
		t.Run(m.name, func(t *testing.T) {
			s.Answer(m.malform(status, fields, body), Closed)
			check(t)
		})
	}
}
