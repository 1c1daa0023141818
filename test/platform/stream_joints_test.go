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
		streamServerEntry{service: "models", zone: "z", id: server.id, address: server.address(), born: server.born}.register(p.store)
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

// TestStreamsGoOnBehindTheirLastEvent guards against streams whose events come twice, out of order or not at
// all, since a server that takes a run up does not go on just behind the last event.
func TestStreamsGoOnBehindTheirLastEvent(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		change func(s *streamScript)
		// tries is how often callers ask: those whose events have no IDs can't say what they have.
		tries int
	}{
		"runs go on":                  {func(*streamScript) {}, 4},
		"runs start again":            {func(s *streamScript) { s.Restarts = true }, 4},
		"runs repeat an event":        {func(s *streamScript) { s.ResumeOffset = -1 }, 4},
		"runs leave an event out":     {func(s *streamScript) { s.ResumeOffset = 1 }, 4},
		"few events have an ID":       {func(s *streamScript) { s.IDEach = 3 }, 1},
		"no event has an ID":          {func(s *streamScript) { s.IDEach = -1 }, 1},
		"comments stand in between":   {func(s *streamScript) { s.HasComments = true }, 4},
		"events of many kilobytes":    {func(s *streamScript) { s.Padding = 40000 }, 4},
		"lines end in CRLF":           {func(s *streamScript) { s.LineEnd = "\r\n" }, 4},
		"the connection is closed":    {func(s *streamScript) { s.Break = breakBetween }, 4},
		"a body with a length ends":   {func(s *streamScript) { s.Framing, s.Break = framedByLength, breakBetween }, 4},
		"a number goes back":          {func(s *streamScript) { s.GoesBack = true }, 4},
		"each byte comes by itself":   {func(s *streamScript) { s.IsBytewise = true }, 4},
		"heads come with events":      {func(s *streamScript) { s.IsOnePacket = true }, 4},
		"wide IDs start again":        {func(s *streamScript) { s.IDs, s.Restarts = wideIDs, true }, 4},
		"wide IDs go on":              {func(s *streamScript) { s.IDs = wideIDs }, 4},
		"named IDs start again":       {func(s *streamScript) { s.IDs, s.Restarts = namedIDs, true }, 4},
		"tens leave an event out":     {func(s *streamScript) { s.IDs, s.ResumeOffset = tenfoldIDs, 1 }, 4},
		"padded IDs go on":            {func(s *streamScript) { s.IDs = paddedIDs }, 4},
		"a body without one is reset": {func(s *streamScript) { s.Framing, s.Break = framedByClose, resetBetween }, 4},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newStreamPlay(t, brokenStreams(c.change))
			p.run(caller{path: resumablePath, protocol: "1.1", tries: c.tries}, scriptedStreams)
			p.checkOrder(name)
			if p.verdicts[streamWhole] < scriptedStreams/2 {
				t.Errorf("%s: %s", name, p.describe())
			}
		})
	}
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
