package platform

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// report notes a broken rule, and says so at once.
func (s *soak) report(format string, values ...any) {
	finding := fmt.Sprintf(format, values...)
	s.t.Logf("%s found: %s", time.Now().Format("15:04:05.000"), finding)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, finding)
}

// checkInterval is the time between two looks at what callers got.
const checkInterval = time.Second

// checkPeriodically judges while the soak runs.
func (s *soak) checkPeriodically() {
	for !s.isStopping() {
		time.Sleep(checkInterval)
		s.checkNewOutcomes()
	}
}

// checkNewOutcomes judges the requests that ended since it was last called.
func (s *soak) checkNewOutcomes() {
	s.mu.Lock()
	ends := slices.Clone(s.outcomes[s.checkedCount:])
	s.checkedCount = len(s.outcomes)
	s.mu.Unlock()
	if len(ends) == 0 {
		return
	}
	ran := s.runCounts()
	for _, end := range ends {
		s.checkAnswer(end, ran[end.id])
	}
}

// runCounts counts how often each request ran, by the books of all servers.
func (s *soak) runCounts() map[string]int {
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

// checkHeaders reads what servers were told beside the requests.
func (s *soak) checkHeaders() {
	for _, m := range s.servers {
		for id, head := range m.headers {
			if head.Get("Tenant") != soakTenant || len(head["Tenant"]) != 1 || head.Get("Api-Key") != "" || head.Get("Hold") != "" {
				s.report("UNASKED: %s ran %s, told the tenant %q, the key %q and %q to hold", m.id, id, head["Tenant"], head.Get("Api-Key"), head.Get("Hold"))
			}
		}
	}
	for _, n := range s.nodes {
		if strings.Contains(n.log(), soakKey) {
			s.report("KEY: %s wrote a key to its log", n.name)
		}
	}
}

// checkAll reads the books at the end.
func (s *soak) checkAll(calm time.Time) {
	s.checkNewOutcomes()
	ran := s.runCounts()
	tally := make(map[string]int)
	for _, end := range s.outcomes {
		s.checkRunCount(end, ran[end.id])
		tally[fmt.Sprintf("%d", end.status)]++
	}
	s.checkRecovery(calm)
	s.checkServers()
	s.checkHeaders()
	s.checkKeys()
	s.checkConfigurations()
	s.checkAddedRoutes()
	s.checkRefusals()
	s.checkPoison()
	s.checkReadiness()
	s.checkExits()
	s.t.Logf("seed %d: %d requests, answers by status %v, %d troubles, %d servers, %d versions, %d nodes",
		s.options.seed, len(s.outcomes), tally, len(s.disturbances), len(s.servers), s.version, len(s.nodes))
}

// checkRunCount holds for every request, whatever goes wrong. Those on added routes
// are safe and may run again.
func (s *soak) checkRunCount(end outcome, ran int) {
	switch {
	case ran > 1 && end.route != "added":
		s.report("TWICE: %s ran %d times", end.id, ran)
	case (end.status == 503 || end.status == 429) && ran > 0:
		s.report("REFUSED: %s got %d though it ran", end.id, end.status)
	}
}

// checkAnswer judges what the caller got.
func (s *soak) checkAnswer(end outcome, ran int) {
	switch {
	case end.status == 200 && end.err == nil && !end.bodyComplete && !end.callerLeft:
		s.report("MIXED: %s got a success with another body", end.id)
	case end.status == 404 && end.route == "added" && !s.isCalm(end.node, end.sent.Add(-soakReconnect), end.done):
		// The version may be under way still.
	case end.status >= 400 && end.status < 500 && end.status != 429:
		s.report("DENIED: %s got %d", end.id, end.status)
	}
	// A node that is not in touch may be late and may lose what it has; a server's
	// trouble, or the store's, does not make it late.
	if s.isDisturbed(end.node, end.sent.Add(-soakReconnect), end.done, nodeScope) {
		return
	}
	if took := end.done.Sub(end.sent); took > soakDeadline+500*time.Millisecond+s.options.slack {
		s.report("late: %s was held for %v", end.id, took)
	}
	if s.isDisturbed(end.node, end.sent.Add(-soakReconnect), end.done, serverScope) {
		return
	}
	if end.err != nil && !end.callerLeft && !s.metConnectionClose(end, ran) {
		s.report("LOST: %s at %s, sent %s: %v", end.id, end.node, end.sent.Format("15:04:05.000"), end.err)
	}
}

// lossSlack is how long after its last byte was sent a request may be lost that the
// node did not pass on: it crossed the end of its connection.
const lossSlack = 200 * time.Millisecond

// metConnectionClose reports whether a request met the end of its connection, or a node that
// is down, and was not taken.
func (s *soak) metConnectionClose(end outcome, ran int) bool {
	if errors.Is(end.err, syscall.ECONNREFUSED) {
		return true
	}
	return ran == 0 && end.done.Sub(end.sent) < end.sending+lossSlack+s.options.slack
}

// isDisturbed reports whether a trouble of the place fell into the time; those at
// nodes concern the one alone, or any where none is named.
func (s *soak) isDisturbed(node string, from, to time.Time, where scope) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.disturbances, func(known disturbance) bool {
		concerns := known.node == "" || node == "" || known.node == node
		return concerns && known.scope == where && known.from.Before(to) && known.to.After(from)
	})
}

