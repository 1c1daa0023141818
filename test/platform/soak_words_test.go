package platform

import "time"

const (
	drainByAnswersKind = "server-leaves-by-answers"
	backoffKind        = "servers-rest"
	// retryAfterGrace is the time after a back-off request in which requests in transit may
	// still arrive, and maxRequestsInBackoff how many may arrive later during the back-off.
	retryAfterGrace      = 500 * time.Millisecond
	maxRequestsInBackoff = 2
	// minSoakRetryAfter and maxSoakRetryAfter bound the back-off that a server asks for.
	minSoakRetryAfter = 700 * time.Millisecond
	maxSoakRetryAfter = 3 * time.Second
)

// noticeKinds are the notices that servers give with their responses.
func noticeKinds() []kind {
	return []kind{
		{drainByAnswersKind, 2, func(s *soak, d drawnFault) { s.drainByAnswers(d) }},
		{backoffKind, 2, func(s *soak, d drawnFault) { s.requestBackoff(d) }},
	}
}

// drainByAnswers drains a server while the store is unavailable: only its responses say so,
// until the store is available again and accepts its entry.
func (s *soak) drainByAnswers(drawn drawnFault) {
	staying := s.activeServers()
	draining := staying[drawn.server%len(staying)]
	s.addServer(draining.service, 0)
	s.storeFault("down", drawn.duration, func(on bool) { s.store.unavailable = on })
	s.runAfter(drawn.pauses[0]/2, func() { draining.set(func() { draining.isDraining = true }) })
	s.runAfter(drawn.duration, func() { s.drain(draining) })
}

// requestBackoff makes some servers reject all requests and ask for a back-off for a time.
func (s *soak) requestBackoff(drawn drawnFault) {
	retryAfter := minSoakRetryAfter + time.Duration(drawn.share*float64(maxSoakRetryAfter-minSoakRetryAfter))
	for i, m := range s.activeServers() {
		if (i+drawn.server)%3 != 0 {
			continue
		}
		s.disturb(serverScope, "", m.id+" asks for a back-off", drawn.duration)
		m.set(func() { m.retryAfter = retryAfter })
		s.runAfter(drawn.duration, func() { m.set(func() { m.retryAfter = 0 }) })
	}
}

// checkNotices reports requests that reached a server too long after it had told their node
// that it is leaving, and requests during a back-off. It excuses nodes that stopped, froze
// or were disconnected in between, and delays by a disturbed link. m.mu is held.
func (s *soak) checkNotices(m *modelServer) {
	outcomes := make(map[string]outcome, len(s.outcomes))
	for _, o := range s.outcomes {
		outcomes[o.id] = o
	}
	// A notice applies to the server start that gave it.
	type serverStart struct {
		node    string
		startID int64
	}
	noticeAt := make(map[serverStart]time.Time)
	backoffs := make(map[serverStart][]arrival)
	for _, arrived := range m.arrivals {
		answered, isKnown := outcomes[arrived.id]
		if !isKnown {
			continue
		}
		key := serverStart{answered.node, arrived.startID}
		if at, isInformed := noticeAt[key]; isInformed && answered.sent.Sub(at) > soakDrain+s.options.slack && !s.isNoticeExcused(m, answered.node, at, arrived.at) {
			s.report("DRAIN: %s of %s reached %s %v after it had told the node that it is leaving", answered.id, answered.node, m.id, arrived.at.Sub(at))
		}
		s.checkBackoffs(m, outcomes, arrived, backoffs[key])
		if arrived.retryAfter > 0 {
			backoffs[key] = append(backoffs[key], arrived)
		}
		if at, told := noticeAt[key]; arrived.isDraining && (!told || answered.done.Before(at)) && answered.status == 200 {
			noticeAt[key] = answered.done
		}
	}
}

// checkBackoffs counts a request in each back-off that the server asked its node for.
func (s *soak) checkBackoffs(m *modelServer, outcomes map[string]outcome, arrived arrival, backoffs []arrival) {
	node := outcomes[arrived.id].node
	for _, backoff := range backoffs {
		from, to := backoff.at.Add(retryAfterGrace), backoff.at.Add(backoff.retryAfter)
		if arrived.at.Before(from) || !arrived.at.Before(to) || s.isNoticeExcused(m, node, backoff.at, arrived.at) {
			continue
		}
		count := 0
		for _, other := range m.arrivals {
			if !other.at.Before(from) && !other.at.After(arrived.at) && other.startID == backoff.startID && outcomes[other.id].node == node {
				count++
			}
		}
		if count == maxRequestsInBackoff+1 {
			s.report("BUDGET: %s had asked %s for a back-off of %v and got %d requests during it", m.id, node, backoff.retryAfter, count)
			return
		}
	}
}

func (s *soak) isNoticeExcused(m *modelServer, node string, from, to time.Time) bool {
	return s.isDisturbed(node, from, to, nodeScope) || s.isDisturbed(node, from, to, plannedNodeScope) || s.isDisturbed(m.id, from, to, serverLinkScope)
}
