package platform

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// soakPoison records one poison request of the soak, or the requests with one part that crashes servers.
type soakPoison struct {
	// isPart is set for a part.
	isPart bool
	// sends holds when it reached servers and from which node, and ended when servers crashed on
	// it.
	sends []poisonSend
	ended []time.Time
}

type poisonSend struct {
	node string
	at   time.Time
}

const (
	// replaceDelay is the delay before a replacement for a crashed server starts, and
	// entryRemovalDelay that before the crashed server's entry is removed.
	replaceDelay      = 300 * time.Millisecond
	entryRemovalDelay = time.Second
	// poisonRunTime is how long a server runs a poison request before it crashes.
	poisonRunTime = 30 * time.Millisecond
)

// sendPoison sends a poison request repeatedly, to different nodes.
func (s *soak) sendPoison(drawn drawnFault) {
	s.mu.Lock()
	body := fmt.Sprintf("%s %d", poisonBody, len(s.poisons))
	s.poisons[body] = &soakPoison{}
	s.mu.Unlock()
	took := drawn.duration + soakReconnect
	s.disturb(serverScope, "", fmt.Sprintf("poison request %q is sent", body), took)
	s.activeFaults.Add(1)
	go func() {
		defer s.activeFaults.Done()
		for number, end := 0, time.Now().Add(took); time.Now().Before(end); number++ {
			n := s.nodes[(drawn.server+number*number)%len(s.nodes)]
			r := soakRequest{id: fmt.Sprintf("%s %d", n.name, number), path: "/chat/x", model: "m0"}
			// The result is checked by what the servers recorded.
			if response, err := http.DefaultClient.Do(r.build(n, strings.NewReader(body), int64(len(body)))); err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(poisonPause)
		}
	}()
}

// deadlyPartKind sends requests that have a part in common which crashes each server, no two alike.
const deadlyPartKind = "server-ends-under-part"

// partKinds returns the kinds in which a part of prompts crashes servers.
func partKinds() []kind {
	return []kind{{deadlyPartKind, 2, func(s *soak, d drawnFault) {
		if s.options.hasProxies {
			s.sendDeadlyPart(d)
		}
	}}}
}

// sendDeadlyPart sends requests with one deadly part to different nodes. They share their first part with
// all other callers.
func (s *soak) sendDeadlyPart(drawn drawnFault) {
	s.mu.Lock()
	part := fmt.Sprint(deadlyPart, len(s.poisons))
	s.poisons[part] = &soakPoison{isPart: true}
	s.mu.Unlock()
	took := 2*drawn.duration + soakReconnect
	s.disturb(serverScope, "", fmt.Sprintf("requests with part %q are sent", part), took)
	s.activeFaults.Add(1)
	go func() {
		defer s.activeFaults.Done()
		for number, end := 0, time.Now().Add(took); time.Now().Before(end); number++ {
			n := s.nodes[(drawn.server+number*number)%len(s.nodes)]
			body := fmt.Sprintf("request %d", number)
			request := soakRequest{id: fmt.Sprintf("%s %s %d", n.name, part, number), path: "/chat/x", model: "m0"}.build(n, strings.NewReader(body), int64(len(body)))
			request.Header.Set("Prefix-Hash", fmt.Sprintf("a1:60,%s:20,own%d:20", part, number))
			// The result is checked by what the servers recorded.
			if response, err := http.DefaultClient.Do(request); err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(poisonPause)
		}
	}()
}

// culpritOf returns what crashes the server that runs the request: its body, or a part of its prompt;
// empty if nothing does.
func culpritOf(request *http.Request, body string) string {
	if strings.HasPrefix(body, poisonBody) {
		return body
	}
	for entry := range strings.SplitSeq(request.Header.Get("Prefix-Hash"), ",") {
		if part, _, _ := strings.Cut(entry, ":"); strings.HasPrefix(part, deadlyPart) {
			return part
		}
	}
	return ""
}

