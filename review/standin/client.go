package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call is a client attempt.
type call struct {
	id, path, model string
	deadline        time.Duration
	// resumes is the attempt that brought the first event of the stream to be taken up, and lastEvent
	// the last event that the client has; empty for a new stream.
	resumes, lastEvent string
}

// reply is what the client got. isWhole is set where the answer came to its end.
type reply struct {
	status  int
	body    string
	events  int
	isWhole bool
	err     error
}

func (r reply) String() string {
	if r.err != nil && r.status == 0 {
		return r.err.Error()
	}
	return fmt.Sprintf("%d, %d events, whole: %v", r.status, r.events, r.isWhole)
}

const (
	hostName   = "host.example"
	promptText = "a household's order history"
)

// send sends the attempt on a connection of its own.
func (n *node) send(c call) reply {
	n.world.record.add("client: sends %s (%s %s) to %s", c.id, c.path, c.model, n.name)
	got := n.receiveReply(c)
	n.world.record.add("client: %s got %s", c.id, got)
	return got
}

func (n *node) receiveReply(c call) reply {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, n.world.ports.frontend, c.path), strings.NewReader(promptText+" "+c.id))
	if err != nil {
		return reply{err: err}
	}
	request.Host, request.Close = hostName, true
	request.Header.Set("Request-Id", c.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.model != "" {
		request.Header.Set("Model", c.model)
		request.Header.Set("Token-Count", "120,20")
		request.Header.Set("Prefix-Hash", "5c1e07a2:60,"+c.id+":60")
	}
	if c.resumes != "" {
		request.Header.Set("Resumes", c.resumes)
		request.Header.Set("Last-Event-Id", c.lastEvent)
	}
	return receive(request)
}

func receive(request *http.Request) reply {
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(body), events: bytes.Count(body, []byte("\n\n")), isWhole: err == nil, err: err}
}

// isPromise reports whether the status says that the request has not run and never will.
func isPromise(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}
