package backendconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
)

// Request is one request as it goes to a server.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set where the caller sent a body, though it may be empty.
	HasBody bool
	// Deadline ends the exchange, by package clock; zero is without an end.
	Deadline time.Time
	// Matches reports whether the answer belongs to this request.
	Matches func(http.Header) bool
	// OnResponse is told the head of each answer that comes on the connection, also of one that
	// belongs to an earlier request; nil is nobody.
	OnResponse func(status int, header http.Header)
}

// steadyDeadline is the deadline by the clock that connections go by.
func (r Request) steadyDeadline() time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(clock.Until(r.Deadline))
}

// Response is a server's answer. Its body must be read to the end or Close be
// called.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	body          io.Reader
	conn          *Conn
	exchange      *exchange
	keep          bool
	ended         bool
}

// inlineBytes is the size up to which a request is written before its answer is
// read. Longer ones are written meanwhile, since a server may answer early.
const inlineBytes = 4096

// maxSurplus is the number of surplus answers passed over on a connection.
const maxSurplus = 4

// maxSurplusBytes bounds what is read of a surplus answer.
const maxSurplusBytes = 1 << 20

type exchange struct {
	conn    *Conn
	stop    func() bool
	written chan struct{}
	failure error
	once    sync.Once
}

// RoundTrip sends the request and returns the head of its answer. When ctx
// ends, the connection is reset, which cancels the request at the server.
func (c *Conn) RoundTrip(ctx context.Context, request Request) (*Response, error) {
	running := &exchange{conn: c, written: make(chan struct{})}
	_ = c.SetDeadline(request.steadyDeadline())
	running.stop = context.AfterFunc(ctx, c.reset)
	if err := ctx.Err(); err != nil {
		running.abort()
		return nil, ErrNotSent.Wrap(err, "cancelled")
	}
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c.Conn)
	running.write(request)
	answer, err := running.read(request)
	if err != nil {
		running.abort()
		return nil, err
	}
	return answer, nil
}

func (x *exchange) write(request Request) {
	head := request.head()
	if len(head)+len(request.Body) <= inlineBytes {
		_, x.failure = x.conn.Write(append(head, request.Body...))
		close(x.written)
		return
	}
	go func() {
		defer close(x.written)
		if _, x.failure = x.conn.Write(head); x.failure == nil {
			_, x.failure = x.conn.Write(request.Body)
		}
	}()
}

func (r Request) head() []byte {
	var head bytes.Buffer
	head.Grow(512)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&head)
	if r.HasBody || len(r.Body) > 0 {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

func (x *exchange) read(request Request) (*Response, error) {
	method := &http.Request{Method: request.Method}
	for range maxSurplus {
		response, err := http.ReadResponse(x.conn.reader, method)
		if err != nil {
			return nil, ErrMaybeSent.Wrap(err, "read the answer")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.OnResponse != nil {
			request.OnResponse(response.StatusCode, response.Header)
		}
		if request.Matches == nil || request.Matches(response.Header) {
			return x.answer(response), nil
		}
		if err := passOver(response); err != nil {
			return nil, err
		}
	}
	return nil, ErrMaybeSent.New("too many surplus answers")
}

func (x *exchange) answer(response *http.Response) *Response {
	return &Response{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		body:          response.Body,
		conn:          x.conn,
		exchange:      x,
		keep:          !response.Close,
	}
}

// passOver reads an answer that belongs to another request.
func passOver(response *http.Response) error {
	if response.Close || response.ContentLength > maxSurplusBytes {
		return ErrMaybeSent.New("an answer of another request that ends the connection")
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxSurplusBytes)); err != nil {
		return ErrMaybeSent.Wrap(err, "read a surplus answer")
	}
	return nil
}

// Read reads the body. At its end the connection is kept where it can be.
func (a *Response) Read(into []byte) (int, error) {
	if a.ended {
		return 0, io.EOF
	}
	count, err := a.body.Read(into)
	switch {
	case errors.Is(err, io.EOF):
		a.finish()
	case err != nil:
		a.Close()
	}
	return count, err
}

// finish keeps the connection if nothing of this exchange is left on it.
func (a *Response) finish() {
	if a.ended {
		return
	}
	a.ended = true
	if !a.exchange.stop() {
		a.exchange.abort()
		return
	}
	clean := a.keep && a.exchange.isWritten() && a.conn.reader.Buffered() == 0
	if !clean {
		a.exchange.abort()
		return
	}
	_ = a.conn.SetDeadline(time.Time{})
	a.conn.release(a.Header)
}

// Close ends the exchange. A body that was not read to its end takes the
// connection with it, which cancels the request at the server.
func (a *Response) Close() {
	if !a.ended {
		a.ended = true
		a.exchange.abort()
	}
}

func (x *exchange) isWritten() bool {
	select {
	case <-x.written:
		return x.failure == nil
	default:
		return false
	}
}

// abort gives the exchange up.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.conn.reset()
		if x.conn.reader != nil {
			<-x.written
			x.conn.putReader()
		}
	})
}
