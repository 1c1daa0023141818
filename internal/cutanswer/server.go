package cutanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// Ending is how a connection ends.
type Ending string

const (
	// Closed: in order, as the kernel closes the connections of a process that was killed.
	Closed Ending = "closed"
	// Reset: by a reset, once everything was sent.
	Reset Ending = "reset"
)

// DialTimeout is longer than any connection on loopback takes on a busy machine.
const DialTimeout = 10 * time.Second

// Endings are all of them.
var Endings = []Ending{Closed, Reset}

// Server answers requests with set texts.
type Server struct {
	// Address is the server's HOST:PORT.
	Address  string
	requests atomic.Int64

	mu     sync.Mutex
	before []string
	text   string
	ending Ending
}

// NewServer starts a server, which is closed with the test.
func NewServer(t testing.TB) *Server {
	t.Helper()
	s := &Server{}
	s.Address = listen(t, s.serve)
	return s
}

// Answer sets the texts with which the next requests are answered, one each, and the one for all requests after
// those, which ends its connection.
func (s *Server) Answer(last string, ending Ending, before ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before, s.text, s.ending = before, last, ending
}

// Requests returns how many requests came.
func (s *Server) Requests() int64 { return s.requests.Load() }

func (s *Server) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.requests.Add(1)
		text, ending, isLast := s.next()
		_, _ = io.WriteString(conn, text)
		if !isLast {
			continue
		}
		if ending == Reset {
			_ = conn.SetLinger(0)
		}
		return
	}
}

func (s *Server) next() (text string, ending Ending, isLast bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.before) > 0 {
		text, s.before = s.before[0], s.before[1:]
		return text, "", false
	}
	return s.text, s.ending, true
}
