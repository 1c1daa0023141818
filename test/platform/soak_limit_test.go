package platform

import (
	"strconv"
	"strings"
	"time"
)

const (
	serversNameLimit = "servers-name-limit"
	// limitTold is how long after a node has passed a limit on what it sends counts.
	limitTold = 500 * time.Millisecond
)

// limitKinds are servers that name a rate limit in their answers.
func limitKinds() []kind {
	return []kind{{serversNameLimit, 2, func(s *soak, d drawnFault) { s.nameLimits(d) }}}
}

// soakLimits are the limits that servers name.
var soakLimits = []float64{0, 0.2, 1, 3, 10}

// nameLimits lets some servers name a rate limit for a time.
func (s *soak) nameLimits(drawn drawnFault) {
	for i, m := range s.staying() {
		if (i+drawn.server)%3 != 0 {
			continue
		}
		perSecond := soakLimits[(i+drawn.server)%len(soakLimits)]
		s.trouble(atServer, "", m.id+" names a limit of "+strconv.FormatFloat(perSecond, 'g', -1, 64), drawn.took+limitWindow)
		m.nameLimit(perSecond)
		s.later(drawn.took+limitWindow, func() { m.nameLimit(-1) })
	}
}

// judgeLimits counts what reached a server while it named one limit, from nodes that had passed that
// on. Nodes that ended, froze or were cut off since then are excused, what a harmed way held, and the
// landing before, which reads no limits. The server's lock is held.
func (s *soak) judgeLimits(m *modelServer) {
	for from := 0; from < len(m.reached); {
		to := from + 1
		for to < len(m.reached) && m.reached[to].limit == m.reached[from].limit && m.reached[to].born == m.reached[from].born {
			to++
		}
		if m.reached[from].limit != "" {
			s.judgeLimit(m, m.reached[from:to])
		}
		from = to
	}
}

// judgeLimit judges what came while the server named one limit.
func (s *soak) judgeLimit(m *modelServer, came []reach) {
	ends := make(map[string]served, len(s.ends))
	for _, end := range s.ends {
		ends[end.id] = end
	}
	told := make(map[string]time.Time)
	for _, one := range came {
		end, known := ends[one.id]
		if at, isTold := told[end.node]; known && end.status == 200 && (!isTold || end.done.Before(at)) {
			told[end.node] = end.done
		}
	}
	var counted []reach
	for _, one := range came {
		if one.at.Sub(came[0].at) > limitKnown+s.options.slack && s.countsToLimit(m, one, ends[one.id].node, told) {
			counted = append(counted, one)
		}
	}
	perSecond, _ := strconv.ParseFloat(came[0].limit, 64)
	if worst := worstWindow(counted); len(worst) > allowedInWindow(perSecond) {
		s.find("RATE: %s named a limit of %s a second, and got %d requests in %v from nodes that it had told; %d are allowed (%v)",
			m.id, came[0].limit, len(worst), limitWindow, allowedInWindow(perSecond), countPaths(worst))
	}
}

// countsToLimit reports whether what came from a node counts. Of the system's own calls it is not known
// which node they are of: they count where no node is excused.
func (s *soak) countsToLimit(m *modelServer, came reach, node string, told map[string]time.Time) bool {
	if strings.HasPrefix(came.path, "/api/") {
		for name, at := range told {
			if came.at.Sub(at) <= limitTold || s.ranOlder[name] || s.isWordExcused(m, name, at, came.at) {
				return false
			}
		}
		return len(told) == len(s.nodes)
	}
	at, isTold := told[node]
	return isTold && came.at.Sub(at) > limitTold && !s.ranOlder[node] && !s.isWordExcused(m, node, at, came.at)
}
