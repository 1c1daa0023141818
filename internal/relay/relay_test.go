package relay

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

func TestAnswerIsPassedOnWhole(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusCreated, "the bytes", "X-Stamp: abc"))
	f := newFixture(t, server)
	got := f.send(t, http.MethodPost, "/once/a%2Fb?c=d", "body", "X-Other", "kept", "Connection", "X-Hop", "X-Hop", "1")
	if got.status != http.StatusCreated || got.body != "the bytes" || got.header.Get("X-Stamp") != "abc" {
		t.Errorf("got %+v, want the server's response", got)
	}
	sent := server.last()
	if sent.RequestURI != "/once/a%2Fb?c=d" || server.bodies[0] != "body" {
		t.Errorf("sent %s with %q", sent.RequestURI, server.bodies[0])
	}
	if sent.Header.Get("X-Server") != "s0" || sent.Header.Get("X-Other") != "kept" || sent.Header.Get("X-Hop") != "" {
		t.Errorf("headers sent to the server: %v", sent.Header)
	}
	left, err := time.ParseDuration(sent.Header.Get("X-Left"))
	if err != nil || left > 5*time.Second || left <= 0 {
		t.Errorf("time left sent to the server: %v, %v", left, err)
	}
}

func TestRequestsThatGoNoFurther(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "x"))
	f := newFixture(t, server)
	cases := []struct {
		name    string
		path    string
		body    string
		headers []string
		status  int
	}{
		{"no request ID", "/once/", "", []string{"X-Id", ""}, http.StatusBadRequest},
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
		name    string
		respond responder
		path    string
		want    int
	}{
		{"the server says that it did not run it", respondWith(http.StatusServiceUnavailable, "", "X-Not-Run: 1"), "/once/", 503},
		{"another server at the address does not take it", respondWith(http.StatusMisdirectedRequest, "", "X-By: another"), "/once/", 503},
		{"the server's own failure", respondWith(http.StatusInternalServerError, "own", "X-Stamp: s"), "/once/", 500},
		{"unavailable, without a proof", respondWith(http.StatusServiceUnavailable, "own", "X-Stamp: s"), "/once/", 502},
		{"too many requests, without a proof", respondWith(http.StatusTooManyRequests, "own", "X-Stamp: s"), "/once/", 502},
		{"timeout, without a proof", respondWith(http.StatusRequestTimeout, "own", "X-Stamp: s"), "/once/", 502},
		{"misdirected, without a proof", respondWith(http.StatusMisdirectedRequest, "own", "X-Stamp: s"), "/once/", 502},
		{"misdirected by the intended server, without a proof", respondWith(http.StatusMisdirectedRequest, "", "X-By: s0"), "/once/", 502},
		{"closed without a response", func(net.Conn, *http.Request) bool { return false }, "/once/", 502},
		{"reset", func(conn net.Conn, _ *http.Request) bool { return reset(conn) }, "/once/", 502},
		{"no response in time", func(net.Conn, *http.Request) bool { time.Sleep(2 * time.Second); return false }, "/brief/", 504},
		{"bytes that are no response", func(conn net.Conn, _ *http.Request) bool { write(conn, "nonsense\r\n\r\n"); return false }, "/once/", 502},
		{"a truncated response", func(conn net.Conn, _ *http.Request) bool {
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
			server := newFakeServer(t, c.respond)
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
	unreachable := &fakeServer{address: "127.0.0.1:1"}
	server := newFakeServer(t, respondWith(http.StatusOK, "ok"))
	f := newFixture(t, unreachable, server)
	for range 6 {
		if got := f.send(t, http.MethodPost, "/once/", ""); got.status != http.StatusOK {
			t.Fatalf("status %d, want 200 from the reachable server", got.status)
		}
	}
}

func TestSafeRequestIsTriedAtASecondServerOnly(t *testing.T) {
	closing := func(net.Conn, *http.Request) bool { return false }
	servers := []*fakeServer{newFakeServer(t, closing), newFakeServer(t, closing), newFakeServer(t, closing)}
	got := newFixture(t, servers...).send(t, http.MethodGet, "/often/", "")
	total := servers[0].count() + servers[1].count() + servers[2].count()
	if got.status != http.StatusBadGateway || total != 2 {
		t.Errorf("status %d after %d sends, want 502 after 2", got.status, total)
	}
	servers = []*fakeServer{newFakeServer(t, closing), newFakeServer(t, respondWith(http.StatusOK, "ok"))}
	f := newFixture(t, servers...)
	for range 4 {
		if got := f.send(t, http.MethodGet, "/often/", ""); got.status != http.StatusOK {
			t.Errorf("status %d, want 200 from the second server", got.status)
		}
	}
}

func TestCommandIsNotRepeatedThoughAttemptsAreLeft(t *testing.T) {
	closing := func(net.Conn, *http.Request) bool { return false }
	servers := []*fakeServer{newFakeServer(t, closing), newFakeServer(t, closing)}
	got := newFixture(t, servers...).send(t, http.MethodGet, "/command/", "")
	if total := servers[0].count() + servers[1].count(); got.status != http.StatusBadGateway || total != 1 {
		t.Errorf("status %d after %d sends, want 502 after 1", got.status, total)
	}
}

func TestRejectedCommandMayGoToAnotherServer(t *testing.T) {
	rejecting := respondWith(http.StatusServiceUnavailable, "", "X-Not-Run: 1")
	servers := []*fakeServer{newFakeServer(t, rejecting), newFakeServer(t, rejecting)}
	got := newFixture(t, servers...).send(t, http.MethodPost, "/command/", "")
	if got.status != http.StatusServiceUnavailable || servers[0].count() != 1 || servers[1].count() != 1 {
		t.Errorf("status %d after %d and %d sends, want 503 after one at each", got.status, servers[0].count(), servers[1].count())
	}
}

// Guards against sending on a connection that the server closed: such a request could not be told from
// one that ran.
func TestClosedConnectionIsNotUsedAgain(t *testing.T) {
	server := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
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

// Guards against sending to a server that began draining while the connection was opened.
func TestServerThatLeavesWhileItIsDialledGetsNothing(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.onDial = func() { f.dispatch.Do(func(core *dispatch.Core) { core.SetDraining("s0", storepos.At(0, 5)) }) }
	got := f.send(t, http.MethodPost, "/once/", "", "X-Wait", "200ms")
	if got.status != http.StatusServiceUnavailable || server.count() != 0 {
		t.Errorf("status %d after %d sends, want 503 after none", got.status, server.count())
	}
}

// Guards against requests that a stopping node takes on a kept connection long after it closed to new ones, and
// cuts when it ends.
func TestRequestAfterTheNodeClosedIsRefused(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.send(t, http.MethodPost, "/once/", "")
	f.handler.SetDraining(StopSchedule{RefuseWaitingAt: time.Now().Add(time.Minute), EndAt: time.Now().Add(time.Hour)})
	f.handler.Close()
	got := f.send(t, http.MethodPost, "/once/", "")
	if got.status != http.StatusServiceUnavailable || server.count() != 1 {
		t.Errorf("status %d after %d sends, want 503 and the one before", got.status, server.count())
	}
}

func TestRepeatsEndWithTheBudget(t *testing.T) {
	server := newFakeServer(t, func(net.Conn, *http.Request) bool { return false })
	other := newFakeServer(t, func(net.Conn, *http.Request) bool { return false })
	f := newFixture(t, server, other)
	f.handler.SetNodes(1000, true)
	for range 4 {
		f.send(t, http.MethodGet, "/often/", "")
	}
	if total := server.count() + other.count(); total != 4 {
		t.Errorf("%d sends of 4 requests with an empty budget, want 4", total)
	}
}

// Guards against retries that are used up by sends which never leave, and so keep others from theirs.
func TestRetryThatNeverLeftIsLeftToOthers(t *testing.T) {
	resetting := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool { return reset(conn) })
	f := newFixture(t, resetting, resetting)
	before := f.handler.MinRetriesRemaining()
	f.onDial = func() {
		if resetting.count() > 0 {
			f.dispatch.Do(func(core *dispatch.Core) {
				core.SetDraining("s0", storepos.At(0, 5))
				core.SetDraining("s1", storepos.At(0, 5))
			})
		}
	}
	f.send(t, http.MethodGet, "/often/", "", "X-Wait", "200ms")
	if sends, left := resetting.count(), f.handler.MinRetriesRemaining(); sends != 1 || left != before {
		t.Errorf("%v retries left of %v after %d sends, want as many after one", left, before, sends)
	}
}

func TestSurplusAnswerIsPassedOver(t *testing.T) {
	server := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		write(conn, reply("another", http.StatusOK, "not yours"))
		write(conn, reply(request.Header.Get("X-Id"), http.StatusOK, "yours"))
		return true
	})
	if got := newFixture(t, server).send(t, http.MethodPost, "/once/", ""); got.body != "yours" {
		t.Errorf("got %+v, want the response to the request", got)
	}
}

