package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

var errNoID = errors.New("no identity")

// testDialect has names of its own, so that the relay shows to know none.
type testDialect struct{}

func (testDialect) ReadHead(header http.Header) (Head, error) {
	head := Head{RequestID: header.Get("X-Id"), LastEventID: header.Get("X-Last"), Model: header.Get("X-Model"), APIKey: header.Get("X-Key")}
	if head.RequestID == "" {
		return head, errNoID
	}
	if wait, err := time.ParseDuration(header.Get("X-Wait")); err == nil {
		head.Deadline = wait
	}
	return head, nil
}

func (testDialect) SetNodeHeaders(header http.Header, send NodeHeaders) {
	header.Set("X-Server", send.ServerID)
	header.Set("X-Left", send.TimeLeft.String())
	if send.Tenant != "" {
		header.Set("X-Tenant", send.Tenant)
	}
	if send.LastEventID != "" {
		header.Set("X-Last", send.LastEventID)
	}
}

func (testDialect) ReadResponseHead(status int, header http.Header) ResponseHead {
	rest, _ := time.ParseDuration(header.Get("X-Rest"))
	return ResponseHead{
		NotRun:   status == http.StatusMisdirectedRequest || header.Get("X-Not-Run") != "",
		ServerID: header.Get("X-By"),
		Hint:     inventory.Hint{Draining: header.Get("X-Leaving") != "", Backoff: rest},
	}
}

func (testDialect) UnreadField(http.Header) string { return "" }

func (testDialect) BelongsTo(header http.Header, id string) bool { return header.Get("X-Id") == id }

// script is what a stand-in server does with one request on its connection; it
// returns false to close the connection.
type script func(conn net.Conn, request *http.Request) bool

// standinServer answers by a script and keeps what it was sent.
type standinServer struct {
	listener net.Listener
	address  string
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func newStandin(t *testing.T, script script) *standinServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &standinServer{listener: listener, address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, script)
		}
	}()
	return s
}

func (s *standinServer) serve(conn net.Conn, script script) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		s.mu.Lock()
		s.requests = append(s.requests, request)
		s.bodies = append(s.bodies, string(body))
		s.mu.Unlock()
		if !script(conn, request) {
			return
		}
	}
}

func (s *standinServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *standinServer) last() *http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[len(s.requests)-1]
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// reply is a whole answer to the request of an identity.
func reply(id string, status int, body string, headers ...string) string {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nX-Id: " + id + "\r\n"
	for _, header := range headers {
		head += header + "\r\n"
	}
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

func answering(status int, body string, headers ...string) script {
	return func(conn net.Conn, request *http.Request) bool {
		write(conn, reply(request.Header.Get("X-Id"), status, body, headers...))
		return true
	}
}

// reset closes the connection so that the peer reads an error, not an end.
func reset(conn net.Conn) bool {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}

// fixture is a handler with servers behind it and a real listener before it.
type fixture struct {
	handler  *Handler
	dispatch *dispatch.Shared
	url      string
	// onDial is called before each new connection to a server.
	onDial func()
}

func newFixture(t *testing.T, servers ...*standinServer) *fixture {
	t.Helper()
	shared := dispatch.NewShared(dispatch.Options{Zone: "z", Seed: 1})
	f := &fixture{dispatch: shared, onDial: func() {}}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		f.onDial()
		return new(net.Dialer).DialContext(ctx, "tcp", address)
	}
	handler := New(Options{
		Dialect:  testDialect{},
		Dispatch: shared,
		Pool:     backendconn.New(backendconn.Options{Dial: dial}),
		Budget:   retrybudget.Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second},
		Logger:   logging.Discard(),
	})
	f.handler = handler
	var changes []inventory.Change
	for i, s := range servers {
		changes = append(changes, inventory.Change{Server: inventory.Server{
			ID: "s" + strconv.Itoa(i), Service: "svc", Address: s.address, Zone: "z", Slots: 8,
		}})
	}
	shared.Do(func(core *dispatch.Core) { core.SetServers(changes) })
	handler.SetTable(testTable())
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func testTable() *routetable.Table {
	parts := []routetable.WeightedService{{Service: "svc", Weight: 1}}
	return routetable.New(1, []routetable.Route{
		{Name: "once", Host: "127.0.0.1", Prefix: "/once/", MaxAttempts: 1, Services: parts},
		{Name: "command", Host: "127.0.0.1", Prefix: "/command/", MaxAttempts: 3, Services: parts},
		{Name: "often", Host: "127.0.0.1", Prefix: "/often/", RetryPolicy: routetable.RetrySafe, MaxAttempts: 2, Services: parts},
		{Name: "brief", Host: "127.0.0.1", Prefix: "/brief/", Timeout: 150 * time.Millisecond, MaxAttempts: 1, Services: parts},
		{Name: "stream", Host: "127.0.0.1", Prefix: "/stream/", Stream: true, MaxAttempts: 1, Services: parts},
		{Name: "resume", Host: "127.0.0.1", Prefix: "/resume/", Stream: true, RetryPolicy: routetable.RetryResume, MaxAttempts: 2, Services: parts},
		{Name: "nowhere", Host: "127.0.0.1", Prefix: "/nowhere/", LatencyGoal: 100 * time.Millisecond, MaxAttempts: 1,
			Services: []routetable.WeightedService{{Service: "none", Weight: 1}}},
	}, []routetable.Service{{Name: "svc"}, {Name: "none"}}, routetable.Limits{MaxBodyBytes: 1000})
}

