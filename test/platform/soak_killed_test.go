package platform

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	killedServerKind = "servers-killed"
	// simpleCallersPerNode is the number of callers of HTTP/1.0 at each node in runs that draw this kind.
	simpleCallersPerNode = 2
)

// killKind is servers that are killed while they answer without a length: their kernels end the answers in order.
// Runs that draw it have callers of HTTP/1.0 among the callers.
func killKind() kind {
	return kind{killedServerKind, 2, func(s *soak, d drawnFault) {
		if s.options.hasProxies {
			s.killServer(d)
		}
	}}
}

// killServer ends a server and its connections, as a kernel does of a process that is killed. Another one comes in
// its place.
func (s *soak) killServer(drawn drawnFault) {
	staying := s.activeServers()
	m := staying[drawn.server%len(staying)]
	s.mu.Lock()
	s.drainedAt[m.id] = time.Now()
	s.crashed[m.id] = true
	s.mu.Unlock()
	s.disturb(serverScope, "", m.id+" is killed", entryRemovalDelay)
	m.proxy.end()
	s.runAfter(replaceDelay, func() { s.addServer(m.service, 0) })
	s.runAfter(entryRemovalDelay, func() { s.store.remove("servers", m.id) })
}

// startSimpleCallers starts callers of HTTP/1.0, to whom an answer without a length ends with its connection.
func (s *soak) startSimpleCallers() {
	if !s.options.draws(killedServerKind) {
		return
	}
	for i, c := range s.controls {
		for j := range simpleCallersPerNode {
			s.startCaller(func() { s.sendSimply(c.node, uint64(i*simpleCallersPerNode+j)) })
		}
	}
}

// sendSimply sends requests by HTTP/1.0, each on a connection of its own.
func (s *soak) sendSimply(n *node, number uint64) {
	random := rand.New(rand.NewPCG(s.options.seed, 0x51f7+number))
	for sent := 0; !s.isStopping(); sent++ {
		r := s.drawRequest(n, fmt.Sprintf("o%d-%d", number, sent), random)
		s.recordOutcome(n, r, func(n *node) outcome { return sendOnSimpleConn(n, r) })
		time.Sleep(time.Duration(random.Float64() * float64(keptPause)))
	}
}

func sendOnSimpleConn(n *node, r soakRequest) outcome {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, n.fleet.ports[1]), dialTimeout)
	if err != nil {
		return r.outcome(0, nil, err)
	}
	defer conn.Close()
	return keptConn{Conn: simpleConn{conn}, reader: bufio.NewReader(conn)}.exchange(n, r)
}

// simpleConn makes requests ones of HTTP/1.0.
type simpleConn struct{ net.Conn }

func (c simpleConn) Write(text []byte) (int, error) {
	if _, err := c.Conn.Write([]byte(strings.Replace(string(text), " HTTP/1.1\r\n", " HTTP/1.0\r\n", 1))); err != nil {
		return 0, err
	}
	return len(text), nil
}