// Guards against taking a surplus response on an idle connection for the response to the next request.
func TestBytesAfterAnAnswerEndItsConnection(t *testing.T) {
	server := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
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

// A connection whose server responds before it has read the whole body is not reused: the next request
// would be read as the rest of that body.
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
	f := newFixture(t, &fakeServer{address: listener.Addr().String()})
	table := testTable()
	table.Limits.MaxBodyBytes = 64 << 20
	f.handler.SetTable(table)
	f.onDial = func() { time.Sleep(backendconn.DefaultDialTimeout + 100*time.Millisecond) }
	large := strings.Repeat("x", 16<<20)
	for range 2 {
		if got := f.send(t, http.MethodPost, "/once/", large); got.body != "early" {
			t.Errorf("got status %d, %q, %v", got.status, got.body, got.err)
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
	server := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool {
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
	server := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool {
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
	var servers []*fakeServer
	respond := func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get("X-Last") == "2" {
			write(conn, streamHead+chunk(events(3, 4))+"0\r\n\r\n")
			return true
		}
		write(conn, streamHead+chunk(events(1, 2)+"id: 3\nda"))
		time.Sleep(30 * time.Millisecond)
		return false
	}
	servers = append(servers, newFakeServer(t, respond), newFakeServer(t, respond))
	got := newFixture(t, servers...).send(t, http.MethodPost, "/resume/", "")
	if got.err != nil || got.body != events(1, 2, 3, 4) {
		t.Errorf("got %q, %v", got.body, got.err)
	}
	if servers[0].count() != 1 || servers[1].count() != 1 {
		t.Errorf("sent %d and %d times, want one run at each", servers[0].count(), servers[1].count())
	}
}

// A stream breaks and the next server rejects its resumption: the caller gets whole events and a
// truncated response.
func TestRejectedResumptionDoesNotEndTheStream(t *testing.T) {
	respond := func(conn net.Conn, request *http.Request) bool {
		if request.Header.Get("X-Last") != "" {
			write(conn, reply("r1", http.StatusMisdirectedRequest, ""))
			return true
		}
		write(conn, streamHead+chunk(events(1, 2)))
		time.Sleep(30 * time.Millisecond)
		return false
	}
	f := newFixture(t, newFakeServer(t, respond), newFakeServer(t, respond))
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
	server := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool {
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
		t.Error("the request was not cancelled at the server")
	}
}

// A waiting request is sent when its model is loaded; one that cannot be served in time is told when to
// retry.
func TestRequestForAModelThatLoads(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "ok"))
	f := newFixture(t, server)
	f.handler.SetTable(engineTable(400 * time.Millisecond))
	f.setView(map[string][]string{}, map[string]time.Duration{"m": 1500 * time.Millisecond})
	got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m", "X-Wait", "1400ms")
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if got.status != http.StatusServiceUnavailable || err != nil || retryAfter < 1.3 || retryAfter > 1.6 {
		t.Errorf("status %d, Retry-After %v; want 503 and about the remaining load time", got.status, retryAfter)
	}
	f.handler.SetTable(engineTable(5 * time.Second))
	go func() {
		time.Sleep(100 * time.Millisecond)
		f.setView(map[string][]string{"m": nil}, nil)
	}()
	if got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m"); got.status != http.StatusOK {
		t.Errorf("status %d, want 200 once the model is loaded", got.status)
	}
}

