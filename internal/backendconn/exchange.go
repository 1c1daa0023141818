package backendconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/delivery"
)

// Request is one request as it is sent to a server.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool
	// Deadline ends the exchange, on the clock of package clock; zero means no deadline.
	Deadline time.Time
	// PartialTimeout ends the exchange if a head that has begun, or a response that is passed over, takes
	// longer; zero means no such limit.
	PartialTimeout time.Duration
	// Matches reports whether a response with these headers belongs to this request; nil accepts
	// any.
	Matches func(http.Header) bool
	// OnResponse is called with the status and headers of each response on the connection,
	// including those to earlier requests; it may be nil.
	OnResponse func(status int, header http.Header)
}

// connDeadline converts Deadline to the clock that connections use.
func (r Request) connDeadline() time.Time {
	if r.Deadline.IsZero() {
		return time.Time{}
	}
	return time.Now().Add(clock.Until(r.Deadline))
}

// Response is a server's response. Call Close once it is no longer needed.
type Response struct {
	Status        int
	Header        http.Header
	ContentLength int64
	// Framing says how the end of the body is told.
	Framing   Framing
	message   *http.Response
	conn      *Conn
	exchange  *exchange
	keepAlive bool
	done      bool
	// endedAt is when a body that is framed by its connection ended; zero before.
	endedAt time.Time
}

// Framing is a way to tell the end of a response's body (RFC 9112, section 6.3).
type Framing string

const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with its connection. What the kernel of a server that was
	// killed sends looks the same.
	FramedByClose Framing = "close"
)

// framingOf returns how the end of a response's body is told. One without a body counts as FramedByLength.
func framingOf(response *http.Response) Framing {
	switch {
	case slices.Contains(response.TransferEncoding, "chunked"):
		return FramedByChunks
	case response.ContentLength < 0 && response.Body != http.NoBody:
		return FramedByClose
	default:
		return FramedByLength
	}
}

// maxInlineBytes is the size up to which a request is written before its response is read. Longer
// requests are written concurrently, because a server may respond early.
const maxInlineBytes = 4096

// maxStaleResponses is how many responses are read on a connection to find the one to the request.
const maxStaleResponses = 4

// maxStaleBytes limits how much of a stale response is read.
const maxStaleBytes = 1 << 20

type exchange struct {
	conn     *Conn
	deadline time.Time
	stop     func() bool
	written  chan struct{}
	writeErr error
	once     sync.Once
}

// RoundTrip sends the request and returns its response once the headers are read. If ctx ends, the
// connection is reset, which cancels the request at the server.
func (c *Conn) RoundTrip(ctx context.Context, request Request) (*Response, error) {
	deadline := request.connDeadline()
	x := &exchange{conn: c, deadline: deadline, written: make(chan struct{})}
	_ = c.SetDeadline(deadline)
	x.stop = context.AfterFunc(ctx, c.reset)
	if err := ctx.Err(); err != nil {
		x.abort()
		return nil, ErrNotSent.Wrap(err, "request cancelled before it was sent")
	}
	c.reader = readers.Get().(*bufio.Reader)
	c.source = responseSource{conn: c, deadline: deadline, partialTimeout: request.PartialTimeout}
	c.head = bounded.HeadReader{Source: &c.source}
	c.reader.Reset(&c.head)
	x.write(request)
	response, err := x.read(request)
	if err != nil {
		x.abort()
		return nil, err
	}
	return response, nil
}

