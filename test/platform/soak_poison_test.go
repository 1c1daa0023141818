package platform

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// soakPoison is one poison request of the soak, as the servers' books have it.
type soakPoison struct {
	// sends are the times at which it reached servers, and of which nodes; ended those at
	// which servers ended under it.
	sends []poisonSend
	ended []time.Time
}

type poisonSend struct {
	node string
	at   time.Time
}

const (
	// replaceDelay is the time until another server comes in place of one that ended, and
	// lapseAfterEnd that until the entry of the latter goes.
	replaceDelay      = 300 * time.Millisecond
	entryRemovalDelay = time.Second
	// poisonRunTime is how long a server runs a poison request until it ends.
	poisonRunTime = 30 * time.Millisecond
)

// sendPoison sends one poison request again and again, to one node after the other.
func (s *soak) sendPoison(drawn drawnFault) {
	s.mu.Lock()
	body := fmt.Sprintf("%s %d", poisonBody, len(s.poisons))
	s.poisons[body] = &soakPoison{}
	s.mu.Unlock()
	took := drawn.duration + soakReconnect
	s.disturb(serverScope, "", fmt.Sprintf("%q comes, which ends servers", body), took)
	s.activeFaults.Add(1)
	go func() {
		defer s.activeFaults.Done()
		for number, end := 0, time.Now().Add(took); time.Now().Before(end); number++ {
			n := s.nodes[(drawn.server+number*number)%len(s.nodes)]
			r := soakRequest{id: fmt.Sprintf("%s %d", n.name, number), path: "/chat/x", model: "m0"}
			// What becomes of it is judged by the servers' books.
			if response, err := http.DefaultClient.Do(r.build(n, strings.NewReader(body), int64(len(body)))); err == nil {
				_ = response.Body.Close()
			}
			time.Sleep(poisonPause)
		}
	}()
}

// crashOnPoison runs a poison request, and ends the server.
func (s *soak) crashOnPoison(m *modelServer, writer http.ResponseWriter, request *http.Request, body string) {
	node, _, _ := strings.Cut(request.Header.Get("Request-Id"), " ")
	s.mu.Lock()
	known := s.poisons[body]
	known.sends = append(known.sends, poisonSend{node: node, at: time.Now()})
	s.mu.Unlock()
	writer.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(writer).Flush()
	time.Sleep(poisonRunTime)
	s.mu.Lock()
	_, hasEnded := s.drainedAt[m.id]
	if !hasEnded {
		s.drainedAt[m.id] = time.Now()
		s.crashed[m.id] = true
		known.ended = append(known.ended, time.Now())
	}
	s.mu.Unlock()
	if !hasEnded {
		s.t.Logf("%s %s ends under %q", time.Now().Format("15:04:05.000"), m.id, body)
		s.disturb(serverScope, "", m.id+" ended", entryRemovalDelay)
		_ = m.proxy.listener.Close()
		m.proxy.reset()
		s.runAfter(replaceDelay, func() { s.addServer(m.service, 0) })
		s.runAfter(entryRemovalDelay, func() { s.store.remove("servers", m.id) })
	}
	panic(http.ErrAbortHandler)
}

// checkPoison looks for poison requests that reached servers when all nodes in touch had to
// know them, and for others that were refused as such.
func (s *soak) checkPoison() {
	for body, known := range s.poisons {
		if len(known.ended) < maxCrashes {
			continue
		}
		third, late := known.ended[maxCrashes-1], 0
		for _, sent := range known.sends {
			if sent.at.Sub(third) > soakReconnect+s.options.slack && !s.isDisturbed(sent.node, sent.at.Add(-soakReconnect), sent.at, nodeScope) &&
				!s.isDisturbed(sent.node, sent.at.Add(-soakReconnect), sent.at, plannedNodeScope) {
				late++
			}
		}
		if late > maxLateSends {
			s.report("BUDGET: %q reached servers %d times, by nodes in touch, %v and more after it had ended the third", body, late, soakReconnect)
		}
		s.t.Logf("%q ended %d servers and reached some %d times", body, len(known.ended), len(known.sends))
	}
	s.checkPoisonRefusals()
}

// maxPoisonBlock bounds how long what many callers send alike is refused as a poison
// request: where three servers end around them before any ended well, they are barred until
// they are tried: a second later where one poison request ran on all of these servers, and at
// the end of the bar where several did, or where another one ended the server of that trial.
const maxPoisonBlock = 22 * time.Second

func (s *soak) checkPoisonRefusals() {
	ends := slices.Clone(s.outcomes)
	slices.SortFunc(ends, func(a, b outcome) int { return a.done.Compare(b.done) })
	since := make(map[string]time.Time)
	barred := 0
	for _, end := range ends {
		if end.refusedAsPoison {
			barred++
		}
		switch {
		case end.model != "" && end.status == http.StatusOK:
			delete(since, end.model)
		case end.refusedAsPoison && since[end.model].IsZero():
			since[end.model] = end.done
		case end.refusedAsPoison && end.done.Sub(since[end.model]) > maxPoisonBlock+s.options.slack:
			s.report("BARRED: %s of %s was refused as a poison request, as all like it for %v", end.id, end.node, end.done.Sub(since[end.model]))
		}
	}
	s.t.Logf("%d requests were refused as poison requests", barred)
	if most := s.options.maxPoisonRefusals; most > 0 && barred > most {
		s.report("BARRED: %d requests were refused as poison requests, want %d at most", barred, most)
	}
}
