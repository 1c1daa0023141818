package main

import (
	"bufio"
	"bytes"
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

// engine stands in for one model server, or for a plain one where it holds no models.
type engine struct {
	id, service, zone, address string
	record                     *record
	store                      *store
	// loadTime and adapterTime are how long a model and an adapter take to load.
	loadTime, adapterTime time.Duration
	// pieces and pause are the events of a stream, and the time between two.
	pieces int
	pause  time.Duration
	// beatsByCase is set where the case says when the server writes its entry.
	beatsByCase bool
	// workTime is how long a run of a plain request takes.
	workTime time.Duration
	// surplusShare is the largest share of the server's answers to clients that it may send twice. It
	// repeats rejections: the second copy comes late, where the answer to the next request of the
	// connection is due.
	surplusShare float64
	// cutsShort says of a run whether its stream breaks off in the middle; nil means never.
	cutsShort func(id string, run int) bool

	listener net.Listener
	mu       sync.Mutex
	models   map[string]map[string]time.Time
	sequence int64
	busy     bool
	runs     *runBook
	// born is the Unix millisecond of the present start; 0 where the server does not tell it.
	born int64
	// isDown refuses everything, and isLeaving is told in all answers.
	isDown, isLeaving bool
	conns             map[net.Conn]bool
	// arrivals are the requests of clients that reached the server.
	arrivals []arrival
	// answers and surplus count the answers to clients, and the second copies.
	answers, surplus int
}

// arrival is a request that reached the server.
type arrival struct {
	id string
	at time.Time
}

// runBook counts the runs of each request at all servers.
type runBook struct {
	mu      sync.Mutex
	servers map[string][]string
}

func newRunBook() *runBook { return &runBook{servers: make(map[string][]string)} }

// begin counts a run and returns its number, from 1 on.
func (b *runBook) begin(id, server string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.servers[id] = append(b.servers[id], server)
	return len(b.servers[id])
}

func (b *runBook) of(id string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.servers[id]...)
}

// startEngine lets the server listen and keep its entry in the store.
func (w *world) startEngine(e *engine, models ...string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.record, e.store, e.address, e.listener = w.record, w.store, listener.Addr().String(), listener
	e.models = make(map[string]map[string]time.Time)
	for _, model := range models {
		e.models[model] = make(map[string]time.Time)
	}
	go e.accept(listener)
	e.beat()
	if !e.beatsByCase {
		go func() {
			for range time.Tick(beatPeriod) {
				e.beat()
			}
		}()
	}
	return nil
}

func (e *engine) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if e.addConn(conn) {
			go e.serve(conn)
		}
	}
}

// cutOff resets the connections to the server and lets new ones be refused, while the server goes on.
func (e *engine) cutOff() {
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn := range e.conns {
		reset(conn)
	}
	e.conns = nil
}

// heal lets new connections come up again.
func (e *engine) heal() error {
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.listener = listener
	go e.accept(listener)
	return nil
}

// beatPeriod is the time between two writes of a server's entry.
const beatPeriod = 1200 * time.Millisecond

// addConn keeps a connection, or resets it where the server is down.
func (e *engine) addConn(conn net.Conn) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isDown {
		reset(conn)
		return false
	}
	if e.conns == nil {
		e.conns = make(map[net.Conn]bool)
	}
	e.conns[conn] = true
	return true
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// crash ends the present start of the server: its connections are reset.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isDown = true
	for conn := range e.conns {
		reset(conn)
	}
	e.conns = nil
	e.record.add("%s: crashes", e.id)
}

// beat writes the server's entry. It reports whether the store took it.
func (e *engine) beat() bool {
	name, entry := e.entry()
	return e.store.putByServer("servers", name, entry)
}

// entry is what the server says of itself in the store.
func (e *engine) entry() (name string, entry map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := "ready"
	if e.isLeaving {
		state = "draining"
	}
	entry = map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": state,
		"coldLeftMs": 0, "sequence": e.sequence, "phase": "both", "models": e.held(),
	}
	if e.born > 0 {
		entry["born"] = e.born
	}
	return e.id, entry
}

// held lists what the server holds. e.mu is held.
func (e *engine) held() []map[string]any {
	list := []map[string]any{}
	for name, adapters := range e.models {
		ready := []string{}
		for adapter, at := range adapters {
			if !time.Now().Before(at) {
				ready = append(ready, adapter)
			}
		}
		list = append(list, map[string]any{"name": name, "version": 1, "adapters": ready})
	}
	return list
}

// pending lists the adapters on their way. e.mu is held.
func (e *engine) pending() []string {
	list := []string{}
	for name, adapters := range e.models {
		for adapter, at := range adapters {
			if time.Now().Before(at) {
				list = append(list, name+"/"+adapter+"@1")
			}
		}
	}
	return list
}

// serve answers the requests of one connection, one at a time.
func (e *engine) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var surplus []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if len(surplus) > 0 {
			e.record.add("%s: sends the surplus answer where that to %q is due", e.id, describe(request))
			if _, err := conn.Write(surplus); err != nil {
				return
			}
			surplus = nil
		}
		answer, isRejection, keep := e.handle(conn, request, body)
		if _, err := conn.Write(answer); err != nil || !keep {
			return
		}
		if request.Header.Get("Request-Id") != "" && e.maySendTwice(isRejection) {
			surplus = answer
		}
	}
}

