package platform

import (
	"strconv"
	"strings"
	"time"
)

const (
	serversNameLimit = "servers-name-limit"
	// limitNoticeTime is how long after a node has passed a limit on what it sends counts.
	limitNoticeTime = 500 * time.Millisecond
)

// limitKinds are servers that name a rate limit in their answers.
func limitKinds() []kind {
	return []kind{{serversNameLimit, 2, func(s *soak, d drawnFault) { s.setRateLimits(d) }}}
}

// soakLimits are the limits that servers name.
var soakLimits = []float64{0, 0.2, 1, 3, 10}

// setRateLimits lets some servers name a rate limit for a time.
func (s *soak) setRateLimits(drawn drawnFault) {
	for i, m := range s.activeServers() {
		if (i+drawn.server)%3 != 0 {
			continue
		}
		perSecond := soakLimits[(i+drawn.server)%len(soakLimits)]
		s.disturb(serverScope, "", m.id+" names a limit of "+strconv.FormatFloat(perSecond, 'g', -1, 64), drawn.duration+limitWindow)
		m.setRateLimit(perSecond)
		s.runAfter(drawn.duration+limitWindow, func() { m.setRateLimit(-1) })
	}
}

// checkLimits counts what reached a server while it named one limit, from nodes that had passed that
// on. Nodes that ended, froze or were cut off since then are excused, what a harmed way held, and the
// landing before, which reads no limits. The server's lock is held.
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

// checkLimit judges what came while the server named one limit.
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
		s.report("RATE: %s named a limit of %s a second, and got %d requests in %v from nodes that it had told; %d are allowed (%v)",
			m.id, came[0].limit, len(worst), limitWindow, allowedInWindow(perSecond), countPaths(worst))
	}
}

// countsToLimit reports whether what came from a node counts. Of the system's own calls it is not known
// which node they are of: they count where no node is excused.
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
