package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// brittleServer stands in for a plain server that says that it is brittle: once it has turned more than
// it announced away in a second, for want of room, it falls over. Its connections are reset then.
type brittleServer struct {
	id       string
	store    *store
	record   *record
	address  string
	workTime time.Duration
	slots    int
	queue    int
	// announced is the number that it names; 0 while it is not brittle.
	announced int
	downTime  time.Duration

	mu         sync.Mutex
	awake      *sync.Cond
	isSilent   bool
	running    int
	waiting    int
	room       *sync.Cond
	rejections []time.Time
	downUntil  time.Time
	conns      map[net.Conn]bool
	falls      int
	served     int
	start      int
}

func (w *world) startBrittle(b *brittleServer) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.store, b.record, b.address, b.conns = w.store, w.record, listener.Addr().String(), make(map[net.Conn]bool)
	b.awake, b.room = sync.NewCond(&b.mu), sync.NewCond(&b.mu)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	b.beat()
	go func() {
		for range time.Tick(beatPeriod) {
			b.beat()
		}
	}()
	return nil
}

func (b *brittleServer) beat() {
	b.mu.Lock()
	isOut := b.isSilent || time.Now().Before(b.downUntil)
	b.mu.Unlock()
	if isOut {
		return
	}
	b.store.put("servers", b.id, map[string]any{
		"service": "orders", "address": b.address, "zone": "oslo-a", "version": "v1", "slots": b.slots, "state": "ready", "coldLeftMs": 0, "sequence": time.Now().UnixMilli(),
	})
}

func (b *brittleServer) serve(conn net.Conn) {
	defer conn.Close()
	b.mu.Lock()
	if time.Now().Before(b.downUntil) {
		b.mu.Unlock()
		reset(conn)
		return
	}
	b.conns[conn] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		answer, ok := b.handle(conn, request)
		if !ok {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// handle runs or rejects one request. A request whose connection was closed while the server was silent
// is dropped.
func (b *brittleServer) handle(conn net.Conn, request *http.Request) (answer []byte, ok bool) {
	id := request.Header.Get("Request-Id")
	header := http.Header{"Request-Id": {id}, "Instance-Id": {b.id}}
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.isSilent {
		b.awake.Wait()
	}
	if b.announced > 0 {
		header.Set("Server-Brittle", strconv.Itoa(b.announced))
	}
	if isClosed(conn) || time.Now().Before(b.downUntil) {
		return nil, false
	}
	if b.running >= b.slots && b.waiting >= b.queue {
		if b.reject(id) {
			return nil, false
		}
		header.Set("Not-Executed", "1")
		header.Set("Instance-Load", fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots))
		return text(http.StatusServiceUnavailable, header, nil), true
	}
	start := b.start
	b.waiting++
	for b.running >= b.slots && b.start == start {
		b.room.Wait()
	}
	b.waiting--
	if b.start != start {
		return nil, false
	}
	b.running++
	b.mu.Unlock()
	time.Sleep(b.workTime)
	b.mu.Lock()
	if b.start != start {
		return nil, false
	}
	b.running--
	b.room.Signal()
	b.served++
	header.Set("Server-Stamp", b.id+"."+id)
	header.Set("Instance-Load", fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots))
	return text(http.StatusOK, header, []byte("done: "+id)), true
}

// reject counts a rejection, and reports whether the server falls over under it. b.mu is held.
func (b *brittleServer) reject(id string) (falls bool) {
	now := time.Now()
	kept := b.rejections[:0]
	for _, at := range b.rejections {
		if now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	b.rejections = append(kept, now)
	if b.announced == 0 || len(b.rejections) <= b.announced {
		b.record.add("%s: turns %s away, %d in this second", b.id, id, len(b.rejections))
		return false
	}
	b.record.add("%s: FALLS OVER, %d turned away in a second, %d running and %d waiting are lost", b.id, len(b.rejections), b.running, b.waiting)
	b.falls++
	b.start++
	b.rejections, b.running, b.waiting, b.downUntil = nil, 0, 0, now.Add(b.downTime)
	b.room.Broadcast()
	for conn := range b.conns {
		reset(conn)
	}
	return true
}

// fallSilent lets the server answer nothing for a time and then go on. Its connections stay, and new ones
// come up.
func (b *brittleServer) fallSilent(length time.Duration) {
	b.mu.Lock()
	b.isSilent = true
	b.mu.Unlock()
	b.record.add("%s: silent", b.id)
	time.Sleep(length)
	b.record.add("%s: goes on", b.id)
	b.mu.Lock()
	b.isSilent = false
	b.awake.Broadcast()
	b.mu.Unlock()
}

func (b *brittleServer) counts() (falls, served int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.falls, b.served
}

// isClosed reports whether the other side closed or reset the connection.
func isClosed(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	closed := true
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, receiveErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = !errors.Is(receiveErr, syscall.EAGAIN)
	})
	return err != nil || closed
}

