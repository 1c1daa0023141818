package relay

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

func TestAnswerIsPassedOnWhole(t *testing.T) {
	server := newStandin(t, answering(http.StatusCreated, "the bytes", "X-Stamp: abc"))
	f := newFixture(t, server)
	got := f.send(t, http.MethodPost, "/once/a%2Fb?c=d", "body", "X-Other", "kept", "Connection", "X-Hop", "X-Hop", "1")
	if got.status != http.StatusCreated || got.body != "the bytes" || got.header.Get("X-Stamp") != "abc" {
		t.Errorf("got %+v", got)
	}
	sent := server.last()
	if sent.RequestURI != "/once/a%2Fb?c=d" || server.bodies[0] != "body" {
		t.Errorf("sent %s with %q", sent.RequestURI, server.bodies[0])
	}
	if sent.Header.Get("X-Server") != "s0" || sent.Header.Get("X-Other") != "kept" || sent.Header.Get("X-Hop") != "" {
		t.Errorf("headers sent: %v", sent.Header)
	}
	left, err := time.ParseDuration(sent.Header.Get("X-Left"))
	if err != nil || left > 5*time.Second || left <= 0 {
		t.Errorf("time handed on: %v, %v", left, err)
	}
}

func TestRequestsThatGoNoFurther(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "x"))
	f := newFixture(t, server)
	cases := []struct {
		name    string
		path    string
		body    string
		headers []string
		status  int
	}{
		{"no identity", "/once/", "", []string{"X-Id", ""}, http.StatusBadRequest},
		{"no route", "/unknown/", "", nil, http.StatusNotFound},
		{"body over the limit", "/once/", strings.Repeat("x", 1001), nil, http.StatusRequestEntityTooLarge},
		{"no server", "/nowhere/", "", nil, http.StatusServiceUnavailable},
	}
	for _, c := range cases {
		got := f.send(t, http.MethodPost, c.path, c.body, c.headers...)
		if got.status != c.status {
			t.Errorf("%s: status %d (%v), want %d", c.name, got.status, got.err, c.status)
		}
	}
	if server.count() != 0 {
		t.Errorf("%d requests were forwarded", server.count())
	}
	f.handler.table.Store(nil)
	if got := f.send(t, http.MethodPost, "/unknown/", ""); got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("without a configuration: %+v, want 503 with Retry-After", got)
	}
}

func TestNotRunIsToldOnlyWhereItIsTrue(t *testing.T) {
	cases := []struct {
		name   string
		script script
		path   string
		want   int
	}{
		{"the server says that it did not run it", answering(http.StatusServiceUnavailable, "", "X-Not-Run: 1"), "/once/", 503},
		{"the server's own failure", answering(http.StatusServiceUnavailable, "own", "X-Stamp: s"), "/once/", 503},
		{"closed without an answer", func(net.Conn, *http.Request) bool { return false }, "/once/", 502},
		{"reset", func(conn net.Conn, _ *http.Request) bool { return reset(conn) }, "/once/", 502},
		{"no answer in time", func(net.Conn, *http.Request) bool { time.Sleep(2 * time.Second); return false }, "/brief/", 504},
		{"bytes that are no answer", func(conn net.Conn, _ *http.Request) bool { write(conn, "nonsense\r\n\r\n"); return false }, "/once/", 502},
		{"an answer cut short", func(conn net.Conn, _ *http.Request) bool {
			write(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 10\r\n\r\nshort")
			return false
		}, "/once/", 502},
		{"a body without length that is reset", func(conn net.Conn, _ *http.Request) bool {
			write(conn, "HTTP/1.1 200 OK\r\nX-Id: r1\r\nConnection: close\r\n\r\nshort")
			time.Sleep(50 * time.Millisecond)
			return reset(conn)
		}, "/once/", 502},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := newStandin(t, c.script)
			got := newFixture(t, server).send(t, http.MethodGet, c.path, "")
			if got.status != c.want {
				t.Errorf("status %d (%v), want %d", got.status, got.err, c.want)
			}
			if server.count() != 1 {
				t.Errorf("sent %d times, want once", server.count())
			}
		})
	}
}

func TestUnsentRequestGoesToAnotherServer(t *testing.T) {
	gone := &standinServer{address: "127.0.0.1:1"}
	server := newStandin(t, answering(http.StatusOK, "ok"))
	f := newFixture(t, gone, server)
	for range 6 {
		if got := f.send(t, http.MethodPost, "/once/", ""); got.status != http.StatusOK {
			t.Fatalf("status %d, want 200 from the server that is there", got.status)
		}
	}
}