func (f *fixture) setView(held map[string][]string, loading map[string]time.Duration) {
	f.dispatch.Do(func(core *dispatch.Core) {
		core.SetViews(time.Now(), 1, []dispatch.View{{ServerID: "s0", Held: held, Loading: loading}})
	})
}

// A stream that would begin only after its caller's limit is refused at once.
func TestStreamThatWouldBeginTooLateIsRefusedAtOnce(t *testing.T) {
	f := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, "ok")))
	f.handler.SetTable(resumeTable())
	f.setView(map[string][]string{}, map[string]time.Duration{"m": 3 * time.Second})
	started := time.Now()
	got := f.send(t, http.MethodPost, "/resume/", "", "X-Model", "m")
	if got.status != http.StatusServiceUnavailable || time.Since(started) > 2*time.Second {
		t.Errorf("status %d after %v, want 503 at once", got.status, time.Since(started))
	}
	if retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || retryAfter < 2.9 || retryAfter > 3.1 {
		t.Errorf("Retry-After %v, want the remaining load time", retryAfter)
	}
}

// A load that would end within the longest wait for a stream, but after the deadline, is not waited for.
func TestStreamIsNotHeldForALoadBeyondItsDeadline(t *testing.T) {
	f := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, "ok")))
	f.handler.SetTable(resumeTable())
	f.setView(map[string][]string{}, map[string]time.Duration{"m": 1800 * time.Millisecond})
	got := f.send(t, http.MethodPost, "/resume/", "", "X-Model", "m", "X-Wait", "1500ms")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, reasonTooLate) {
		t.Errorf("status %d, %s, want 503 as too late", got.status, got.body)
	}
}

