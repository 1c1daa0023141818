package cutanswer

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// UploadBytes is the size of a request's body that does not fit into the buffers of a connection whose server does not
// read.
const UploadBytes = 8 << 20

// EarlyEnding is how a connection ends on which a server answered before it read the request's body.
type EarlyEnding struct {
	Name string
	// IsWhole is set if the server reads the whole request, so that its answer is whole too.
	IsWhole bool
	end     func(conn *net.TCPConn, body io.Reader)
}

const (
	// pauseBeforeReset is the time between a server's answer, or the end of it, and a reset.
	pauseBeforeReset = 5 * time.Millisecond
	// partOfUpload is what a server reads of a body before it gives up.
	partOfUpload = 1 << 20
)

// EarlyEndings are all of them.
var EarlyEndings = []EarlyEnding{
	{Name: "reset at once", end: func(conn *net.TCPConn, _ io.Reader) { resetConn(conn) }},
	{Name: "reset later", end: func(conn *net.TCPConn, _ io.Reader) {
		time.Sleep(pauseBeforeReset)
		resetConn(conn)
	}},
	{Name: "closed with the body unread", end: func(conn *net.TCPConn, _ io.Reader) { _ = conn.Close() }},
	{Name: "ended, then reset", end: func(conn *net.TCPConn, _ io.Reader) {
		_ = conn.CloseWrite()
		time.Sleep(pauseBeforeReset)
		resetConn(conn)
	}},
	{Name: "ended, then closed within the body", end: func(conn *net.TCPConn, body io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.CopyN(io.Discard, body, partOfUpload)
		_ = conn.Close()
	}},
	{Name: "ended, then read to the end", IsWhole: true, end: func(conn *net.TCPConn, body io.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, body)
		_ = conn.Close()
	}},
	{Name: "read to the end, then closed", IsWhole: true, end: func(conn *net.TCPConn, body io.Reader) {
		_, _ = io.Copy(io.Discard, body)
		_ = conn.Close()
	}},
}

// EndingBy returns the ending that a function brings about, which ends the server's side of the connection and resets
// it.
func EndingBy(end func(closeWrite, reset func())) EarlyEnding {
	return EarlyEnding{Name: "by hand", end: func(conn *net.TCPConn, _ io.Reader) {
		end(func() { _ = conn.CloseWrite() }, func() { resetConn(conn) })
	}}
}

func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// EarlyServer answers requests once it has read their heads.
type EarlyServer struct {
	// Address is the server's HOST:PORT.
	Address string
	// Text is what it answers, and Ending how its connections end.
	Text   string
	Ending EarlyEnding
	// Requests counts the heads that were read, and WholeRequests the bodies that were read to their end.
	Requests, WholeRequests atomic.Int64
}

// NewEarlyServer starts a server, which is closed with the test.
func NewEarlyServer(t testing.TB, text string, ending EarlyEnding) *EarlyServer {
	t.Helper()
	s := &EarlyServer{Text: text, Ending: ending}
	s.Address = listen(t, s.serve)
	return s
}

func (s *EarlyServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.Requests.Add(1)
	_, _ = io.WriteString(conn, s.Text)
	body := &countingReader{Reader: request.Body}
	s.Ending.end(conn, body)
	if body.count == request.ContentLength {
		s.WholeRequests.Add(1)
	}
}

type countingReader struct {
	io.Reader
	count int64
}

// Read implements io.Reader.
func (r *countingReader) Read(into []byte) (int, error) {
	count, err := r.Reader.Read(into)
	r.count += int64(count)
	return count, err
}