func TestSafeRequestIsTriedAtASecondServerOnly(t *testing.T) {
	broken := func(net.Conn, *http.Request) bool { return false }
	servers := []*standinServer{newStandin(t, broken), newStandin(t, broken), newStandin(t, broken)}
	got := newFixture(t, servers...).send(t, http.MethodGet, "/often/", "")
	total := servers[0].count() + servers[1].count() + servers[2].count()
	if got.status != http.StatusBadGateway || total != 2 {
		t.Errorf("status %d after %d sends, want 502 after 2", got.status, total)
	}
	servers = []*standinServer{newStandin(t, broken), newStandin(t, answering(http.StatusOK, "ok"))}
	f := newFixture(t, servers...)
	for range 4 {
		if got := f.send(t, http.MethodGet, "/often/", ""); got.status != http.StatusOK {
			t.Errorf("status %d, want 200 from the second server", got.status)
		}
	}
}

func TestCommandIsNotRepeatedThoughAttemptsAreLeft(t *testing.T) {
	broken := func(net.Conn, *http.Request) bool { return false }
	servers := []*standinServer{newStandin(t, broken), newStandin(t, broken)}
	got := newFixture(t, servers...).send(t, http.MethodGet, "/command/", "")
	if total := servers[0].count() + servers[1].count(); got.status != http.StatusBadGateway || total != 1 {
		t.Errorf("status %d after %d sends, want 502 after 1", got.status, total)
	}
}

func TestRejectedCommandMayGoToAnotherServer(t *testing.T) {
	rejecting := answering(http.StatusServiceUnavailable, "", "X-Not-Run: 1")
	servers := []*standinServer{newStandin(t, rejecting), newStandin(t, rejecting)}
	got := newFixture(t, servers...).send(t, http.MethodPost, "/command/", "")
	if got.status != http.StatusServiceUnavailable || servers[0].count() != 1 || servers[1].count() != 1 {
		t.Errorf("status %d after %d and %d sends, want 503 after one at each", got.status, servers[0].count(), servers[1].count())
	}
}

// TestClosedConnectionIsNotUsedAgain: a request on it could not be told from
// one that ran.
func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	server := newStandin(t, func(conn net.Conn, request *http.Request) bool {
		write(conn, reply(request.Header.Get("X-Id"), http.StatusOK, "ok"))
		return false
	})
	f := newFixture(t, server)
	for range 4 {
		if got := f.send(t, http.MethodPost, "/once/", ""); got.status != http.StatusOK {
			t.Errorf("status %d, want 200 on a new connection", got.status)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// TestServerThatLeavesWhileItIsDialledGetsNothing checks again right before the
// send what was believed when the server was chosen.
func TestServerThatLeavesWhileItIsDialledGetsNothing(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.onDial = func() { f.dispatch.Do(func(core *dispatch.Core) { core.SetDraining("s0", storepos.At(0, 5)) }) }
	got := f.send(t, http.MethodPost, "/once/", "", "X-Wait", "200ms")
	if got.status != http.StatusServiceUnavailable || server.count() != 0 {
		t.Errorf("status %d after %d sends, want 503 after none", got.status, server.count())
	}
}

func TestRepeatsEndWithTheBudget(t *testing.T) {
	server := newStandin(t, func(net.Conn, *http.Request) bool { return false })
	other := newStandin(t, func(net.Conn, *http.Request) bool { return false })
	f := newFixture(t, server, other)
	f.handler.SetNodes(1000)
	for range 4 {
		f.send(t, http.MethodGet, "/often/", "")
	}
	if total := server.count() + other.count(); total != 4 {
		t.Errorf("%d sends of 4 requests without a budget, want 4", total)
	}
}

func TestSurplusAnswerIsPassedOver(t *testing.T) {
	server := newStandin(t, func(conn net.Conn, request *http.Request) bool {
		write(conn, reply("another", http.StatusOK, "not yours"))
		write(conn, reply(request.Header.Get("X-Id"), http.StatusOK, "yours"))
		return true
	})
	if got := newFixture(t, server).send(t, http.MethodPost, "/once/", ""); got.body != "yours" {
		t.Errorf("got %+v, want the answer of the request", got)
	}
}

// TestBytesAfterAnAnswerEndItsConnection: a second answer that comes while the
// connection rests belongs to nobody.
func TestBytesAfterAnAnswerEndItsConnection(t *testing.T) {
	server := newStandin(t, func(conn net.Conn, request *http.Request) bool {
		id := request.Header.Get("X-Id")
		write(conn, reply(id, http.StatusOK, "first of "+id)+reply(id, http.StatusOK, "second of "+id))
		return true
	})
	f := newFixture(t, server)
	for i := range 5 {
		id := "r" + strconv.Itoa(i)
		if got := f.send(t, http.MethodPost, "/once/", "", "X-Id", id); got.body != "first of "+id {
			t.Errorf("request %s got %q", id, got.body)
		}
	}
}

// TestEarlyAnswerEndsItsConnection: a server that answers before it read the
// body gets no other bytes where the rest of the body is due.
func TestEarlyAnswerEndsItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conns := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conns <- conn
			write(conn, reply("r1", http.StatusOK, "early"))
		}
	}()
	f := newFixture(t, &standinServer{address: listener.Addr().String()})
	table := testTable()
	table.Limits.MaxBodyBytes = 64 << 20
	f.handler.SetTable(table)
	large := strings.Repeat("x", 16<<20)
	for range 2 {
		if got := f.send(t, http.MethodPost, "/once/", large); got.body != "early" {
			t.Errorf("got status %d, %v", got.status, got.err)
		}
	}
	if len(conns) != 2 {
		t.Errorf("%d connections for 2 requests, want one for each", len(conns))
	}
}