func (x *exchange) write(request Request) {
	head, body := request.head(), request.Body
	if len(head)+len(body) <= maxInlineBytes {
		_, x.writeErr = x.conn.Write(append(head, body...))
		close(x.written)
		return
	}
	go func() {
		defer close(x.written)
		if _, x.writeErr = x.conn.Write(head); x.writeErr == nil {
			_, x.writeErr = x.conn.Write(body)
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
	for range maxStaleResponses {
		x.conn.head.Begin(int(x.conn.pool.maxHeadBytes.Load()))
		response, err := http.ReadResponse(x.conn.reader, method)
		switch {
		case errorx.IsOfType(err, bounded.ErrTooLong):
			return nil, ErrTooLong.Wrap(err, "read response")
		case err != nil:
			return nil, ErrMaybeSent.Wrap(err, "read response")
		}
		x.conn.head.End()
		if err := bounded.CheckHead(response); err != nil {
			return nil, ErrMaybeSent.Wrap(err, "read response")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if request.OnResponse != nil {
			request.OnResponse(response.StatusCode, response.Header)
		}
		if request.Matches == nil || request.Matches(response.Header) {
			x.conn.source.endPartial()
			return x.newResponse(response), nil
		}
		x.conn.pool.staleResponses.Add(1)
		x.conn.source.beginPartial()
		if err := discardStale(response); err != nil {
			return nil, err
		}
	}
	return nil, ErrMaybeSent.New("too many stale responses")
}

func (x *exchange) newResponse(response *http.Response) *Response {
	return &Response{
		Status:        response.StatusCode,
		Header:        response.Header,
		ContentLength: response.ContentLength,
		Framing:       framingOf(response),
		message:       response,
		conn:          x.conn,
		exchange:      x,
		keepAlive:     !response.Close,
	}
}

// responseSource reads the responses of one exchange, and limits the time that a part of one may take.
type responseSource struct {
	conn           *Conn
	deadline       time.Time
	partialTimeout time.Duration
	isLimited      bool
}

// Read implements io.Reader.
func (s *responseSource) Read(into []byte) (int, error) {
	if s.conn.head.IsPartial() {
		s.beginPartial()
	}
	return s.conn.Conn.Read(into)
}

// beginPartial limits the time until endPartial, unless it is limited already.
func (s *responseSource) beginPartial() {
	if s.partialTimeout <= 0 || s.isLimited {
		return
	}
	s.isLimited = true
	limit := time.Now().Add(s.partialTimeout)
	if s.deadline.IsZero() || limit.Before(s.deadline) {
		_ = s.conn.SetReadDeadline(limit)
	}
}

// endPartial lifts the limit of beginPartial.
func (s *responseSource) endPartial() {
	if s.isLimited {
		s.isLimited = false
		_ = s.conn.SetReadDeadline(s.deadline)
	}
}

// discardStale reads a response that belongs to another request.
func discardStale(response *http.Response) error {
	if response.Close || response.ContentLength > maxStaleBytes {
		return ErrMaybeSent.New("stale response to another request ends the connection")
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStaleBytes)); err != nil {
		return ErrMaybeSent.Wrap(err, "read stale response")
	}
	return nil
}

// Read reads the body. At its end the connection is kept for reuse if possible. A body that is framed by its
// connection ends once the server has the whole request.
func (r *Response) Read(into []byte) (int, error) {
	if r.done || !r.endedAt.IsZero() {
		return 0, io.EOF
	}
	count, err := r.message.Body.Read(into)
	if errors.Is(err, io.EOF) {
		err = r.end()
	}
	if err != nil && !errors.Is(err, io.EOF) {
		r.Close()
	}
	return count, err
}

// end returns io.EOF if the body is whole as far as can be told now.
func (r *Response) end() error {
	if err := bounded.CheckFields(r.message.Trailer); err != nil {
		return ErrMaybeSent.Wrap(err, "read trailer")
	}
	if r.Framing != FramedByClose {
		r.finish()
		return io.EOF
	}
	if err := r.exchange.awaitDelivery(); err != nil {
		return ErrMaybeSent.Wrap(err, "the response ended before its request was delivered")
	}
	r.endedAt = time.Now()
	return io.EOF
}

// awaitDelivery returns once the server's kernel has the whole request. Reads cannot tell whether the
// connection was reset while the request was written.
func (x *exchange) awaitDelivery() error {
	<-x.written
	if x.writeErr != nil {
		return x.writeErr
	}
	return delivery.Await(x.conn.Conn, x.deadline)
}

// ConfirmEnd reports whether no reset followed the end of a body that is framed by its connection, within the
// time that the kernel takes to close the sockets of a process. It must be called before Close, and returns at
// once for other framings.
func (r *Response) ConfirmEnd(ctx context.Context) bool {
	if r.Framing != FramedByClose {
		return true
	}
	timer := time.NewTimer(time.Until(r.endedAt.Add(closeTime)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return !delivery.IsBroken(r.conn.Conn)
}

// finish keeps the connection if nothing of this exchange is left on it.
func (r *Response) finish() {
	if r.done {
		return
	}
	r.done = true
	if !r.exchange.stop() {
		r.exchange.abort()
		return
	}
	clean := r.keepAlive && r.exchange.isWritten() && r.conn.reader.Buffered() == 0
	if !clean {
		r.exchange.abort()
		return
	}
	_ = r.conn.SetDeadline(time.Time{})
	r.conn.release(r.Header)
}

const (
	// maxDrainBytes and maxDrainTime limit what is read of a body that nobody needs, so that its connection
	// can be used again.
	maxDrainBytes = 16 << 10
	maxDrainTime  = 20 * time.Millisecond
)

// Drain ends the exchange as Close does, unless the rest of the body is short and there: then the connection
// is kept.
func (r *Response) Drain() {
	if !r.done {
		_ = r.conn.SetReadDeadline(time.Now().Add(maxDrainTime))
		_, _ = io.Copy(io.Discard, io.LimitReader(r, maxDrainBytes))
	}
	r.Close()
}

// Close ends the exchange. If the body was not read to its end, the connection is closed, which
// cancels the request at the server.
func (r *Response) Close() {
	if !r.done {
		r.done = true
		r.exchange.abort()
	}
}

func (x *exchange) isWritten() bool {
	select {
	case <-x.written:
		return x.writeErr == nil
	default:
		return false
	}
}

// abort resets the connection and releases its reader.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.conn.reset()
		if x.conn.reader != nil {
			<-x.written
			x.conn.releaseReader()
		}
	})
}
