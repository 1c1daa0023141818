package platform

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// find notes a broken rule, and says so at once.
func (s *soak) find(format string, values ...any) {
	finding := fmt.Sprintf(format, values...)
	s.t.Logf("%s found: %s", time.Now().Format("15:04:05.000"), finding)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, finding)
}

// judgePeriod is the time between two looks at what callers got.
const judgePeriod = time.Second

// judgeOn judges while the soak runs.
func (s *soak) judgeOn() {
	for !s.isOver() {
		time.Sleep(judgePeriod)
		s.judgeNew()
	}
}

// judgeNew judges the requests that ended since it was last called.
func (s *soak) judgeNew() {
	s.mu.Lock()
	ends := slices.Clone(s.ends[s.judged:])
	s.judged = len(s.ends)
	s.mu.Unlock()
	if len(ends) == 0 {
		return
	}
	ran := s.runs()
	for _, end := range ends {
		s.judgeAnswer(end, ran[end.id])
	}
}

// runs counts how often each request ran, by the books of all servers.
func (s *soak) runs() map[string]int {
	s.mu.Lock()
	servers := slices.Clone(s.servers)
	s.mu.Unlock()
	ran := make(map[string]int)
	for _, m := range servers {
		m.mu.Lock()
		for id, count := range m.runs {
			ran[id] += count
		}
		m.mu.Unlock()
	}
	return ran
}

// judgeHeads reads what servers were told beside the requests.
func (s *soak) judgeHeads() {
	for _, m := range s.servers {
		for id, head := range m.headOf {
			if head.Get("Tenant") != soakTenant || len(head["Tenant"]) != 1 || head.Get("Api-Key") != "" || head.Get("Hold") != "" {
				s.find("UNASKED: %s ran %s, told the tenant %q, the key %q and %q to hold", m.id, id, head["Tenant"], head.Get("Api-Key"), head.Get("Hold"))
			}
		}
	}
	for _, n := range s.nodes {
		if strings.Contains(n.log(), soakKey) {
			s.find("KEY: %s wrote a key to its log", n.name)
		}
	}
}

// judge reads the books at the end.
func (s *soak) judge(calm time.Time) {
	s.judgeNew()
	ran := s.runs()
	tally := make(map[string]int)
	for _, end := range s.ends {
		s.judgeRuns(end, ran[end.id])
		tally[fmt.Sprintf("%d", end.status)]++
	}
	s.judgeRecovery(calm)
	s.judgeServers()
	s.judgeHeads()
	s.judgeKeys()
	s.judgeConfigurations()
	s.judgeAddedRoutes()
	s.judgeRefusals()
	s.judgePoison()
	s.judgeReadiness()
	s.judgeExits()
	s.t.Logf("seed %d: %d requests, answers by status %v, %d troubles, %d servers, %d versions, %d nodes",
		s.options.seed, len(s.ends), tally, len(s.troubles), len(s.servers), s.version, len(s.nodes))
}

// judgeRuns holds for every request, whatever goes wrong. Those on added routes
// are safe and may run again.
func (s *soak) judgeRuns(end served, ran int) {
	switch {
	case ran > 1 && end.route != "added":
		s.find("TWICE: %s ran %d times", end.id, ran)
	case (end.status == 503 || end.status == 429) && ran > 0:
		s.find("REFUSED: %s got %d though it ran", end.id, end.status)
	}
}

// judgeAnswer judges what the caller got.
func (s *soak) judgeAnswer(end served, ran int) {
	switch {
	case end.status == 200 && end.err == nil && !end.whole && !end.left:
		s.find("MIXED: %s got a success with another body", end.id)
	case end.status == 404 && end.route == "added" && !s.isCalm(end.node, end.sent.Add(-soakContact), end.done):
		// The version may be under way still.
	case end.status >= 400 && end.status < 500 && end.status != 429:
		s.find("DENIED: %s got %d", end.id, end.status)
	}
	// A node that is not in touch may be late and may lose what it has; a server's
	// trouble, or the store's, does not make it late.
	if s.isTroubled(end.node, end.sent.Add(-soakContact), end.done, atNode) {
		return
	}
	if took := end.done.Sub(end.sent); took > soakDeadline+500*time.Millisecond+s.options.slack {
		s.find("late: %s was held for %v", end.id, took)
	}
	if s.isTroubled(end.node, end.sent.Add(-soakContact), end.done, atServer) {
		return
	}
	if end.err != nil && !end.left && !s.crossed(end, ran) {
		s.find("LOST: %s at %s, sent %s: %v", end.id, end.node, end.sent.Format("15:04:05.000"), end.err)
	}
}

// lossSlack is how long after its last byte was sent a request may be lost that the
// node did not pass on: it crossed the end of its connection.
const lossSlack = 200 * time.Millisecond

// crossed reports whether a request met the end of its connection, or a node that
// is down, and was not taken.
func (s *soak) crossed(end served, ran int) bool {
	if errors.Is(end.err, syscall.ECONNREFUSED) {
		return true
	}
	return ran == 0 && end.done.Sub(end.sent) < end.sending+lossSlack+s.options.slack
}

// isTroubled reports whether a trouble of the place fell into the time; those at
// nodes concern the one alone, or any where none is named.
func (s *soak) isTroubled(node string, from, to time.Time, where place) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.troubles, func(known span) bool {
		concerns := known.node == "" || node == "" || known.node == node
		return concerns && known.place == where && known.from.Before(to) && known.to.After(from)
	})
}