func events(numbers ...int) string {
	text := ""
	for _, number := range numbers {
		text += "id: " + strconv.Itoa(number) + "\ndata: piece " + strconv.Itoa(number) + "\n\n"
	}
	return text
}

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

const streamHead = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func TestStreamIsPassedOnWhole(t *testing.T) {
	server := newStandin(t, func(conn net.Conn, _ *http.Request) bool {
		text := events(1, 2, 3)
		write(conn, streamHead+chunk(text[:11])+chunk(text[11:30])+chunk(text[30:])+"0\r\n\r\n")
		return true
	})
	got := newFixture(t, server).send(t, http.MethodPost, "/stream/", "")
	if got.err != nil || got.body != events(1, 2, 3) {
		t.Errorf("got %q, %v", got.body, got.err)
	}
}

func TestStreamThatBreaksDoesNotLookComplete(t *testing.T) {
	server := newStandin(t, func(conn net.Conn, _ *http.Request) bool {
		write(conn, streamHead+chunk(events(1)+"id: 2\nda"))
		time.Sleep(30 * time.Millisecond)
		return false
	})
	got := newFixture(t, server).send(t, http.MethodPost, "/stream/", "")
	if got.err == nil || got.body != events(1) {
		t.Errorf("got %q, error %v; want the whole event and an error", got.body, got.err)
	}
	if server.count() != 1 {
		t.Errorf("sent %d times, want once", server.count())
	}
}

func TestStreamIsResumedBehindTheLastWholeEvent(t *testing.T) {
	var servers []*standinServer
	script := func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get("X-Last") == "2" {
			write(conn, streamHead+chunk(events(3, 4))+"0\r\n\r\n")
			return true
		}
		write(conn, streamHead+chunk(events(1, 2)+"id: 3\nda"))
		time.Sleep(30 * time.Millisecond)
		return false
	}
	servers = append(servers, newStandin(t, script), newStandin(t, script))
	got := newFixture(t, servers...).send(t, http.MethodPost, "/resume/", "")
	if got.err != nil || got.body != events(1, 2, 3, 4) {
		t.Errorf("got %q, %v", got.body, got.err)
	}
	if servers[0].count() != 1 || servers[1].count() != 1 {
		t.Errorf("sent %d and %d times, want one run at each", servers[0].count(), servers[1].count())
	}
}

// TestRejectedResumptionDoesNotEndTheStream is a stream that breaks, and whose
// next server rejects it: the caller gets whole events and a broken answer.
func TestRejectedResumptionDoesNotEndTheStream(t *testing.T) {
	script := func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get("X-Last") != "" {
			write(conn, reply("r1", http.StatusMisdirectedRequest, ""))
			return true
		}
		write(conn, streamHead+chunk(events(1, 2)))
		time.Sleep(30 * time.Millisecond)
		return false
	}
	f := newFixture(t, newStandin(t, script), newStandin(t, script))
	f.handler.SetTable(resumeTable())
	f.setView(map[string][]string{"m": nil}, nil)
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetViews(time.Now(), 1, []dispatch.View{{ServerID: "s1", Held: map[string][]string{"m": nil}}})
	})
	got := f.send(t, http.MethodPost, "/resume/", "", "X-Model", "m")
	if got.err == nil || got.body != events(1, 2) {
		t.Errorf("got %q, error %v; want the events and an error", got.body, got.err)
	}
}

func TestCallerThatLeavesIsCancelledAtTheServer(t *testing.T) {
	closed := make(chan struct{})
	server := newStandin(t, func(conn net.Conn, _ *http.Request) bool {
		write(conn, streamHead+chunk(events(1)))
		_, _ = conn.Read(make([]byte, 1))
		close(closed)
		return false
	})
	f := newFixture(t, server)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	write(conn, "POST /stream/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n")
	if _, err := conn.Read(make([]byte, 10)); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the server's run was not cancelled")
	}
}