// maySendTwice counts an answer to a client, and reports whether it will be sent a second time.
func (e *engine) maySendTwice(isRejection bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answers++
	if !isRejection || float64(e.surplus+1) > e.surplusShare*float64(e.answers) {
		return false
	}
	e.surplus++
	return true
}

func describe(request *http.Request) string {
	if id := request.Header.Get("Request-Id"); id != "" {
		return id
	}
	return request.URL.Path
}

// handle handles one request. The answer of a stream is written by itself, and is empty.
func (e *engine) handle(conn net.Conn, request *http.Request, body []byte) (answer []byte, isRejection, keep bool) {
	id := request.Header.Get("Request-Id")
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		return text(http.StatusMisdirectedRequest, http.Header{"Request-Id": {id}, "Instance-Id": {e.id}}, nil), false, true
	}
	switch request.URL.Path {
	case "/api/report":
		return e.report(), false, true
	case "/api/order":
		return e.order(body), false, true
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{id: id, at: time.Now()})
	e.mu.Unlock()
	model, adapter, _ := strings.Cut(request.Header.Get("Model"), "/")
	if !e.holds(model, adapter) {
		e.record.add("%s: %s rejected with 421, no %s", e.id, id, request.Header.Get("Model"))
		return text(http.StatusMisdirectedRequest, http.Header{"Request-Id": {id}}, nil), true, true
	}
	run := e.runs.begin(id, e.id)
	e.record.add("%s: %s runs, run %d", e.id, id, run)
	if model == "" {
		return e.plain(id), false, true
	}
	return nil, false, e.stream(conn, id, request.Header.Get("Last-Event-Id"), run)
}

// plain runs a plain request and returns its answer.
func (e *engine) plain(id string) []byte {
	time.Sleep(e.workTime)
	header := http.Header{"Request-Id": {id}, "Server-Stamp": {e.id + "." + id}, "Instance-Id": {e.id}}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isLeaving {
		header.Set("Server-Leaving", "1")
	}
	return text(http.StatusOK, header, []byte("done: "+id))
}

func (e *engine) holds(model, adapter string) bool {
	if model == "" {
		return true
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, ok := e.models[model]
	if !ok || adapter == "" {
		return ok
	}
	at, ok := adapters[adapter]
	return ok && !time.Now().Before(at)
}

// stream writes the events after the last one that the request names. It reports whether the connection
// is to be kept.
func (e *engine) stream(conn net.Conn, id, last string, run int) bool {
	cutsShort := e.cutsShort != nil && e.cutsShort(id, run)
	begin := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id)
	if _, err := conn.Write([]byte(begin)); err != nil {
		return false
	}
	after, _ := strconv.Atoi(last)
	for piece := after + 1; piece <= e.pieces; piece++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", piece, piece, id)
		if cutsShort && piece > after+1 {
			e.record.add("%s: %s breaks off within event %d", e.id, id, piece)
			_, _ = fmt.Fprintf(conn, "%x\r\n%s", len(event), event[:len(event)/2])
			return false
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			e.record.add("%s: %s was cancelled", e.id, id)
			return false
		}
		time.Sleep(e.pause)
	}
	_, err := conn.Write([]byte("0\r\n\r\n"))
	return err == nil
}

func (e *engine) report() []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"phase": "both", "models": e.held(), "pending": e.pending(), "busy": e.busy, "sequence": e.sequence,
		"queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 265792, "handles": 0,
	})
	return text(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, body)
}

type orderText struct {
	Operation     string `json:"operation"`
	Model         string `json:"model"`
	Adapter       string `json:"adapter"`
	ExpectedCount *int64 `json:"expectedCount"`
	Holder        string `json:"holder"`
	FencingToken  int64  `json:"fencingToken"`
}

func (e *engine) order(body []byte) []byte {
	var received orderText
	if json.Unmarshal(body, &received) != nil || received.Holder == "" || received.FencingToken == 0 {
		return text(http.StatusBadRequest, nil, nil)
	}
	status := e.apply(received)
	e.record.add("%s: order %s %s/%s of %s with token %d: %d", e.id, received.Operation, received.Model, received.Adapter, received.Holder, received.FencingToken, status)
	return text(status, nil, nil)
}

func (e *engine) apply(received orderText) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, hasModel := e.models[received.Model]
	switch {
	case e.busy, received.ExpectedCount != nil && *received.ExpectedCount != e.sequence:
		return http.StatusConflict
	case received.Operation == "unload" && received.Adapter != "":
		delete(adapters, received.Adapter)
		e.sequence++
		return http.StatusOK
	case received.Operation == "unload":
		delete(e.models, received.Model)
	case received.Adapter != "" && !hasModel:
		return http.StatusBadRequest
	case received.Adapter != "":
		if _, held := adapters[received.Adapter]; held {
			return http.StatusOK
		}
		adapters[received.Adapter] = time.Now().Add(e.adapterTime)
	case hasModel:
		return http.StatusOK
	default:
		e.busy = true
		time.AfterFunc(e.loadTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.busy = false
			e.models[received.Model] = make(map[string]time.Time)
		})
	}
	e.sequence++
	return http.StatusAccepted
}

// text is a whole answer.
func text(status int, header http.Header, body []byte) []byte {
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for name, values := range header {
		if values[0] != "" {
			fmt.Fprintf(&answer, "%s: %s\r\n", name, values[0])
		}
	}
	fmt.Fprintf(&answer, "Content-Length: %d\r\n\r\n", len(body))
	answer.Write(body)
	return answer.Bytes()
}
