package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/membudget"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Headers of the API between callers and nodes.
const (
	headerLabels   = "X-Spanlanding-Labels"
	headerDeadline = "X-Spanlanding-Deadline"
	headerCold     = "X-Spanlanding-Cold"
	headerAttempts = "X-Spanlanding-Attempts"
)

const maxRequestIDBytes = 64

// call is one caller's request at the gateway.
type call struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController
	ticket  uint64
	id      string
	// generatedID is set if the caller sent no valid request ID.
	generatedID bool
	arrived     time.Time
	// memory holds the body, and isBodyRead is set once that was read.
	memory     *membudget.Reservation
	isBodyRead bool
	// inProgress is the counter of concurrent requests that includes this call.
	inProgress *atomic.Int64
	// tenant is the authenticated tenant, nil if none is declared; quotaCost is what was
	// charged to its quota.
	tenant    *routetable.Tenant
	quotaCost float64
	record    requestRecord
	// aborted is set if no proper end can be written. The connection is then closed
	// without one, since net/http would otherwise terminate the response as if it
	// were complete.
	aborted bool
}

func (g *Gateway) newCall(writer http.ResponseWriter, request *http.Request) *call {
	created := &call{
		gateway: g,
		writer:  writer,
		request: request,
		control: http.NewResponseController(writer),
		ticket:  g.tickets.Add(1),
		id:      request.Header.Get(backend.HeaderRequestID),
		arrived: g.now(),
	}
	if !validRequestID(created.id) {
		created.id = fmt.Sprintf("%016x%08x", g.nextRandom(), uint32(created.ticket))
		created.generatedID = true
	}
	created.record.kind = "other"
	created.extendWrite()
	writer.Header().Set(backend.HeaderRequestID, created.id)
	return created
}

// validRequestID accepts letters, digits, "-", "_" and ".".
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	return strings.IndexFunc(id, func(char rune) bool {
		switch {
		case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
			return false
		}
		return char != '-' && char != '_' && char != '.'
	}) < 0
}

// fail responds with a problem document.
func (c *call) fail(failure failure) {
	c.record.outcome = failure.outcome
	c.record.code = failure.code
	c.record.status = failure.status
	if failure.code == attempt.CodeCallerGone {
		c.aborted = true
		return
	}
	c.extendWrite()
	if !c.isBodyRead {
		bounded.LeaveLongBody(c.writer, c.request)
	}
	failure.write(c.writer, c.id)
}

// writeWhole writes a response whose body is at hand. It names the length, by which each caller can tell it from a
// part of it.
func (c *call) writeWhole(status int, body []byte) {
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.extendWrite()
	c.writer.WriteHeader(status)
	if _, err := c.writer.Write(body); err != nil {
		c.record.detail = err.Error()
	}
}

// extendWrite moves the write deadline on for the next write.
func (c *call) extendWrite() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.gateway.limits.WriteTimeout))
}

// readBody reads the body within the limits on size and time.
func (c *call) readBody() ([]byte, *failure) {
	limits := c.gateway.limits
	announced := min(max(0, c.request.ContentLength), limits.MaxBodyBytes)
	if c.memory = c.gateway.memory.Reserve(c.tenantName(), announced); c.memory == nil {
		return nil, &problemMemoryFull
	}
	_ = c.control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	reader := io.Reader(http.MaxBytesReader(c.writer, c.request.Body, limits.MaxBodyBytes))
	if c.request.ContentLength < 0 {
		reader = c.memory.Reader(reader)
	}
	body, err := io.ReadAll(reader)
	switch {
	case errors.Is(err, membudget.ErrFull):
		return nil, &problemMemoryFull
	case err != nil:
		failure := bodyFailure(err, limits)
		return nil, &failure
	}
	_ = c.control.SetReadDeadline(time.Time{})
	c.isBodyRead = true
	return body, nil
}

// problemMemoryFull refuses a request whose body there is no memory for.
var problemMemoryFull = newRefusal(http.StatusServiceUnavailable, codeOverloaded, "this node holds too many bytes of requests").withRetryAfter(time.Second)

func bodyFailure(err error, limits Limits) failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, codeBodyTooLarge,
			fmt.Sprintf("the body has more than %d bytes", limits.MaxBodyBytes))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(http.StatusRequestTimeout, codeBodyTimeout,
			fmt.Sprintf("the body did not end within %s", limits.BodyTimeout))
	}
	return newRefusal(http.StatusBadRequest, codeMalformed, "the body cannot be read: "+err.Error())
}

// labels parses the labels header, "key=value,key=value".
func (c *call) labels() (map[string]string, *failure) {
	labels := make(map[string]string)
	header := c.request.Header.Get(headerLabels)
	if len(header) > c.gateway.limits.MaxLabelBytes {
		failure := newRefusal(http.StatusRequestHeaderFieldsTooLarge, codeMalformed, headerLabels+" is too long")
		return nil, &failure
	}
	if strings.TrimSpace(header) == "" {
		return labels, nil
	}
	for pair := range strings.SplitSeq(header, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || key == "" {
			failure := newRefusal(http.StatusBadRequest, codeMalformed,
				fmt.Sprintf("%s has %q where key=value is wanted", headerLabels, pair))
			return nil, &failure
		}
		labels[key] = value
	}
	return labels, nil
}

// responseMargin is subtracted from every deadline to leave time for sending the
// response, so that a refusal at the deadline is not late at the caller. For short
// deadlines it is a tenth of the deadline.
const (
	responseMargin        = 25 * time.Millisecond
	responseMarginDivisor = 10
)

func withResponseMargin(deadline time.Duration) time.Duration {
	return deadline - min(responseMargin, deadline/responseMarginDivisor)
}

// deadline returns the route's deadline, or the caller's if that is earlier. The
// caller gives a duration such as 1.5s, or a number of seconds.
func (c *call) deadline(routeDeadline, fallback time.Duration) (time.Time, *failure) {
	if routeDeadline <= 0 {
		routeDeadline = fallback
	}
	if header := c.request.Header.Get(headerDeadline); header != "" {
		requested, err := parseDeadline(header)
		if err != nil {
			failure := newRefusal(http.StatusBadRequest, codeMalformed,
				fmt.Sprintf("%s is %q where a duration such as 1.5s is wanted", headerDeadline, header))
			return time.Time{}, &failure
		}
		routeDeadline = min(routeDeadline, requested)
	}
	return c.arrived.Add(withResponseMargin(routeDeadline)), nil
}

// maxDeadline bounds a deadline given as a number of seconds.
const maxDeadline = 24 * time.Hour

func parseDeadline(text string) (time.Duration, error) {
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		if !(number > 0 && number <= maxDeadline.Seconds()) {
			return 0, strconv.ErrRange
		}
		return time.Duration(number * float64(time.Second)), nil
	}
	requested, err := time.ParseDuration(text)
	if err == nil && requested <= 0 {
		return 0, strconv.ErrRange
	}
	return requested, err
}

// admit counts the call, within the limit on concurrent requests.
func (c *call) admit(inProgress *atomic.Int64) *failure {
	c.inProgress = inProgress
	if inProgress.Add(1) <= int64(c.gateway.limits.MaxRequests) {
		return nil
	}
	refused := newRefusal(http.StatusServiceUnavailable, codeOverloaded, "this node has too many requests in progress").withRetryAfter(time.Second)
	return &refused
}

// finish releases what the call holds, then logs and counts it.
func (c *call) finish() {
	if c.memory != nil {
		c.memory.Release()
	}
	if c.inProgress != nil {
		c.inProgress.Add(-1)
	}
	c.refundQuota()
	c.report()
}
