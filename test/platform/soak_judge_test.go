package platform

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"
)

// report records and logs a violation.
func (s *soak) report(format string, values ...any) {
	finding := fmt.Sprintf(format, values...)
	s.t.Logf("%s found: %s", time.Now().Format("15:04:05.000"), finding)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.findings = append(s.findings, finding)
}

// checkInterval is the interval of checkPeriodically.
const checkInterval = time.Second

// checkPeriodically checks new outcomes while the soak runs.
func (s *soak) checkPeriodically() {
	for !s.isStopping() {
		time.Sleep(checkInterval)
		s.checkNewOutcomes()
		s.recordMemory()
	}
}

// checkNewOutcomes checks the outcomes recorded since the last call.
func (s *soak) checkNewOutcomes() {
	s.mu.Lock()
	outcomes := slices.Clone(s.outcomes[s.checkedCount:])
	s.checkedCount = len(s.outcomes)
	s.mu.Unlock()
	if len(outcomes) == 0 {
		return
	}
	runCounts := s.runCounts()
	for _, o := range outcomes {
		s.checkAnswer(o, runCounts[o.id])
	}
}

// runCounts returns how often each request ran, summed over all servers.
func (s *soak) runCounts() map[string]int {
	s.mu.Lock()
	servers := slices.Clone(s.servers)
	s.mu.Unlock()
	counts := make(map[string]int)
	for _, m := range servers {
		m.mu.Lock()
		for id, count := range m.runs {
			counts[id] += count
		}
		m.mu.Unlock()
	}
	return counts
}

// checkHeaders checks the request headers that servers received, and that no log contains an
// API key.
func (s *soak) checkHeaders() {
	for _, m := range s.servers {
		for id, head := range m.headers {
			if head.Get("Tenant") != tenantOf(id) || len(head["Tenant"]) != 1 || head.Get("Api-Key") != "" || head.Get("Hold") != "" {
				s.report("UNASKED: %s ran %s with Tenant %q, Api-Key %q and Hold %q", m.id, id, head["Tenant"], head.Get("Api-Key"), head.Get("Hold"))
			}
		}
	}
	for _, n := range s.nodes {
		if strings.Contains(n.log(), soakKey) || strings.Contains(n.log(), loudKey) {
			s.report("KEY: %s wrote a key to its log", n.name)
		}
	}
}

// checkAll runs all checks at the end.
func (s *soak) checkAll(faultsEndedAt time.Time) {
	s.checkNewOutcomes()
	runCounts := s.runCounts()
	statusCounts := make(map[string]int)
	for _, o := range s.outcomes {
		s.checkRunCount(o, runCounts[o.id])
		statusCounts[fmt.Sprintf("%d", o.status)]++
	}
	s.checkRecovery(faultsEndedAt)
	s.checkServers()
	s.checkRetryBudget()
	s.checkQuota(runCounts)
	s.checkHeaders()
	s.checkKeys()
	s.checkConfigurations()
	s.checkAddedRoutes()
	s.checkRefusals()
	s.checkPoison()
	s.checkReadiness()
	s.checkExits()
	s.checkMemory()
	s.t.Logf("seed %d: %d requests, answers by status %v, %d disturbances, %d servers, %d versions, %d nodes",
		s.options.seed, len(s.outcomes), statusCounts, len(s.disturbances), len(s.servers), s.version, len(s.nodes))
}

// checkRunCount checks rules that hold regardless of faults. Requests on added routes are
// safe and may run more than once.
func (s *soak) checkRunCount(o outcome, ran int) {
	switch {
	case ran > 1 && o.route != "added":
		s.report("TWICE: %s ran %d times", o.id, ran)
	case slices.Contains(promiseStatuses, o.status) && ran > 0 && !s.isOlderRefusal(o):
		s.report("REFUSED: %s got %d although it ran", o.id, o.status)
	}
}

// isOlderRefusal reports whether a node of the previous release passed on the status with which a server
// refused the request without a mark, or took a 421 for a rejection. The current release does neither.
func (s *soak) isOlderRefusal(o outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ranOlderBuild[o.node] && slices.ContainsFunc(s.servers, func(m *modelServer) bool {
		m.mu.Lock()
		defer m.mu.Unlock()
		refusal := m.unmarkedRefusals[o.id]
		return refusal == o.status || refusal == http.StatusMisdirectedRequest && o.status == http.StatusServiceUnavailable
	})
}

// checkAnswer checks the response that the caller got.
func (s *soak) checkAnswer(o outcome, ran int) {
	switch {
	case o.status == 200 && o.err == nil && !o.bodyComplete && !o.callerLeft:
		s.report("MIXED: %s got a success with another body", o.id)
	case o.status == 404 && o.route == "added" && !s.isCalm(o.node, o.sent.Add(-soakReconnect), o.done):
		// The version may not be in force yet.
	case o.status >= 400 && o.status < 500 && o.status != 429 && !s.isOlderRefusal(o):
		s.report("DENIED: %s got %d", o.id, o.status)
	}
	// A disturbed node may answer late and lose requests. Disturbances of a server or the store
	// do not make a node late.
	if s.isDisturbed(o.node, o.sent.Add(-soakReconnect), o.done, nodeScope) {
		return
	}
	if elapsed := o.done.Sub(o.sent); elapsed > soakDeadline+500*time.Millisecond+s.options.slack {
		s.report("late: %s was held for %v", o.id, elapsed)
	}
	if s.isDisturbed(o.node, o.sent.Add(-soakReconnect), o.done, serverScope) {
		return
	}
	if o.err != nil && !o.callerLeft && !s.metConnectionClose(o, ran) {
		s.report("LOST: %s at %s, sent %s: %v", o.id, o.node, o.sent.Format("15:04:05.000"), o.err)
	}
}

