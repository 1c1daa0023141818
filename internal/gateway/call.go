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
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// Headers between callers and nodes.
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
	// ownID is set where the caller gave no identity.
	ownID   bool
	arrived time.Time
	held    int64
	// counter is the count of requests at a time that the call is part of.
	counter *atomic.Int64
	// tenant is who asks, nil where none is declared; admitted is what was drawn from its
	// quota.
	tenant   *routetable.Tenant
	admitted float64
	record   record
	// aborted is set where no proper end can be written: the connection is
	// then broken off, since net/http would else end the answer as if it were
	// whole.
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
		created.ownID = true
	}
	created.record.kind = "other"
	created.extendWrite()
	writer.Header().Set(backend.HeaderRequestID, created.id)
	return created
}

// validRequestID takes letters, digits, "-", "_" and ".".
func validRequestID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	return strings.IndexFunc(id, func(letter rune) bool {
		switch {
		case letter >= 'a' && letter <= 'z', letter >= 'A' && letter <= 'Z', letter >= '0' && letter <= '9':
			return false
		}
		return letter != '-' && letter != '_' && letter != '.'
	}) < 0
}

// fail answers with a problem.
func (c *call) fail(failure failure) {
	c.record.outcome = failure.outcome
	c.record.code = failure.code
	c.record.status = failure.status
	if failure.code == attempt.CodeCallerGone {
		c.aborted = true
		return
	}
	c.extendWrite()
	failure.write(c.writer, c.id)
}

// extendWrite gives the next write its time.
func (c *call) extendWrite() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.gateway.limits.WriteTimeout))
}

// readBody reads the body within the bounds of bytes and time.
func (c *call) readBody() ([]byte, *failure) {
	limits := c.gateway.limits
	_ = c.control.SetReadDeadline(time.Now().Add(limits.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.writer, c.request.Body, limits.MaxBodyBytes))
	if err != nil {
		failure := bodyFailure(err, limits)
		return nil, &failure
	}
	_ = c.control.SetReadDeadline(time.Time{})
	c.held = int64(len(body))
	if c.gateway.bodyBytes.Add(c.held) > limits.MaxBodyBytesTotal {
		failure := refuse(http.StatusServiceUnavailable, codeOverloaded, "this node holds too many bytes of requests").after(time.Second)
		return nil, &failure
	}
	return body, nil
}

func bodyFailure(err error, limits Limits) failure {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return refuse(http.StatusRequestEntityTooLarge, codeBodyTooLarge,
			fmt.Sprintf("the body has more than %d bytes", limits.MaxBodyBytes))
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refuse(http.StatusRequestTimeout, codeBodyTimeout,
			fmt.Sprintf("the body did not end within %s", limits.BodyTimeout))
	}
	return refuse(http.StatusBadRequest, codeMalformed, "the body cannot be read: "+err.Error())
}

// labels reads the labels header, "key=value,key=value".
func (c *call) labels() (map[string]string, *failure) {
	labels := make(map[string]string)
	header := c.request.Header.Get(headerLabels)
	if len(header) > c.gateway.limits.MaxLabelBytes {
		failure := refuse(http.StatusRequestHeaderFieldsTooLarge, codeMalformed, headerLabels+" is too long")
		return nil, &failure
	}
	if strings.TrimSpace(header) == "" {
		return labels, nil
	}
	for pair := range strings.SplitSeq(header, ",") {
		key, value, found := strings.Cut(strings.TrimSpace(pair), "=")
		if !found || key == "" {
			failure := refuse(http.StatusBadRequest, codeMalformed,
				fmt.Sprintf("%s has %q where key=value is wanted", headerLabels, pair))
			return nil, &failure
		}
		labels[key] = value
	}
	return labels, nil
}

// answerMargin is kept of every deadline for the way of the answer, so that a
// refusal at the deadline is not late at the caller; of short deadlines a tenth.
const (
	answerMargin      = 25 * time.Millisecond
	answerMarginShare = 10
)

func withMargin(deadline time.Duration) time.Duration {
	return deadline - min(answerMargin, deadline/answerMarginShare)
}

// deadline is the route's, or the caller's where that is tighter. The caller
// gives a duration such as 1.5s, or seconds.
func (c *call) deadline(route, fallback time.Duration) (time.Time, *failure) {
	if route <= 0 {
		route = fallback
	}
	if header := c.request.Header.Get(headerDeadline); header != "" {
		wanted, err := parseDeadline(header)
		if err != nil {
			failure := refuse(http.StatusBadRequest, codeMalformed,
				fmt.Sprintf("%s is %q where a duration such as 1.5s is wanted", headerDeadline, header))
			return time.Time{}, &failure
		}
		route = min(route, wanted)
	}
	return c.arrived.Add(withMargin(route)), nil
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
	wanted, err := time.ParseDuration(text)
	if err == nil && wanted <= 0 {
		return 0, strconv.ErrRange
	}
	return wanted, err
}

// admit counts the call in, within the bound of requests at a time.
func (c *call) admit(running *atomic.Int64) *failure {
	c.counter = running
	if running.Add(1) <= int64(c.gateway.limits.MaxRequests) {
		return nil
	}
	refused := refuse(http.StatusServiceUnavailable, codeOverloaded, "this node has too many requests in progress").after(time.Second)
	return &refused
}

// finished releases what the call held, and logs and counts it.
func (c *call) finished() {
	c.gateway.bodyBytes.Add(-c.held)
	if c.counter != nil {
		c.counter.Add(-1)
	}
	c.giveBack()
	c.report()
}
