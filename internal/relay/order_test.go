package relay

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/spanlanding/spanlanding/internal/eventstream"
)

// TestStreamsGoOnWithTheNextEvent guards against callers whose events come twice, out of order or not at all,
// since a server does not go on behind the last one.
func TestStreamsGoOnWithTheNextEvent(t *testing.T) {
	numbered := func(numbers string) string {
		text := ""
		for number := range strings.FieldsSeq(numbers) {
			text += "id: " + number + "\ndata: x\n\n"
		}
		return text
	}
	for name, c := range map[string]struct {
		first, second string
		isWhole       bool
	}{
		"goes on":                         {numbered("1 2"), numbered("3 4"), true},
		"starts again":                    {numbered("1 2"), numbered("1 2 3 4"), false},
		"repeats the last event":          {numbered("1 2"), numbered("2 3 4"), false},
		"leaves an event out":             {numbered("1 2"), numbered("4"), false},
		"a number goes back in the first": {numbered("1 2 1"), numbered("3 4"), true},
		"events without ID come again":    {numbered("1 2") + "data: y\n\n", "data: y\n\n" + numbered("3"), true},
		"other events without ID come":    {numbered("1 2") + "data: y\n\n", "data: z\n\n" + numbered("3"), false},
		"the rest is missing":             {numbered("1 2") + "data: y\n\n", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			var sends atomic.Int32
			server := func(conn net.Conn, _ *http.Request) bool {
				if sends.Add(1) > 1 {
					write(conn, reply("r1", http.StatusOK, c.second))
					return true
				}
				write(conn, streamHead+chunk(c.first))
				return reset(conn)
			}
			f := newFixture(t, newFakeServer(t, server), newFakeServer(t, server))
			var learned eventstream.StepCounter
			for range 100 {
				learned.Record("1", "2")
			}
			f.handler.countSteps(eventWriter{service: "svc"}, learned)
			got := f.send(t, http.MethodPost, "/resume/x", "b")
			if (got.err == nil) != c.isWhole || !strings.HasPrefix(got.body, numbered("1 2")) || strings.Count(got.body, "id: 2\n") != 1 || strings.Count(got.body, "data: y") > 1 {
				t.Errorf("%q, error %v", got.body, got.err)
			}
			if isCounted := f.handler.Metrics.EventsOutOfOrder.Load() > 0; isCounted != (name != "goes on" && name != "events without ID come again" && name != "the rest is missing") {
				t.Errorf("%d events counted as out of order", f.handler.Metrics.EventsOutOfOrder.Load())
			}
		})
	}
}

// TestCallersThatResumeGetNoEventTwice guards against events that a caller has already.
func TestCallersThatResumeGetNoEventTwice(t *testing.T) {
	f := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, "id: 2\ndata: x\n\nid: 3\ndata: x\n\n")))
	if got := f.send(t, http.MethodPost, "/resume/x", "b", "X-Last", "2", "X-Resumes", "r0"); got.status != http.StatusBadGateway {
		t.Errorf("%d, %q", got.status, got.body)
	}
	if got := f.send(t, http.MethodPost, "/resume/x", "b", "X-Last", "1", "X-Resumes", "r0"); got.status != http.StatusOK || got.err != nil {
		t.Errorf("%d, %q, error %v", got.status, got.body, got.err)
	}
}

// TestVersionsOfWeightsArePassedOnInOrder guards against callers who take the events of one version of the weights for
// those of another: the version of the head is the first server's, and events keep the version that they name.
func TestVersionsOfWeightsArePassedOnInOrder(t *testing.T) {
	const first, second = "id: 1\ndata: x\n\nweight-versions: 3\nid: 2\ndata: x\n\n", "weight-versions: 4\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n"
	const versionOfHead = "Weight-Versions: "
	server := func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get("X-Last") == "2" {
			write(conn, reply("r1", http.StatusOK, second, versionOfHead+"3"))
			return true
		}
		write(conn, strings.Replace(streamHead, "\r\n\r\n", "\r\n"+versionOfHead+"2\r\n\r\n", 1)+chunk(first))
		return reset(conn)
	}
	f := newFixture(t, newFakeServer(t, server), newFakeServer(t, server))
	got := f.send(t, http.MethodPost, "/resume/x", "b")
	if got.err != nil || got.header.Get("Weight-Versions") != "2" || got.body != first+second {
		t.Errorf("head %v, body %q, error %v", got.header, got.body, got.err)
	}
}