// lossSlack is how long after its last byte was sent a request may be lost when the node
// closes the connection as the request arrives. The node has not forwarded it then.
const lossSlack = 200 * time.Millisecond

// metConnectionClose reports whether a request met a closing connection or a stopped node
// and was not accepted.
func (s *soak) metConnectionClose(o outcome, ran int) bool {
	if errors.Is(o.err, syscall.ECONNREFUSED) {
		return true
	}
	return ran == 0 && o.done.Sub(o.sent) < o.sending+lossSlack+s.options.slack
}

// isDisturbed reports whether a disturbance of the scope overlaps the period. An empty node,
// here or in the disturbance, matches every node.
func (s *soak) isDisturbed(node string, from, to time.Time, where scope) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.disturbances, func(d disturbance) bool {
		matchesNode := d.node == "" || node == "" || d.node == node
		return matchesNode && d.scope == where && d.from.Before(to) && d.to.After(from)
	})
}

// isCalm reports whether the node, the store and the servers were undisturbed during the
// period and for soakReconnect before it.
func (s *soak) isCalm(node string, from, to time.Time) bool {
	from = from.Add(-soakReconnect)
	for _, where := range []scope{nodeScope, plannedNodeScope, serverScope, storeScope} {
		if s.isDisturbed(node, from, to, where) {
			return false
		}
	}
	return true
}

func (s *soak) checkRecovery(faultsEndedAt time.Time) {
	sent, served := 0, 0
	for _, o := range s.outcomes {
		if o.sent.After(faultsEndedAt.Add(soakRecovery)) && !o.callerLeft {
			sent++
			if o.status == 200 && o.bodyComplete {
				served++
			}
		}
	}
	if sent == 0 || 10*served < 9*sent {
		s.report("RECOVER: %d of %d requests were served after the faults", served, sent)
	}
}

func (s *soak) checkServers() {
	var loads []time.Time
	for _, m := range s.servers {
		m.mu.Lock()
		if m.overloads > 0 {
			s.report("LIMIT: %s was ordered to load more than its memory holds %d times", m.id, m.overloads)
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

// checkDrain reports work that started at a server after all nodes had to know that it is
// draining, sent by undisturbed nodes while the store was undisturbed. m.mu is held.
func (s *soak) checkDrain(m *modelServer) {
	drainedAt, ok := s.drainedAt[m.id]
	if !ok {
		return
	}
	for _, o := range s.outcomes {
		at, ran := m.startedAt[o.id]
		if !ran || at.Sub(drainedAt) <= soakDrain+s.options.slack {
			continue
		}
		from := drainedAt.Add(-soakReconnect)
		// A disturbed link may have delayed a request that was sent in time.
		isDelayed := o.sent.Before(drainedAt.Add(soakDrain)) && s.isDisturbed(m.id, from, at, serverLinkScope)
		if !isDelayed && !s.isDisturbed(o.node, from, at, nodeScope) && !s.isDisturbed("", from, at, storeScope) {
			s.report("DRAIN: %s ran %s of %s %v after it began to drain", m.id, o.id, o.node, at.Sub(drainedAt))
		}
	}
}

func (s *soak) checkOrders(m *modelServer) {
	for i := 1; i < len(m.orders); i++ {
		before, after := m.orders[i-1], m.orders[i]
		switch {
		case after.FencingToken < before.FencingToken:
			s.report("ONE: %s took fencing token %d after %d", m.id, after.FencingToken, before.FencingToken)
		case after.Holder != before.Holder && after.FencingToken == before.FencingToken:
			s.report("ONE: %s took the same fencing token from %s and %s", m.id, before.Holder, after.Holder)
		case after.Holder != before.Holder && after.at.Sub(before.at) < 600*time.Millisecond:
			s.report("ONE: at %s %s ordered within the lease of %s", m.id, before.Holder, after.Holder)
		}
	}
}

// A service must not be refused for longer than maxRefusalTime, counting at least
// minRefusals refused requests, while nothing is disturbed.
const (
	maxRefusalTime = 3 * time.Second
	minRefusals    = 10
)

// refusalPeriod is a period in which all requests for a service were refused.
type refusalPeriod struct {
	since   time.Time
	refused int
}

// checkRefusals reports periods in which all requests for a service were refused although
// its servers run.
func (s *soak) checkRefusals() {
	periods := make(map[string]refusalPeriod)
	outcomes := slices.Clone(s.outcomes)
	slices.SortFunc(outcomes, func(a, b outcome) int { return a.sent.Compare(b.sent) })
	for _, o := range outcomes {
		service := serviceOf(o)
		current := periods[service]
		switch {
		case o.status == 200 || !s.isCalm(o.node, o.sent, o.done):
			periods[service] = refusalPeriod{}
			continue
		case o.status != 503:
			continue
		case current.refused == 0:
			current.since = o.sent
		}
		current.refused++
		periods[service] = current
		if current.refused >= minRefusals && o.sent.Sub(current.since) > maxRefusalTime+s.options.slack {
			s.report("SHORT: %s refused all requests for %v, %d in total", service, o.sent.Sub(current.since), current.refused)
			periods[service] = refusalPeriod{}
		}
	}
}

// checkReadiness reports nodes that failed two consecutive readiness probes while
// undisturbed.
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

// checkExits reports processes that exited without being told to.
func (s *soak) checkExits() {
	for _, c := range s.controls {
		c.mu.Lock()
		for _, exit := range c.unexpectedExits {
			s.report("EXIT: %s exited unexpectedly: %v", c.name, exit)
		}
		c.mu.Unlock()
	}
}
