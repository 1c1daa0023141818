package platform

import (
	"fmt"
	"testing"
	"time"
)

// newStreamPlay starts a fleet whose servers stream by the script, in the process of the test.
func newStreamPlay(t *testing.T, script streamScript) *streamPlay {
	t.Helper()
	p := &streamPlay{fleet: newStreamFleet(t), script: script, verdicts: make(map[streamVerdict]int)}
	for number := range streamServerCount {
		server, err := newStreamServer(fmt.Sprint("i-", number), script)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = server.listener.Close() })
		registerStreamServer(p.store, server.id, server.address())
	}
	p.awaitServing()
	return p
}

// scriptedStreams is the number of streams that callers read of servers that follow a script.
const scriptedStreams = 60

// brokenStreams is the script of servers that reset each third stream within an event.
func brokenStreams(change func(s *streamScript)) streamScript {
	script := streamScript{Framing: framedByChunks, Events: 12, Pause: 10 * time.Millisecond, BreakEach: 3, Break: resetWithin}
	change(&script)
	return script
}

// TestStreamsWithAnyLineEndsAreServed guards against streams that are never passed on, since their lines do
// not end in a line feed alone.
func TestStreamsWithAnyLineEndsAreServed(t *testing.T) {
	t.Parallel()
	for name, lineEnd := range map[string]string{"LF": "\n", "CRLF": "\r\n", "CR": "\r"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newStreamPlay(t, brokenStreams(func(s *streamScript) { s.LineEnd, s.BreakEach = lineEnd, 0 }))
			for _, c := range streamCallers() {
				p.run(c, scriptedStreams/4)
			}
			p.checkOrder(name)
			if p.verdicts[streamWhole] != p.streams {
				t.Errorf("%s: %s", name, p.describe())
			}
		})
	}
}