const (
	brittleServers = 3
	// allowedFalls is what the rule bears: 2 and a tenth of the servers.
	allowedFalls = 2 + brittleServers/10.0
	// contactTime is contactMs of the settings: from then on the rule counts.
	contactTime = 3 * time.Second
	silenceTime = time.Second
	silences    = 6
	// silencePause lets a server that fell over come back before the next silence.
	silencePause = 4 * time.Second
)

// playSilentBrittle puts callers on a service whose servers are brittle. The trouble: sound servers fall
// silent for a second, one after the other, and go on.
func playSilentBrittle(w *world) (broken bool, err error) {
	var servers []*brittleServer
	for i := range brittleServers {
		b := &brittleServer{id: fmt.Sprintf("i-order%d", i+1), workTime: 30 * time.Millisecond, slots: 6, queue: 1, announced: w.options.announced, downTime: 2 * time.Second}
		if err := w.startBrittle(b); err != nil {
			return false, err
		}
		servers = append(servers, b)
	}
	w.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "lookup", "host": hostName, "pathPrefix": "/lookup/", "type": "unsafe", "service": "orders", "goalMs": 150, "timeoutMs": 800, "maxAttempts": 1, "priority": 2},
		},
		"services": []map[string]any{{"name": "orders", "healthPath": "/healthz", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err := w.startNodes(3); err != nil {
		return false, err
	}
	if err := w.awaitReady(); err != nil {
		return false, err
	}
	callers := w.startCallers(w.options.perSecond)
	time.Sleep(contactTime + 2*time.Second)
	fallsBefore := sumFalls(servers)
	w.record.add("the rule counts from now on; %d falls before", fallsBefore)
	for number := range silences {
		if w.trouble {
			servers[number%len(servers)].fallSilent(silenceTime)
		} else {
			time.Sleep(silenceTime)
		}
		time.Sleep(silencePause)
	}
	callers.stop()
	falls := sumFalls(servers) - fallsBefore
	w.record.add("%d falls of %d brittle servers, at most %.1f may be; clients: %s", falls, len(servers), allowedFalls, callers)
	return float64(falls) > allowedFalls, nil
}

func sumFalls(servers []*brittleServer) (sum int) {
	for _, b := range servers {
		falls, _ := b.counts()
		sum += falls
	}
	return sum
}

// callers send requests at a steady rate, spread over the nodes.
type callers struct {
	ended                   atomic.Bool
	group                   sync.WaitGroup
	served, refused, failed atomic.Int64
}

func (w *world) startCallers(perSecond float64) *callers {
	c := &callers{}
	interval := time.Duration(float64(time.Second) / perSecond)
	c.group.Go(func() {
		for number := 0; !c.ended.Load(); number++ {
			n := w.nodes[number%len(w.nodes)]
			c.group.Go(func() {
				c.count(n.sendQuietly(call{id: fmt.Sprintf("%016x", number), path: "/lookup/x", deadline: 1500 * time.Millisecond}))
			})
			time.Sleep(interval)
		}
	})
	return c
}

func (c *callers) count(got reply) {
	switch {
	case got.status == http.StatusOK && got.isWhole:
		c.served.Add(1)
	case isPromise(got.status):
		c.refused.Add(1)
	default:
		c.failed.Add(1)
	}
}

func (c *callers) stop() {
	c.ended.Store(true)
	c.group.Wait()
}

func (c *callers) String() string {
	return fmt.Sprintf("%d served, %d refused, %d failed", c.served.Load(), c.refused.Load(), c.failed.Load())
}
