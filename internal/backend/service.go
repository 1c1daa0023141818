package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	serviceDialTimeout     = 500 * time.Millisecond
	serviceIdleConnections = 16
	// maxServiceAnswerBytes bounds a service's answer.
	maxServiceAnswerBytes = 4 << 20
)

// HeaderIdempotencyKey carries the caller's key.
const HeaderIdempotencyKey = "Idempotency-Key"

// ServiceCall is one attempt of a plain call.
type ServiceCall struct {
	RequestID fleet.RequestID
	Attempt   int
	Method    string
	// Target is the path with its query.
	Target      string
	ContentType string
	Accept      string
	Key         string
	Body        []byte
	// Repeatable calls may use a connection again, on which net/http may send
	// a request twice.
	Repeatable bool
	// MayStart is asked before the first byte leaves a connection of its own;
	// nil always allows it.
	MayStart func() bool
}

// ServiceAnswer is the whole answer of a plain call.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Location    string
	RetryAfter  string
	Body        []byte
	// NotRun is the back end's own word that nothing ran.
	NotRun bool
	// Hint is what the back end told of its own future.
	Hint inventory.Hint
}

// Services sends plain calls. A call that is not repeatable goes over a
// connection of its own: net/http sends a request again only on a connection
// that carried another before it, and does so also for a POST when the request
// has an Idempotency-Key or when it believes that nothing was written.
type Services struct {
	zone   fleet.Zone
	pooled *http.Transport
	fresh  *http.Transport
}

// NewServices returns a client for the service back ends of the fleet.
func NewServices(zone fleet.Zone) *Services {
	return &Services{
		zone: zone,
		pooled: &http.Transport{
			DialContext:         dialRecorded,
			MaxIdleConnsPerHost: serviceIdleConnections,
			IdleConnTimeout:     engineIdleTimeout,
			DisableCompression:  true,
		},
		fresh: &http.Transport{
			DialContext:        dialRecorded,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// Close ends the idle connections.
func (s *Services) Close() {
	s.pooled.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}

// Call sends the call once and reads the whole answer. It does not follow
// redirects. The error is a *SendError.
func (s *Services) Call(ctx context.Context, address string, call ServiceCall) (*ServiceAnswer, error) {
	var used atomic.Pointer[recordedConn]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connection, _ := info.Conn.(*recordedConn)
		if connection != nil {
			connection.mayStart = call.MayStart
		}
		used.Store(connection)
	}})
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return nil, &SendError{NeverSent: true, Err: err}
	}
	transport := s.fresh
	if call.Repeatable {
		transport = s.pooled
	}
	s.setHeader(request.Header, call)
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, &SendError{NeverSent: used.Load().seal(), Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxServiceAnswerBytes+1))
	if err != nil {
		return nil, &SendError{Err: err}
	}
	if len(body) > maxServiceAnswerBytes {
		return nil, &SendError{Err: &ProtocolError{Detail: "the answer is too long"}}
	}
	answer := &ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Location:    response.Header.Get("Location"),
		RetryAfter:  response.Header.Get("Retry-After"),
		Body:        body,
		NotRun:      response.Header.Get(HeaderNotRun) == "true",
		Hint:        readHint(response),
	}
	answer.Hint.Draining = answer.Hint.Draining || answer.NotRun && isLeavingProblem(body)
	return answer, nil
}

func (s *Services) setHeader(header http.Header, call ServiceCall) {
	header.Set(HeaderRequestID, string(call.RequestID))
	header.Set(HeaderAttempt, strconv.Itoa(call.Attempt))
	header.Set(HeaderZone, string(s.zone))
	setIfAny(header, "Content-Type", call.ContentType)
	setIfAny(header, "Accept", call.Accept)
	setIfAny(header, HeaderIdempotencyKey, call.Key)
}

func setIfAny(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// dialRecorded dials a connection that remembers whether it was written to.
func dialRecorded(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: serviceDialTimeout}
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &recordedConn{Conn: connection}, nil
}

// The states of a recordedConn.
const (
	connFresh int32 = iota
	connWritten
	connSealed
)

var (
	errSealed  = errors.New("the call was given up before it was sent")
	errTooLate = errors.New("the call may not be sent any more")
)

// recordedConn remembers whether a write was begun. It hides the connection's
// ReadFrom, so that every byte passes Write.
type recordedConn struct {
	net.Conn
	state atomic.Int32
	// mayStart is set before net/http begins to write.
	mayStart func() bool
}

// Write implements io.Writer.
func (c *recordedConn) Write(data []byte) (int, error) {
	if c.state.Load() == connFresh && c.mayStart != nil && !c.mayStart() {
		c.state.CompareAndSwap(connFresh, connSealed)
		return 0, errTooLate
	}
	c.state.CompareAndSwap(connFresh, connWritten)
	if c.state.Load() == connSealed {
		return 0, errSealed
	}
	return c.Conn.Write(data)
}

// seal reports whether no byte has left, and sees to it that none will: a
// write that net/http is about to begin fails. A call that got no connection
// has written nothing.
func (c *recordedConn) seal() bool {
	return c == nil || c.state.CompareAndSwap(connFresh, connSealed) || c.state.Load() == connSealed
}

// RetryAfterDuration is the back end's Retry-After, or 0.
func (a *ServiceAnswer) RetryAfterDuration() time.Duration {
	return parseRetryAfter(a.RetryAfter)
}