// result is an answer as the caller sees it.
type result struct {
	status int
	header http.Header
	body   string
	err    error
}

func (f *fixture) send(t *testing.T, method, path, body string, headers ...string) result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("X-Id", "r1")
	request.Header.Set("X-Wait", "5s")
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
		if headers[i+1] == "" {
			request.Header.Del(headers[i])
		}
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return result{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return result{status: response.StatusCode, header: response.Header, body: string(text), err: err}
}

// engineTable has one route to servers that hold models.
func engineTable(goal time.Duration) *routetable.Table {
	engine := &routetable.Engine{Models: map[string]routetable.Model{"m": {Name: "m", Load: time.Second}}}
	return routetable.New(2, []routetable.Route{{
		Name: "llm", Host: "127.0.0.1", Prefix: "/llm/", LatencyGoal: goal, MaxAttempts: 1,
		Services: []routetable.WeightedService{{Service: "svc", Weight: 1}},
	}}, []routetable.Service{{Name: "svc", Engine: engine}}, routetable.Limits{})
}

// resumeTable has one route to model servers whose streams may be resumed.
func resumeTable() *routetable.Table {
	engine := &routetable.Engine{Models: map[string]routetable.Model{"m": {Name: "m", Load: time.Second}}}
	return routetable.New(2, []routetable.Route{{
		Name: "resume", Host: "127.0.0.1", Prefix: "/resume/", Stream: true, RetryPolicy: routetable.RetryResume, MaxAttempts: 2,
		Services: []routetable.WeightedService{{Service: "svc", Weight: 1}},
	}}, []routetable.Service{{Name: "svc", Engine: engine}}, routetable.Limits{})
}

// FuzzEvents cuts a stream of events anywhere: what is passed on is always
// whole events, and no byte is lost or doubled.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"), uint8(3))
	f.Fuzz(func(t *testing.T, text []byte, step uint8) {
		var passed, buffer []byte
		for rest := text; len(rest) > 0; {
			count := min(int(step)+1, len(rest))
			buffer = append(buffer, rest[:count]...)
			rest = rest[count:]
			if end := lastEventEnd(buffer); end > 0 {
				passed = append(passed, buffer[:end]...)
				buffer = append([]byte(nil), buffer[end:]...)
			}
		}
		if string(passed)+string(buffer) != string(text) {
			t.Errorf("%q became %q and %q", text, passed, buffer)
		}
		if len(passed) > 0 && !strings.HasSuffix(string(passed), "\n\n") {
			t.Errorf("passed on in the middle of an event: %q", passed)
		}
		_ = eventID(text)
	})
}

func (testDialect) IsEndToEnd(name string) bool { return name == "X-Model" }

func (testDialect) DropReserved(header http.Header) { header.Del("X-Reserved") }
