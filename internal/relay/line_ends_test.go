package relay

import (
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestStreamsArePassedOnWhateverEndsTheirLines guards against streams of which no event is ever passed on, and
// against a part of an event that looks whole.
func TestStreamsArePassedOnWhateverEndsTheirLines(t *testing.T) {
	for name, lineEnd := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		t.Run(name, func(t *testing.T) {
			events := strings.ReplaceAll(": comment\n\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n", "\n", lineEnd)
			whole := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, events)))
			if got := whole.send(t, http.MethodPost, "/stream/x", "b"); got.err != nil || got.body != events {
				t.Errorf("whole: %q, error %v", got.body, got.err)
			}
			cut := newFixture(t, newFakeServer(t, func(conn net.Conn, _ *http.Request) bool {
				write(conn, reply("r1", http.StatusOK, events+"id: 3"+lineEnd))
				return true
			}))
			if got := cut.send(t, http.MethodPost, "/stream/x", "b"); got.err == nil || got.body != events {
				t.Errorf("cut: %q, error %v", got.body, got.err)
			}
		})
	}
}
