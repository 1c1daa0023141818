package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

// endingServer responds with a body that ends with its connection, and stops listening before that if it ends.
func endingServer(t *testing.T, body string, ends bool, headers ...string) *fakeServer {
	t.Helper()
	var server *fakeServer
	server = newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		head := strings.Join(append([]string{"HTTP/1.1 200 OK", "X-Id: " + request.Header.Get("X-Id"), "Connection: close"}, headers...), "\r\n")
		write(conn, head+"\r\n\r\n"+body)
		if ends {
			_ = server.listener.Close()
		}
		return false
	})
	return server
}

// TestAnswersThatEndWithTheirServerAreNotWhole guards against callers who get a part of an answer that looks
// whole: the kernel of a server that is killed closes its connections in order. A node that reaches no server
// is told no more than others: all servers may have been killed.
func TestAnswersThatEndWithTheirServerAreNotWhole(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	long := strings.Repeat("x", maxBufferedBytes+1)
	type server struct {
		ends, isLeaving, isSilent bool
	}
	ended, alive, silent, left := server{ends: true}, server{}, server{isSilent: true}, server{ends: true, isLeaving: true}
	cases := map[string]struct {
		path, body string
		server     server
		wantStatus int
		wantBroken bool
	}{
		"stream of a server that ended":              {"/stream/x", events, ended, http.StatusOK, true},
		"stream of a server that serves on":          {"/stream/x", events, alive, http.StatusOK, false},
		"stream of a server that does not answer":    {"/stream/x", events, silent, http.StatusOK, true},
		"stream of a server that ended as announced": {"/stream/x", events, left, http.StatusOK, true},
		"stream without events":                      {"/stream/x", "", alive, http.StatusBadGateway, false},
		"stream of comments alone":                   {"/stream/x", ": comment\n\n", alive, http.StatusOK, true},
		"answer of a server that ended":              {"/command/x", "part", ended, http.StatusBadGateway, false},
		"answer of a server that serves on":          {"/command/x", "whole", alive, http.StatusOK, false},
		"answer of a server that does not answer":    {"/command/x", "whole", silent, http.StatusOK, false},
		"answer of a server that ended as announced": {"/command/x", "whole", left, http.StatusOK, false},
		"empty answer of a server that serves on":    {"/command/x", "", alive, http.StatusOK, false},
		"long answer of a server that ended":         {"/command/x", long, ended, http.StatusOK, true},
		"long answer of a server that serves on":     {"/command/x", long, alive, http.StatusOK, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var headers []string
			if c.server.isLeaving {
				headers = append(headers, "X-Leaving: 1")
			}
			f := newFixture(t, endingServer(t, c.body, c.server.ends, headers...))
			f.handler.options.Reachability = cutOff{}
			if dials := 0; c.server.isSilent {
				f.onDial = func() {
					if dials++; dials > 1 {
						time.Sleep(2 * time.Second)
					}
				}
			}
			got := f.send(t, http.MethodPost, c.path, "b")
			if got.status != c.wantStatus || (got.err != nil) != c.wantBroken {
				t.Errorf("status %d, error %v, %d bytes", got.status, got.err, len(got.body))
			}
			if got.status == http.StatusOK && got.err == nil && got.body != c.body {
				t.Errorf("%d bytes of %d were passed on", len(got.body), len(c.body))
			}
		})
	}
}

// cutOff is a node that reaches no server.
type cutOff struct{}

func (cutOff) IsUnreachable(string) bool         { return false }
func (cutOff) RecordContact(string, string)      {}
func (cutOff) RecordFailure(string, string)      {}
func (cutOff) ReachesOthers(string, string) bool { return false }

// TestLongAnswerOfACrashedServerClearsNobody guards against a crash that acquits what caused it, as the
// beginning of an answer was passed on.
func TestLongAnswerOfACrashedServerClearsNobody(t *testing.T) {
	f := newFixture(t, endingServer(t, strings.Repeat("x", maxBufferedBytes+1), true))
	suspects := newPartSuspects(nil)
	f.handler.options.Suspects = suspects
	f.send(t, http.MethodPost, "/command/x", "b", "X-Parts", "a,own")
	f.awaitIdle()
	if crashed, ranWell, _, _ := suspects.reported(); len(ranWell) > 0 || !slices.Equal(crashed, partsNamed("a")) {
		t.Errorf("crashed under %v, ran well %v", crashed, ranWell)
	}
}

// TestStreamGoesOnWhereItsServerEnded guards against streams that could go on at another server.
func TestStreamGoesOnWhereItsServerEnded(t *testing.T) {
	first := endingServer(t, "id: 1\ndata: a\n\n", true)
	second := newFakeServer(t, respondWith(http.StatusOK, "id: 2\ndata: b\n\n"))
	f := newFixture(t, first)
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "later", Service: "svc", Address: second.address, Zone: "far", Slots: 8}}})
	})
	got := f.send(t, http.MethodPost, "/resume/x", "b")
	if got.err != nil || got.body != "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" {
		t.Fatalf("got %+v", got)
	}
	if last := second.last().Header.Get("X-Last"); last != "1" {
		t.Errorf("the stream was taken up behind event %q, want 1", last)
	}
	if ended := f.handler.Metrics.EndedWithServer.Load(); ended != 1 {
		t.Errorf("%d answers ended with their server, want 1", ended)
	}
}

// readUnframed sends a request by HTTP/1.0 and reads its response slowly.
func (f *fixture) readUnframed(t *testing.T, path string) result {
	t.Helper()
	got := f.sendUnframed(t, path, "b")
	if got.status == 0 {
		t.Fatal(got.err)
	}
	return got
}

// sendUnframed sends a request by HTTP/1.0. The status is 0 if there is no response.
func (f *fixture) sendUnframed(t *testing.T, path, body string) result {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	write(conn, "POST "+path+" HTTP/1.0\r\nHost: 127.0.0.1\r\nX-Id: r1\r\nX-Wait: 5s\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return result{err: err}
	}
	f.awaitIdle()
	text, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// TestCallersWithoutChunksSeeBrokenAnswers guards against callers of HTTP/1.0 who take an answer that was
// broken off for whole, and against an answer that is whole and reset.
func TestCallersWithoutChunksSeeBrokenAnswers(t *testing.T) {
	events := strings.Repeat("data: "+strings.Repeat("x", 1000)+"\n\n", 300)
	for name, c := range map[string]struct {
		path, body string
		isBroken   bool
	}{
		"broken stream":      {"/stream/x", events, true},
		"whole stream":       {"/stream/x", events, false},
		"broken long answer": {"/command/x", events, true},
		"whole long answer":  {"/command/x", events, false},
		"whole short answer": {"/command/x", "short", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
				write(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"+strconv.FormatInt(int64(len(c.body)), 16)+"\r\n"+c.body+"\r\n")
				if !c.isBroken {
					write(conn, "0\r\n\r\n")
				}
				return !c.isBroken
			}))
			got := f.readUnframed(t, c.path)
			if (got.err != nil) != c.isBroken || !c.isBroken && got.body != c.body {
				t.Errorf("%d bytes of %d, error %v", len(got.body), len(c.body), got.err)
			}
		})
	}
}
