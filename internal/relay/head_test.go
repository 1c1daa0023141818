package relay

import (
	"net"
	"net/http"
	"testing"
)

// Guards against an answer to HEAD that tells of an empty body, whatever a GET would get.
func TestAnswerToHeadKeepsItsLength(t *testing.T) {
	for fields, want := range map[string]string{
		"Content-Length: 500\r\n":          "500",
		"Content-Length: 0\r\n":            "0",
		"":                                 "",
		"Transfer-Encoding: chunked\r\n":   "",
		"Connection: close\r\nEtag: a\r\n": "",
	} {
		for _, path := range []string{"/command/x", "/often/x", "/stream/x"} {
			server := newFakeServer(t, cutResponder("HTTP/1.1 200 OK\r\nX-Id: r1\r\n"+fields+"\r\n"))
			node, _, _ := newCutOff(t, server)
			for how, f := range map[string]*fixture{"at once": newFixture(t, server), "by a peer": node} {
				got := f.send(t, http.MethodHead, path, "")
				if length := got.header.Get("Content-Length"); got.err != nil || got.status != http.StatusOK || length != want {
					t.Errorf("%s, %s, %q: status %d, length %q, error %v", path, how, fields, got.status, length, got.err)
				}
			}
		}
	}
}

// cutResponder writes the text and closes the connection.
func cutResponder(text string) responder {
	return func(conn net.Conn, _ *http.Request) bool {
		write(conn, text)
		return false
	}
}