// TestWaitingRequestGoesOnWhenItsModelComes, and one that cannot be in time is
// told when to come back.
func TestRequestForAModelThatLoads(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.handler.SetTable(engineTable(400 * time.Millisecond))
	f.setView(map[string][]string{}, map[string]time.Duration{"m": 1500 * time.Millisecond})
	got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m", "X-Wait", "1400ms")
	back, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || err != nil || back < 1.3 || back > 1.6 {
		t.Errorf("status %d, Retry-After %v; want 503 and about the time left of the load", got.status, back)
	}
	f.handler.SetTable(engineTable(5 * time.Second))
	go func() {
		time.Sleep(100 * time.Millisecond)
		f.setView(map[string][]string{"m": nil}, nil)
	}()
	if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.status != http.StatusOK {
		t.Errorf("status %d, want the answer once the model is there", got.status)
	}
}

func (f *fixture) setView(held map[string][]string, loading map[string]time.Duration) {
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetViews(time.Now(), 1, []dispatch.View{{ServerID: "s0", Held: held, Loading: loading}})
	})
}

// TestStreamThatWouldBeginTooLateIsRefusedAtOnce: its caller would be gone.
func TestStreamThatWouldBeginTooLateIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, newStandin(t, answering(http.StatusOK, "ok")))
	f.handler.SetTable(resumeTable())
	f.setView(map[string][]string{}, map[string]time.Duration{"m": 3 * time.Second})
	started := time.Now()
	got := f.send(t, http.MethodPost, "/resume/", "", "X-Model", "m")
	if got.status != http.StatusServiceUnavailable || time.Since(started) > 2*time.Second {
		t.Errorf("status %d after %v, want 503 at once", got.status, time.Since(started))
	}
	if back, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || back < 2.9 || back > 3.1 {
		t.Errorf("Retry-After %v, want the end of the load", back)
	}
}

// TestStreamIsNotHeldForALoadBeyondItsDeadline: the load would end within the
// caller's patience, but after its deadline.
func TestStreamIsNotHeldForALoadBeyondItsDeadline(t *testing.T) {
	f := newFixture(t, newStandin(t, answering(http.StatusOK, "ok")))
	f.handler.SetTable(resumeTable())
	f.setView(map[string][]string{}, map[string]time.Duration{"m": 1800 * time.Millisecond})
	got := f.send(t, http.MethodPost, "/resume/", "", "X-Model", "m", "X-Wait", "1500ms")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, reasonTooLate) {
		t.Errorf("status %d, %s, want 503 as too late", got.status, got.body)
	}
}

func TestStoppingNodeRefusesWhatWaits(t *testing.T) {
	f := newFixture(t, newStandin(t, answering(http.StatusOK, "ok")))
	f.handler.SetTable(engineTable(5 * time.Second))
	f.handler.SetDraining(time.Now())
	got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %+v, want a refusal with a time to come back", got)
	}
}

// TestServerThatLeftGetsNothing is a server that leaves while a connection to
// it is opened.
func TestServerThatLeavesGetsNoNewWork(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.dispatch.Do(func(core *dispatch.Core) { core.SetDraining("s0", storepos.At(0, 5)) })
	if got := f.send(t, http.MethodPost, "/once/", "", "X-Wait", "200ms"); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got.status)
	}
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{
			ID: "s0", Service: "svc", Address: server.address, Zone: "z", Position: storepos.At(0, 5),
		}}})
	})
	if got := f.send(t, http.MethodPost, "/once/", ""); got.status != http.StatusOK {
		t.Errorf("status %d after a newer entry, want 200", got.status)
	}
}

// TestSmuggledLengthsAreRefused: a request whose end can be read in two ways is
// answered 400, and nothing of it reaches a server.
func TestSmuggledLengthsAreRefused(t *testing.T) {
	server := newStandin(t, answering(http.StatusOK, "x"))
	f := newFixture(t, server)
	for _, lengths := range []string{
		"Content-Length: 3\r\nContent-Length: 30\r\n",
		"Content-Length: 3, 30\r\n",
		"Content-Length: +3\r\n",
		"Transfer-Encoding: chunked, identity\r\n",
		"Transfer-Encoding: xchunked\r\nContent-Length: 3\r\n",
	} {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		write(conn, "POST /once/ HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r1\r\n"+lengths+"\r\nabcGET /once/ HTTP/1.1\r\nX-Id: r2\r\n\r\n")
		answer := make([]byte, 64)
		count, _ := conn.Read(answer)
		_ = conn.Close()
		if got := string(answer[:count]); !strings.HasPrefix(got, "HTTP/1.1 400") && !strings.HasPrefix(got, "HTTP/1.1 501") {
			t.Errorf("%q is answered %q", lengths, got)
		}
	}
	if server.count() != 0 {
		t.Errorf("%d requests reached a server", server.count())
	}
}