// isCalm reports whether the node was in touch, and the store and the servers sound,
// at the time and for soakContact before.
func (s *soak) isCalm(node string, from, to time.Time) bool {
	from = from.Add(-soakContact)
	for _, where := range []place{atNode, plannedAtNode, atServer, atStore} {
		if s.isTroubled(node, from, to, where) {
			return false
		}
	}
	return true
}

func (s *soak) judgeRecovery(calm time.Time) {
	asked, answered := 0, 0
	for _, end := range s.ends {
		if end.sent.After(calm.Add(soakRecover)) && !end.left {
			asked++
			if end.status == 200 && end.whole {
				answered++
			}
		}
	}
	if asked == 0 || 10*answered < 9*asked {
		s.find("RECOVER: %d of %d requests were served after the troubles", answered, asked)
	}
}

func (s *soak) judgeServers() {
	var loads []time.Time
	for _, m := range s.servers {
		m.mu.Lock()
		if m.overloads > 0 {
			s.find("LIMIT: %s was ordered to load over its memory %d times", m.id, m.overloads)
		}
		s.judgeOrders(m)
		loads = append(loads, m.loads...)
		s.judgeDrain(m)
		s.judgeCold(m)
		s.judgeEvacuations(m)
		s.judgeHome(m)
		s.judgeWords(m)
		s.judgeLimits(m)
		m.mu.Unlock()
	}
	s.judgeTraps()
	slices.SortFunc(loads, time.Time.Compare)
	for i := soakLoads; i < len(loads); i++ {
		if loads[i].Sub(loads[i-soakLoads]) < soakWindow {
			s.find("CEILING: %d loads within %v", soakLoads+1, loads[i].Sub(loads[i-soakLoads]))
		}
	}
}

// judgeDrain looks for work that began at a server after all nodes had to know that
// it leaves, by nodes in touch while the store was sound. The server's lock is held.
func (s *soak) judgeDrain(m *modelServer) {
	left, ok := s.left[m.id]
	if !ok {
		return
	}
	for _, end := range s.ends {
		at, ran := m.ranAt[end.id]
		if !ran || at.Sub(left) <= soakDrain+s.options.slack {
			continue
		}
		from := left.Add(-soakContact)
		// What a harmed way held may have been sent in time, if it was asked for in time.
		isHeld := end.sent.Before(left.Add(soakDrain)) && s.isTroubled(m.id, from, at, onWayToServer)
		if !isHeld && !s.isTroubled(end.node, from, at, atNode) && !s.isTroubled("", from, at, atStore) {
			s.find("DRAIN: %s ran %s of %s %v after it left", m.id, end.id, end.node, at.Sub(left))
		}
	}
}

func (s *soak) judgeOrders(m *modelServer) {
	for i := 1; i < len(m.orders); i++ {
		before, after := m.orders[i-1], m.orders[i]
		switch {
		case after.FencingToken < before.FencingToken:
			s.find("ONE: %s took token %d after %d", m.id, after.FencingToken, before.FencingToken)
		case after.Holder != before.Holder && after.FencingToken == before.FencingToken:
			s.find("ONE: %s took one token of %s and %s", m.id, before.Holder, after.Holder)
		case after.Holder != before.Holder && after.at.Sub(before.at) < 600*time.Millisecond:
			s.find("ONE: at %s %s takes turns with %s within the lease", m.id, before.Holder, after.Holder)
		}
	}
}

// longestRefusal bounds how long a service may be refused in calm times while its
// servers live, if somebody asks; fewestRefused is how often at least.
const (
	longestRefusal = 3 * time.Second
	fewestRefused  = 10
)

// refusedRun is a time in which a service was refused to all.
type refusedRun struct {
	since   time.Time
	refused int
}

// judgeRefusals looks for times in which a service was refused to all, though its
// servers live.
func (s *soak) judgeRefusals() {
	runs := make(map[string]refusedRun)
	ends := slices.Clone(s.ends)
	slices.SortFunc(ends, func(a, b served) int { return a.sent.Compare(b.sent) })
	for _, end := range ends {
		service := "commands"
		if end.route == "models" {
			service = "models"
		}
		current := runs[service]
		switch {
		case end.status == 200 || !s.isCalm(end.node, end.sent, end.done):
			runs[service] = refusedRun{}
			continue
		case end.status != 503:
			continue
		case current.refused == 0:
			current.since = end.sent
		}
		current.refused++
		runs[service] = current
		if current.refused >= fewestRefused && end.sent.Sub(current.since) > longestRefusal+s.options.slack {
			s.find("SHORT: %s refused to all for %v, %d times", service, end.sent.Sub(current.since), current.refused)
			runs[service] = refusedRun{}
		}
	}
}

// judgeReadiness looks for nodes that are not ready twice in a row in calm times.
func (s *soak) judgeReadiness() {
	for name, probes := range s.probes {
		for i := 1; i < len(probes); i++ {
			if !probes[i-1].isReady && !probes[i].isReady && s.isCalm(name, probes[i-1].at, probes[i].at) {
				s.find("READY: %s was not ready at %s", name, probes[i].at.Format("15:04:05.000"))
				break
			}
		}
	}
}

// judgeExits looks for processes that ended by themselves.
func (s *soak) judgeExits() {
	for _, c := range s.controls {
		c.mu.Lock()
		for _, exit := range c.ownExits {
			s.find("EXIT: %s ended by itself: %v", c.name, exit)
		}
		c.mu.Unlock()
	}
}
