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
	// onDisk are the models on its disk.
	onDisk []string
	// version is the version of the server's software.
	version string
	// breaksOff says of a run whether its stream breaks off; nil means never.
	breaksOff func(id, lastEvent string) bool
	// onOrder is called with each order that the server gets.
	onOrder func(received orderText)
	// surplusShare is the largest share of the server's answers to clients that it may send twice. It
	// repeats rejections: the second copy comes late, where the answer to the next request of the
	// connection is due.
	surplusShare float64

	mu       sync.Mutex
	models   map[string]map[string]time.Time
	sequence int64
	busy     bool
	runs     *runBook
	// born is the Unix millisecond of the present start; 0 where the server does not tell it.
	born int64
	// limit is the Server-Limit that all answers name; empty means none.
	limit string
	// answers and surplus count the answers to clients, and the second copies.
	answers, surplus int
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
	e.record, e.store, e.address = w.record, w.store, listener.Addr().String()
	e.models = make(map[string]map[string]time.Time)
	for _, model := range models {
		e.models[model] = make(map[string]time.Time)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn)
		}
	}()
	e.beat()
	go func() {
		for range time.Tick(beatPeriod) {
			e.beat()
		}
	}()
	return nil
}

// beatPeriod is the time between two writes of a server's entry.
const beatPeriod = 1200 * time.Millisecond

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// beat writes the server's entry.
func (e *engine) beat() {
	e.store.put("servers", e.id, e.entry())
}

// entry is what the server says of itself in the store.
func (e *engine) entry() map[string]any {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": 64, "state": "ready",
		"coldLeftMs": 0, "sequence": e.sequence, "phase": "both", "models": e.held(),
	}
	if e.born > 0 {
		entry["born"] = e.born
	}
	if len(e.onDisk) > 0 {
		entry["available"] = map[string]any{"inMemory": []string{}, "onDisk": e.onDisk}
	}
	return entry
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
		answer = e.withLimit(answer)
		if _, err := conn.Write(answer); err != nil || !keep {
			return
		}
		if request.Header.Get("Request-Id") != "" && e.maySendTwice(isRejection) {
			surplus = answer
		}
	}
}

// withLimit adds the server's limit to the head of an answer.
func (e *engine) withLimit(answer []byte) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limit == "" {
		return answer
	}
	return bytes.Replace(answer, []byte("\r\n"), []byte("\r\nServer-Limit: "+e.limit+"\r\n"), 1)
}

// setLimit has the server name a limit from now on.
func (e *engine) setLimit(limit string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limit = limit
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
		answer, ok := e.order(body)
		return answer, false, ok
	}
	model, adapter, _ := strings.Cut(request.Header.Get("Model"), "/")
	if !e.holds(model, adapter) {
		e.record.add("%s: %s rejected with 421, no %s", e.id, id, request.Header.Get("Model"))
		return text(http.StatusMisdirectedRequest, http.Header{"Request-Id": {id}}, nil), true, true
	}
	run := e.runs.begin(id, e.id)
	e.record.add("%s: %s runs, run %d", e.id, id, run)
	return nil, false, e.stream(conn, id, request.Header.Get("Last-Event-Id"))
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

// brokenEvent is the event of a run in which a stream that breaks off does so.
const brokenEvent = 3

// stream writes the events after the last one that the request names. It reports whether the connection
// is to be kept.
func (e *engine) stream(conn net.Conn, id, last string) bool {
	begin := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id)
	if _, err := conn.Write(e.withLimit([]byte(begin))); err != nil {
		return false
	}
	after, _ := strconv.Atoi(last)
	for piece := after + 1; piece <= e.pieces; piece++ {
		if piece == after+brokenEvent && e.breaksOff != nil && e.breaksOff(id, last) {
			e.record.add("%s: %s breaks off within event %d", e.id, id, piece)
			_, _ = fmt.Fprintf(conn, "30\r\nid: %d\nda", piece)
			reset(conn)
			return false
		}
		event := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", piece, piece, id)
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
	report := map[string]any{
		"phase": "both", "models": e.held(), "pending": e.pending(), "busy": e.busy, "sequence": e.sequence,
		"queued": 0, "active": 0, "kvUsed": 0, "kvTotal": 265792, "handles": 0,
	}
	if e.born > 0 {
		report["born"] = e.born
	}
	if len(e.onDisk) > 0 {
		report["available"] = map[string]any{"inMemory": []string{}, "onDisk": e.onDisk}
	}
	body, _ := json.Marshal(report)
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

// order takes an order. Where ok is false its answer is lost.
func (e *engine) order(body []byte) (answer []byte, ok bool) {
	var received orderText
	if json.Unmarshal(body, &received) != nil || received.Holder == "" || received.FencingToken == 0 {
		return text(http.StatusBadRequest, nil, nil), true
	}
	if e.onOrder != nil {
		e.onOrder(received)
	}
	status := e.apply(received)
	e.record.add("%s: order %s of %s with token %d: %d", e.id, received, received.Holder, received.FencingToken, status)
	return text(status, nil, nil), true
}

// String is the order without its sender.
func (o orderText) String() string {
	count := "any"
	if o.ExpectedCount != nil {
		count = strconv.FormatInt(*o.ExpectedCount, 10)
	}
	return fmt.Sprintf("%s %s/%s at count %s", o.Operation, o.Model, o.Adapter, count)
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
