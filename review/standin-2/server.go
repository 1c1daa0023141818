package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of one server: of a service with models if it has a memory for them, else of a plain one.
type server struct {
	world                      *world
	id, service, zone, address string
	// memoryMb is what it has for weights; 0 for servers without models.
	memoryMb float64
	// version is the version of its software.
	version string
	// work is how long a plain request takes; pause is that between two events of a stream, and events
	// their number.
	work, pause time.Duration
	events      int
	loadTime    time.Duration
	// badPart is a part of prompts that crashes the server as it begins to write an answer; empty for none.
	badPart string

	mu       sync.Mutex
	listener net.Listener
	http     *http.Server
	conns    map[net.Conn]bool
	// life counts its starts, and born is the Unix millisecond of the present one.
	life     int
	born     int64
	state    string
	models   map[string]bool
	loading  string
	sequence int64
	arrivals []arrival
	orders   []order
	// crashes are the times at which requests crashed it, and crashed is the last life that ended so.
	crashes []time.Time
	crashed int
}

// arrival is one request that reached a server.
type arrival struct {
	at       time.Time
	id, from string
	life     int
	// status is what it got, and isBad is set if its prompt has the part that crashes servers.
	status int
	isBad  bool
}

// order is one order that reached a server.
type order struct {
	at                        time.Time
	Operation, Model, Adapter string
	Holder                    string
	FencingToken              int64
	ExpectedCount             *int64
	status                    int
}

// start begins a new life at the server's address, an address of its own at first.
func (s *server) start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	address := s.address
	if address == "" {
		address = s.world.network + ".200:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fail("server %s: %v", s.id, err)
	}
	s.address = listener.Addr().String()
	s.life++
	s.born = time.Now().UnixMilli()
	s.state, s.sequence, s.loading = "ready", 0, ""
	if s.life > 1 {
		s.models = make(map[string]bool)
	}
	s.listener, s.conns = listener, make(map[net.Conn]bool)
	s.http = &http.Server{Handler: s, ConnState: s.onConnState}
	go func(serving *http.Server) { _ = serving.Serve(listener) }(s.http)
	s.world.record.add("server %s starts at %s, version %s, born %d", s.id, s.address, s.version, s.born)
}

func (s *server) onConnState(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[conn] = true
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
	}
}

// crash ends its life without a word: its connections are reset, and its port is dead.
func (s *server) crash() {
	s.mu.Lock()
	serving := s.http
	for conn := range s.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	s.mu.Unlock()
	_ = serving.Close()
	s.world.record.add("server %s ends", s.id)
}

// beat writes the server's entry.
func (s *server) beat() {
	s.mu.Lock()
	models := []map[string]any{}
	for name := range s.models {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": 8, "state": s.state,
		"coldLeftMs": 0, "sequence": s.sequence, "born": s.born, "models": models, "phase": "both",
	}
	state, born := s.state, s.born
	s.mu.Unlock()
	s.world.store.put("servers", s.id, entry)
	s.world.record.add("server %s writes its entry: state %s, born %d", s.id, state, born)
}

// setState changes the state in the entry.
func (s *server) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.beat()
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if id := request.Header.Get("Request-Id"); id != "" {
		writer.Header().Set("Request-Id", id)
	}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		writer.Header().Set("Instance-Id", s.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/healthz":
		writer.Header().Set("Instance-Id", s.id)
	case "/api/report":
		s.report(writer)
	case "/api/order":
		s.takeOrder(writer, request)
	default:
		s.serve(writer, request)
	}
}

func (s *server) report(writer http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	models := []map[string]any{}
	for name := range s.models {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": []string{}})
	}
	_ = json.NewEncoder(writer).Encode(map[string]any{
		"phase": "both", "models": models, "busy": s.loading != "", "sequence": s.sequence, "born": s.born,
		"queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0,
	})
}

func (s *server) takeOrder(writer http.ResponseWriter, request *http.Request) {
	var received order
	if json.NewDecoder(request.Body).Decode(&received) != nil || received.Holder == "" || received.FencingToken == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	received.at = time.Now()
	received.status = s.carryOut(received)
	s.orders = append(s.orders, received)
	s.mu.Unlock()
	s.world.record.add("server %s: order %s %s of holder %s, token %d: %d", s.id, received.Operation, received.Model, received.Holder, received.FencingToken, received.status)
	writer.WriteHeader(received.status)
}

// carryOut begins what an order says and returns its status. s.mu must be held.
func (s *server) carryOut(received order) int {
	switch {
	case s.loading != "" || received.ExpectedCount != nil && *received.ExpectedCount != s.sequence:
		return http.StatusConflict
	case received.Operation == "load" && received.Adapter == "" && s.models[received.Model]:
		return http.StatusOK
	case received.Operation == "unload":
		s.sequence++
		delete(s.models, received.Model)
		return http.StatusAccepted
	}
	s.sequence++
	life := s.life
	s.loading = received.Model
	time.AfterFunc(s.loadTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.life == life {
			s.loading = ""
			s.models[received.Model] = true
		}
	})
	return http.StatusAccepted
}

// serve takes a request of a client. The path's second part names the machine that it was sent to.
func (s *server) serve(writer http.ResponseWriter, request *http.Request) {
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	id, from := request.Header.Get("Request-Id"), ""
	if parts := strings.Split(request.URL.Path, "/"); len(parts) > 2 {
		from = parts[2]
	}
	model, _, _ := strings.Cut(request.Header.Get("Model"), "/")
	s.mu.Lock()
	life, status := s.life, http.StatusOK
	if model != "" && !s.models[model] {
		status = http.StatusMisdirectedRequest
	}
	isBad := s.badPart != "" && strings.Contains(request.Header.Get("Prefix-Hash"), s.badPart+":")
	s.arrivals = append(s.arrivals, arrival{at: time.Now(), id: id, from: from, life: life, status: status, isBad: isBad})
	s.mu.Unlock()
	s.world.record.add("server %s (start %d): request %s arrives through %s: %d", s.id, life, id, from, status)
	if status != http.StatusOK {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(status)
		return
	}
	writer.Header().Set("Server-Stamp", "stamp-"+s.id)
	if model == "" {
		sleep(request.Context(), s.work)
		_, _ = fmt.Fprintf(writer, "answer of %s to %s", s.id, id)
		return
	}
	if isBad {
		s.crashUnder(writer, request, life)
		return
	}
	s.stream(writer, request)
}

// crashUnder crashes the server as it begins to write an answer. It is back after some seconds. A request of a
// life that another one has crashed ends with it.
func (s *server) crashUnder(writer http.ResponseWriter, request *http.Request, life int) {
	time.Sleep(s.pause)
	s.mu.Lock()
	isOver := s.life != life || s.crashed == life
	if !isOver {
		s.crashed = life
		s.crashes = append(s.crashes, time.Now())
	}
	s.mu.Unlock()
	if isOver {
		<-request.Context().Done()
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(writer, "id: 1\n")
	_ = http.NewResponseController(writer).Flush()
	s.world.record.add("server %s crashes under request %s", s.id, request.Header.Get("Request-Id"))
	s.crash()
	time.AfterFunc(downTime, func() {
		s.start()
		s.beat()
	})
}

// stream writes the events of a stream, each with the version of the server's software.
func (s *server) stream(writer http.ResponseWriter, request *http.Request) {
	writer.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for event := last + 1; event <= s.events; event++ {
		sleep(request.Context(), s.pause)
		if request.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, s.version); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