// isCalm reports whether the node was in touch, and the store and the servers sound,
// at the time and for soakContact before.
func (s *soak) isCalm(node string, from, to time.Time) bool {
	from = from.Add(-soakReconnect)
	for _, where := range []scope{nodeScope, plannedNodeScope, serverScope, storeScope} {
		if s.isDisturbed(node, from, to, where) {
			return false
		}
	}
	return true
}

func (s *soak) checkRecovery(calm time.Time) {
	asked, answered := 0, 0
	for _, end := range s.outcomes {
		if end.sent.After(calm.Add(soakRecovery)) && !end.callerLeft {
			asked++
			if end.status == 200 && end.bodyComplete {
				answered++
			}
		}
	}
	if asked == 0 || 10*answered < 9*asked {
		s.report("RECOVER: %d of %d requests were served after the troubles", answered, asked)
	}
}

func (s *soak) checkServers() {
	var loads []time.Time
	for _, m := range s.servers {
		m.mu.Lock()
		if m.overloads > 0 {
			s.report("LIMIT: %s was ordered to load over its memory %d times", m.id, m.overloads)
		}
		s.checkOrders(m)
		loads = append(loads, m.loads...)
		s.checkDrain(m)
		s.checkCold(m)
		s.checkEvacuations(m)
		s.checkRegions(m)
		s.checkNotices(m)
		s.checkLimits(m)
		m.mu.Unlock()
	}
	s.checkTraps()
	slices.SortFunc(loads, time.Time.Compare)
	for i := maxSoakLoads; i < len(loads); i++ {
		if loads[i].Sub(loads[i-maxSoakLoads]) < soakLoadWindow {
			s.report("CEILING: %d loads within %v", maxSoakLoads+1, loads[i].Sub(loads[i-maxSoakLoads]))
		}
	}
}

// checkDrain looks for work that began at a server after all nodes had to know that
// it leaves, by nodes in touch while the store was sound. The server's lock is held.
func (s *soak) checkDrain(m *modelServer) {
	left, ok := s.drainedAt[m.id]
	if !ok {
		return
	}
	for _, end := range s.outcomes {
		at, ran := m.startedAt[end.id]
		if !ran || at.Sub(left) <= soakDrain+s.options.slack {
			continue
		}
		from := left.Add(-soakReconnect)
		// What a harmed way held may have been sent in time, if it was asked for in time.
		isHeld := end.sent.Before(left.Add(soakDrain)) && s.isDisturbed(m.id, from, at, serverLinkScope)
		if !isHeld && !s.isDisturbed(end.node, from, at, nodeScope) && !s.isDisturbed("", from, at, storeScope) {
			s.report("DRAIN: %s ran %s of %s %v after it left", m.id, end.id, end.node, at.Sub(left))
		}
	}
}

func (s *soak) checkOrders(m *modelServer) {
	for i := 1; i < len(m.orders); i++ {
		before, after := m.orders[i-1], m.orders[i]
		switch {
		case after.FencingToken < before.FencingToken:
			s.report("ONE: %s took token %d after %d", m.id, after.FencingToken, before.FencingToken)
		case after.Holder != before.Holder && after.FencingToken == before.FencingToken:
			s.report("ONE: %s took one token of %s and %s", m.id, before.Holder, after.Holder)
		case after.Holder != before.Holder && after.at.Sub(before.at) < 600*time.Millisecond:
			s.report("ONE: at %s %s takes turns with %s within the lease", m.id, before.Holder, after.Holder)
		}
	}
}

// maxRefusalTime bounds how long a service may be refused in calm times while its
// servers live, if somebody asks; minRefusals is how often at least.
const (
	maxRefusalTime = 3 * time.Second
	minRefusals    = 10
)

// refusalPeriod is a time in which a service was refused to all.
type refusalPeriod struct {
	since   time.Time
	refused int
}

// checkRefusals looks for times in which a service was refused to all, though its
// servers live.
func (s *soak) checkRefusals() {
	runs := make(map[string]refusalPeriod)
	ends := slices.Clone(s.outcomes)
	slices.SortFunc(ends, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	for _, end := range ends {
		service := "commands"
		if end.route == "models" {
			service = "models"
		}
		current := runs[service]
		switch {
		case end.status == 200 || !s.isCalm(end.node, end.sent, end.done):
			runs[service] = refusalPeriod{}
			continue
		case end.status != 503:
			continue
		case current.refused == 0:
			current.since = end.sent
		}
		current.refused++
		runs[service] = current
		if current.refused >= minRefusals && end.sent.Sub(current.since) > maxRefusalTime+s.options.slack {
			s.report("SHORT: %s refused to all for %v, %d times", service, end.sent.Sub(current.since), current.refused)
			runs[service] = refusalPeriod{}
		}
	}
}

// checkReadiness looks for nodes that are not ready twice in a row in calm times.
func (s *soak) checkReadiness() {
	for name, probes := range s.probes {
		for i := 1; i < len(probes); i++ {
			if !probes[i-1].isReady && !probes[i].isReady && s.isCalm(name, probes[i-1].at, probes[i].at) {
				s.report("READY: %s was not ready at %s", name, probes[i].at.Format("15:04:05.000"))
				break
			}
		}
	}
}

// checkExits looks for processes that ended by themselves.
func (s *soak) checkExits() {
	for _, c := range s.controls {
		c.mu.Lock()
		for _, exit := range c.unexpectedExits {
			s.report("EXIT: %s ended by itself: %v", c.name, exit)
		}
		c.mu.Unlock()
	}
}
