package platform

import (
	"strconv"
	"strings"
	"time"
)

const (
	serversNameLimit = "servers-name-limit"
	// limitNoticeTime is the time after a node has received a limit from which on its requests
	// count.
	limitNoticeTime = 500 * time.Millisecond
)

// limitKinds makes servers announce a rate limit in their responses.
func limitKinds() []kind {
	return []kind{{serversNameLimit, 2, func(s *soak, d drawnFault) { s.setRateLimits(d) }}}
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
func (s *soak) checkLimit(m *modelServer, came []contact) {
	ends := make(map[string]outcome, len(s.outcomes))
	for _, end := range s.outcomes {
		ends[end.id] = end
	}
	told := make(map[string]time.Time)
	for _, one := range came {
		end, known := ends[one.id]
		if at, isTold := told[end.node]; known && end.status == 200 && (!isTold || end.done.Before(at)) {
			told[end.node] = end.done
		}
	}
	var counted []contact
	for _, one := range came {
		if one.at.Sub(came[0].at) > limitSettleTime+s.options.slack && s.countsToLimit(m, one, ends[one.id].node, told) {
			counted = append(counted, one)
		}
	}
	perSecond, _ := strconv.ParseFloat(came[0].limit, 64)
	if worst := busiestWindow(counted); len(worst) > allowedInWindow(perSecond) {
		s.report("RATE: %s announced a limit of %s a second and was contacted %d times in %v by nodes that had received it; %d are allowed (%v)",
			m.id, came[0].limit, len(worst), limitWindow, allowedInWindow(perSecond), countPaths(worst))
	}
}

// countsToLimit reports whether a contact counts towards the limit. Orders and report
// queries do not identify their node, so they count only if no node is excused.
func (s *soak) countsToLimit(m *modelServer, came contact, node string, told map[string]time.Time) bool {
	if strings.HasPrefix(came.path, "/api/") {
		for name, at := range told {
			if came.at.Sub(at) <= limitNoticeTime || s.ranOlderBuild[name] || s.isNoticeExcused(m, name, at, came.at) {
				return false
			}
		}
		return len(told) == len(s.nodes)
	}
	at, isTold := told[node]
	return isTold && came.at.Sub(at) > limitNoticeTime && !s.ranOlderBuild[node] && !s.isNoticeExcused(m, node, at, came.at)
}
