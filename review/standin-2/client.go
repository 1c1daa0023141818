package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// host is the host of all routes.
const host = "shop.example"

// transport opens a new connection for each attempt.
var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// newRequest is a client's attempt at a machine. Attempts of one request have the same content.
func newRequest(ctx context.Context, n *node, path, id, content string, deadline time.Duration, header map[string]string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.frontend()+path, strings.NewReader("body of "+content))
	if err != nil {
		fail("request: %v", err)
	}
	request.Host = host
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	return request
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// stream is one stream as its client reads it, over all its attempts.
type stream struct {
	name     string
	model    string
	deadline time.Time
	// route is the route's prefix without slashes; empty for that of resumable streams.
	route string
	// part is a part of its prompt beside the first and the last; empty for none.
	part string
	// attempts counts the client's attempts, and first is the ID of the one that brought the first event.
	attempts int
	first    string
	// last is the last event, and versions are the software versions whose events the client has, in order.
	last     int
	versions []string
	isWhole  bool
	// status is that of the last attempt; 0 without an answer.
	status int
}

// read makes one attempt at a machine, and goes on after the last event that the client has. It returns
// whether the attempt brought an event.
func (w *world) read(ctx context.Context, s *stream, n *node, events int) bool {
	s.attempts++
	id, began := fmt.Sprintf("%s-%d", s.name, s.attempts), false
	parts := "a1:60,"
	if s.part != "" {
		parts += s.part + ":20,"
	}
	header := map[string]string{"Model": s.model, "Token-Count": "100,80", "Prefix-Hash": parts + fmt.Sprintf("%x", s.name) + ":20"}
	if s.first != "" {
		header["Resumes"], header["Last-Event-Id"] = s.first, strconv.Itoa(s.last)
	}
	left := time.Until(s.deadline)
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	from := s.last
	w.record.add("client: stream %s, attempt %s to %s, after event %d, resumes %q", s.name, id, n.name, from, s.first)
	s.status = 0
	response, err := transport.RoundTrip(newRequest(ctx, n, "/"+cmp.Or(s.route, "chat")+"/"+n.name+"/", id, s.name, left, header))
	if err != nil {
		w.record.add("client: attempt %s: %v", id, err)
		return false
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(response.Body)
		w.record.add("client: attempt %s: %d, Retry-After %q, %s", id, response.StatusCode, response.Header.Get("Retry-After"), strings.TrimSpace(string(text)))
		return false
	}
	lines, event := bufio.NewScanner(response.Body), 0
	for lines.Scan() {
		text := lines.Text()
		if value, ok := strings.CutPrefix(text, "id: "); ok {
			event, _ = strconv.Atoi(value)
		}
		if version, ok := strings.CutPrefix(text, "data: "); ok {
			if !began && s.first == "" {
				s.first = id
			}
			began = true
			s.last = event
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions = append(s.versions, version)
			}
		}
	}
	s.isWhole = lines.Err() == nil && s.last == events
	w.record.add("client: attempt %s: events %d to %d, versions %v, whole %t %s", id, from+1, s.last, s.versions, s.isWhole, errorText(lines.Err()))
	return began
}