func TestStoppingNodeRefusesWhatWaits(t *testing.T) {
	f := newFixture(t, newFakeServer(t, respondWith(http.StatusOK, "ok")))
	f.handler.SetTable(engineTable(5 * time.Second))
	f.handler.SetDraining(StopSchedule{RefuseWaitingAt: time.Now(), EndAt: time.Now().Add(time.Hour)})
	got := f.send(t, http.MethodPost, "/llm/", "", "X-Model", "m")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Errorf("got %+v, want a refusal with Retry-After", got)
	}
}

// A draining server gets no new requests until a newer entry says that it is available.
func TestServerThatLeavesGetsNoNewWork(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "ok"))
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

// Guards against request smuggling: a request whose end is ambiguous is refused, and nothing of it
// reaches a server.
func TestSmuggledLengthsAreRefused(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "x"))
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
		response := make([]byte, 64)
		count, _ := conn.Read(response)
		_ = conn.Close()
		if got := string(response[:count]); !strings.HasPrefix(got, "HTTP/1.1 400") && !strings.HasPrefix(got, "HTTP/1.1 501") {
			t.Errorf("%q: got %q, want status 400 or 501", lengths, got)
		}
	}
	if server.count() != 0 {
		t.Errorf("%d requests reached a server", server.count())
	}
}

// TestAnswersThatEndWithTheirConnection guards against taking an answer without a length or chunks for
// broken, or a stream that ends inside an event for whole.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	head := func(kind string) string { return "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Type: " + kind + "\r\n\r\n" }
	cases := map[string]struct {
		path, text string
		isWhole    bool
	}{
		"answer":                         {"/once/", head("text/plain") + "the bytes", true},
		"stream":                         {"/stream/", head("text/event-stream") + events(1, 2), true},
		"stream that ends in an event":   {"/stream/", head("text/event-stream") + events(1) + "id: 2\nda", false},
		"resumable, ends in an event":    {"/resume/", head("text/event-stream") + events(1) + "id: 2\nda", true},
		"resumable, ends after an event": {"/resume/", head("text/event-stream") + events(1, 2), true},
	}
	for name, c := range cases {
		server := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
			if request.Header.Get("X-Last") == "1" {
				write(conn, head("text/event-stream")+events(2))
				return false
			}
			write(conn, c.text)
			return false
		})
		other := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
			write(conn, head("text/event-stream")+events(2))
			return false
		})
		f := newFixture(t, server)
		if c.path == "/resume/" {
			f.dispatch.Do(func(core *dispatch.Core) {
				core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "later", Service: "svc", Address: other.address, Zone: "far", Slots: 8}}})
			})
		}
		got := f.send(t, http.MethodPost, c.path, "")
		if isWhole := got.err == nil && got.status == http.StatusOK; isWhole != c.isWhole {
			t.Errorf("%s: got %+v, want it whole: %v", name, got, c.isWhole)
		}
		if c.isWhole && c.path != "/once/" && !strings.HasSuffix(got.body, events(2)) {
			t.Errorf("%s: got %q", name, got.body)
		}
	}
}