// crashOnPoison runs a poison request and crashes the server.
func (s *soak) crashOnPoison(m *modelServer, writer http.ResponseWriter, request *http.Request, body string) {
	node, _, _ := strings.Cut(request.Header.Get("Request-Id"), " ")
	s.mu.Lock()
	poison := s.poisons[body]
	poison.sends = append(poison.sends, poisonSend{node: node, at: time.Now()})
	s.mu.Unlock()
	writer.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(writer).Flush()
	time.Sleep(poisonRunTime)
	s.mu.Lock()
	_, hasCrashed := s.drainedAt[m.id]
	if !hasCrashed {
		s.drainedAt[m.id] = time.Now()
		s.crashed[m.id] = true
		poison.ended = append(poison.ended, time.Now())
	}
	s.mu.Unlock()
	if !hasCrashed {
		s.t.Logf("%s %s crashes on %q", time.Now().Format("15:04:05.000"), m.id, body)
		s.disturb(serverScope, "", m.id+" crashed", entryRemovalDelay)
		_ = m.proxy.listener.Close()
		m.proxy.reset()
		s.runAfter(replaceDelay, func() { s.addServer(m.service, 0) })
		s.runAfter(entryRemovalDelay, func() { s.store.remove("servers", m.id) })
	}
	panic(http.ErrAbortHandler)
}

// checkPoison reports poison requests that reached servers after all undisturbed nodes had
// to know them, and other requests that were refused as poison requests.
func (s *soak) checkPoison() {
	for body, poison := range s.poisons {
		crashes := maxCrashes
		if poison.isPart {
			crashes = partCrashes
		}
		if len(poison.ended) < crashes {
			continue
		}
		knownAt, lateSends := poison.ended[crashes-1], 0
		for _, sent := range poison.sends {
			if sent.at.Sub(knownAt) > soakReconnect+s.options.slack && !s.isDisturbed(sent.node, sent.at.Add(-soakReconnect), sent.at, nodeScope) &&
				!s.isDisturbed(sent.node, sent.at.Add(-soakReconnect), sent.at, plannedNodeScope) {
				lateSends++
			}
		}
		if lateSends > maxLateSends {
			s.report("BUDGET: %q reached servers %d times from undisturbed nodes, more than %v after crash %d", body, lateSends, soakReconnect, crashes)
		}
		s.t.Logf("%q crashed %d servers and reached servers %d times", body, len(poison.ended), len(poison.sends))
	}
	s.checkPoisonRefusals()
}

// maxPoisonBlock bounds how long requests that look like a poison request are refused. If
// three servers crash while running them before any completes, they are blocked until a
// trial: after one second if a single poison request ran on all of these servers, and at the
// end of the block if several did or if another one crashed the server of that trial.
const maxPoisonBlock = 22 * time.Second

func (s *soak) checkPoisonRefusals() {
	outcomes := slices.Clone(s.outcomes)
	slices.SortFunc(outcomes, func(a, b outcome) int { return a.done.Compare(b.done) })
	since := make(map[string]time.Time)
	refused := 0
	for _, o := range outcomes {
		if o.refusedAsPoison {
			refused++
		}
		switch {
		case o.model != "" && o.status == http.StatusOK:
			delete(since, o.model)
		case o.refusedAsPoison && since[o.model].IsZero():
			since[o.model] = o.done
		case o.refusedAsPoison && o.done.Sub(since[o.model]) > maxPoisonBlock+s.options.slack:
			s.report("BARRED: %s of %s was refused as a poison request, like all similar requests for %v", o.id, o.node, o.done.Sub(since[o.model]))
		}
	}
	s.t.Logf("%d requests were refused as poison requests", refused)
	if maximum := s.options.maxPoisonRefusals; maximum > 0 && refused > maximum {
		s.report("BARRED: %d requests were refused as poison requests, want at most %d", refused, maximum)
	}
}
