package platform

import (
	"strconv"
	"strings"
	"time"
)

const (
	rateLimitKind = "servers-name-limit"
	// limitNoticeTime is the time after a node has received a limit from which on its requests
	// count.
	limitNoticeTime = 500 * time.Millisecond
)

// limitKinds makes servers announce a rate limit in their responses.
func limitKinds() []kind {
	return []kind{{rateLimitKind, 2, func(s *soak, d drawnFault) { s.setRateLimits(d) }}}
}

// soakLimits are the announced limits, in requests a second.
var soakLimits = []float64{0, 0.2, 1, 3, 10}

// setRateLimits makes some servers announce a rate limit for a time.
func (s *soak) setRateLimits(drawn drawnFault) {
	for i, m := range s.activeServers() {
		if (i+drawn.server)%3 != 0 {
			continue
		}
		perSecond := soakLimits[(i+drawn.server)%len(soakLimits)]
		s.disturb(serverScope, "", m.id+" announces a limit of "+strconv.FormatFloat(perSecond, 'g', -1, 64), drawn.duration+limitWindow)
		m.setRateLimit(perSecond)
		s.runAfter(drawn.duration+limitWindow, func() { m.setRateLimit(-1) })
	}
}

// checkLimits counts the contacts of a server while it announced a limit, from nodes that
// had received the announcement. It excuses nodes that stopped, froze or were disconnected
// since then, delays by a disturbed link, and the previous release, which ignores limits.
// m.mu is held.
func (s *soak) checkLimits(m *modelServer) {
	for from := 0; from < len(m.contacts); {
		to := from + 1
		for to < len(m.contacts) && m.contacts[to].limit == m.contacts[from].limit && m.contacts[to].startID == m.contacts[from].startID {
			to++
		}
		if m.contacts[from].limit != "" {
			s.checkLimit(m, m.contacts[from:to])
		}
		from = to
	}
}

// checkLimit checks the contacts during which the server announced one limit.
func (s *soak) checkLimit(m *modelServer, contacts []contact) {
	outcomes := make(map[string]outcome, len(s.outcomes))
	for _, o := range s.outcomes {
		outcomes[o.id] = o
	}
	informedAt := make(map[string]time.Time)
	for _, c := range contacts {
		answered, isKnown := outcomes[c.id]
		if at, isInformed := informedAt[answered.node]; isKnown && answered.status == 200 && (!isInformed || answered.done.Before(at)) {
			informedAt[answered.node] = answered.done
		}
	}
	var counted []contact
	for _, one := range contacts {
		if one.at.Sub(contacts[0].at) > limitSettleTime+s.options.slack && s.countsToLimit(m, one, outcomes[one.id].node, informedAt) {
			counted = append(counted, one)
		}
	}
	perSecond, _ := strconv.ParseFloat(contacts[0].limit, 64)
	if busiest := busiestWindow(counted); len(busiest) > allowedInWindow(perSecond) {
		s.report("RATE: %s announced a limit of %s a second and was contacted %d times in %v by nodes that had received it; %d are allowed (%v)",
			m.id, contacts[0].limit, len(busiest), limitWindow, allowedInWindow(perSecond), countPaths(busiest))
	}
}

// countsToLimit reports whether a contact counts towards the limit. Orders and report
// queries do not identify their node, so they count only if no node is excused.
func (s *soak) countsToLimit(m *modelServer, c contact, node string, informedAt map[string]time.Time) bool {
	if strings.HasPrefix(c.path, "/api/") {
		for name, at := range informedAt {
			if c.at.Sub(at) <= limitNoticeTime || s.ranOlderBuild[name] || s.isNoticeExcused(m, name, at, c.at) {
				return false
			}
		}
		return len(informedAt) == len(s.nodes)
	}
	at, isInformed := informedAt[node]
	return isInformed && c.at.Sub(at) > limitNoticeTime && !s.ranOlderBuild[node] && !s.isNoticeExcused(m, node, at, c.at)
}
