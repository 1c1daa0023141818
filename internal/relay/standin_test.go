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
	"github.com/spanlanding/spanlanding/internal/callerconn"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

var errNoID = errors.New("no request ID")

// testDialect uses header names of its own, which shows that the relay relies on none.
type testDialect struct{}

func (testDialect) ReadHead(header http.Header) (Head, error) {
	head := Head{RequestID: header.Get("X-Id"), LastEventID: header.Get("X-Last"), Model: header.Get("X-Model"), APIKey: header.Get("X-Key"), Resumes: header.Get("X-Resumes")}
	if head.RequestID == "" {
		return head, errNoID
	}
	head.Model, head.Adapter, _ = strings.Cut(head.Model, "/")
	if parts := header.Get("X-Parts"); parts != "" {
		for part := range strings.SplitSeq(parts, ",") {
			head.PromptParts = append(head.PromptParts, dispatch.PromptPart{ID: part, Tokens: 10})
		}
	}
	if wait, err := time.ParseDuration(header.Get("X-Wait")); err == nil {
		head.Deadline = wait
	}
	return head, nil
}

func (testDialect) SetNodeHeaders(header http.Header, added NodeHeaders) {
	header.Set("X-Server", added.ServerID)
	header.Set("X-Left", added.TimeLeft.String())
	header.Set("X-Wait", added.TimeLeft.String())
	if added.Tenant != "" {
		header.Set("X-Tenant", added.Tenant)
	}
	if added.LastEventID != "" {
		header.Set("X-Last", added.LastEventID)
	}
}

func (testDialect) ReadResponseHead(status int, header http.Header) ResponseHead {
	backoff, _ := time.ParseDuration(header.Get("X-Rest"))
	return ResponseHead{
		IsMarkedNotRun: header.Get("X-Not-Run") != "",
		ServerID:       header.Get("X-By"),
		Hint:           inventory.Hint{Draining: header.Get("X-Leaving") != "", Backoff: backoff},
	}
}

func (testDialect) UnreadField(http.Header) string { return "" }

func (testDialect) BelongsTo(header http.Header, id string) bool { return header.Get("X-Id") == id }

// responder handles one request on its connection; it returns false to close the connection.
type responder func(conn net.Conn, request *http.Request) bool

// fakeServer responds by a function and records the requests that it gets.
type fakeServer struct {
	listener net.Listener
	address  string
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
}

func newFakeServer(t *testing.T, respond responder) *fakeServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &fakeServer{listener: listener, address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, respond)
		}
	}()
	return s
}

func (s *fakeServer) serve(conn net.Conn, respond responder) {
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
		if !respond(conn, request) {
			return
		}
	}
}

func (s *fakeServer) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *fakeServer) last() *http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[len(s.requests)-1]
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

// reply is a whole response to the request with that ID.
func reply(id string, status int, body string, headers ...string) string {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " X\r\nX-Id: " + id + "\r\n"
	for _, header := range headers {
		head += header + "\r\n"
	}
	return head + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// respondWith returns a responder that always gives the same response.
func respondWith(status int, body string, headers ...string) responder {
	return func(conn net.Conn, request *http.Request) bool {
		write(conn, reply(request.Header.Get("X-Id"), status, body, headers...))
		return true
	}
}

// reset closes the connection so that the peer reads an error, not an end of stream.
func reset(conn net.Conn) bool {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	return false
}

// fixture is a handler with fake servers and a listener for callers.
type fixture struct {
	handler  *Handler
	dispatch *dispatch.Shared
	url      string
	// onDial is called before each new connection to a server.
	onDial func()
	// replaced counts the calls of replaceServer.
	replaced int
}

// fixtureDialTimeout is longer than any connection on loopback takes on a busy machine.
const fixtureDialTimeout = 10 * time.Second

func newFixture(t *testing.T, servers ...*fakeServer) *fixture {
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
		Pool:     backendconn.New(backendconn.Options{Dial: dial, DialTimeout: fixtureDialTimeout}),
		Budget:   retrybudget.Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second},
		Logger:   logging.Discard(),
	})
	f.handler = handler
	handler.SetNodes(1, true)
	// The node has served requests before, so that retries are allowed from the first one on.
	for range 200 {
		handler.countRequest("svc")
	}
	var changes []inventory.Change
	for i, s := range servers {
		changes = append(changes, inventory.Change{Server: inventory.Server{
			ID: "s" + strconv.Itoa(i), Service: "svc", Address: s.address, Zone: "z", Slots: 8,
		}})
	}
	shared.Do(func(core *dispatch.Core) { core.SetServers(changes) })
	handler.SetTable(testTable())
	server := httptest.NewUnstartedServer(handler)
	server.Config.ConnContext = callerconn.WithConn
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

func testTable() *routetable.Table {
	services := []routetable.WeightedService{{Service: "svc", Weight: 1}}
	return routetable.New(1, []routetable.Route{
		{Name: "once", Host: "127.0.0.1", Prefix: "/once/", MaxAttempts: 1, Services: services},
		{Name: "command", Host: "127.0.0.1", Prefix: "/command/", MaxAttempts: 3, Services: services},
		{Name: "often", Host: "127.0.0.1", Prefix: "/often/", RetryPolicy: routetable.RetrySafe, MaxAttempts: 2, Services: services},
		{Name: "brief", Host: "127.0.0.1", Prefix: "/brief/", Timeout: 150 * time.Millisecond, MaxAttempts: 1, Services: services},
		{Name: "stream", Host: "127.0.0.1", Prefix: "/stream/", Stream: true, MaxAttempts: 1, Services: services},
		{Name: "resume", Host: "127.0.0.1", Prefix: "/resume/", Stream: true, RetryPolicy: routetable.RetryResume, MaxAttempts: 2, Services: services},
		{Name: "nowhere", Host: "127.0.0.1", Prefix: "/nowhere/", LatencyGoal: 100 * time.Millisecond, MaxAttempts: 1,
			Services: []routetable.WeightedService{{Service: "none", Weight: 1}}},
	}, []routetable.Service{{Name: "svc"}, {Name: "none"}}, routetable.Limits{MaxBodyBytes: 1000})
}

// awaitIdle waits until no request is in flight: the caller has its response a little before that.
func (f *fixture) awaitIdle() {
	for f.handler.Active() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// result is a response as the caller sees it.
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

func (testDialect) IsEndToEnd(name string) bool { return name == "X-Model" }

func (testDialect) DropReserved(header http.Header) { header.Del("X-Reserved") }
