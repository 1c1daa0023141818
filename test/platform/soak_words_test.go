package platform

import "time"

const (
	leavesByAnswers = "server-leaves-by-answers"
	serversRest     = "servers-rest"
	// restGrace is how long after it was asked for requests may still come that were under
	// way, and mostInRest how many may come later in the rest.
	restGrace  = 500 * time.Millisecond
	mostInRest = 2
	// shortestSoakRest and longestSoakRest bound the rest that a server asks for.
	shortestSoakRest = 700 * time.Millisecond
	longestSoakRest  = 3 * time.Second
)

// wordKinds are what servers tell of themselves with their answers.
func wordKinds() []kind {
	return []kind{
		{leavesByAnswers, 2, func(s *soak, d drawnFault) { s.leaveByAnswers(d) }},
		{serversRest, 2, func(s *soak, d drawnFault) { s.restServers(d) }},
	}
}

// leaveByAnswers lets a server leave while the store is away: its answers alone say so, until the
// store is back and takes its entry.
func (s *soak) leaveByAnswers(drawn drawnFault) {
	staying := s.staying()
	leaver := staying[drawn.server%len(staying)]
	s.addServer(leaver.service, 0)
	s.storeFault("down", drawn.took, func(on bool) { s.store.down = on })
	s.later(drawn.pauses[0]/2, func() { leaver.set(func() { leaver.isLeaving = true }) })
	s.later(drawn.took, func() { s.drain(leaver) })
}

// restServers lets some servers turn all away and ask for rest, for a time.
func (s *soak) restServers(drawn drawnFault) {
	rest := shortestSoakRest + time.Duration(drawn.share*float64(longestSoakRest-shortestSoakRest))
	for i, m := range s.staying() {
		if (i+drawn.server)%3 != 0 {
			continue
		}
		s.trouble(atServer, "", m.id+" asks for rest", drawn.took)
		m.set(func() { m.restFor = rest })
		s.later(drawn.took, func() { m.set(func() { m.restFor = 0 }) })
	}
}

// judgeWords looks for requests that reached a server later than it bears after it had told their
// node that it leaves, and for those in a rest. Nodes that ended, froze or were cut off meanwhile
// are excused, and what a harmed way held. The server's lock is held.
func (s *soak) judgeWords(m *modelServer) {
	ends := make(map[string]served, len(s.ends))
	for _, end := range s.ends {
		ends[end.id] = end
	}
	// What a server tells binds the start that told it.
	type byNode struct {
		node string
		born int64
	}
	passedOn := make(map[byNode]time.Time)
	rests := make(map[byNode][]arrival)
	for _, came := range m.arrivals {
		end, known := ends[came.id]
		if !known {
			continue
		}
		by := byNode{end.node, came.born}
		if at, told := passedOn[by]; told && end.sent.Sub(at) > soakDrain+s.options.slack && !s.isWordExcused(m, end.node, at, came.at) {
			s.find("DRAIN: %s of %s reached %s %v after it had told the node that it leaves", end.id, end.node, m.id, came.at.Sub(at))
		}
		s.judgeRests(m, ends, came, rests[by])
		if came.rest > 0 {
			rests[by] = append(rests[by], came)
		}
		if at, told := passedOn[by]; came.isLeaving && (!told || end.done.Before(at)) && end.status == 200 {
			passedOn[by] = end.done
		}
	}
}

// judgeRests counts a request in all rests that the server asked its node for.
func (s *soak) judgeRests(m *modelServer, ends map[string]served, came arrival, asked []arrival) {
	node := ends[came.id].node
	for _, rest := range asked {
		from, to := rest.at.Add(restGrace), rest.at.Add(rest.rest)
		if came.at.Before(from) || !came.at.Before(to) || s.isWordExcused(m, node, rest.at, came.at) {
			continue
		}
		inRest := 0
		for _, other := range m.arrivals {
			if !other.at.Before(from) && !other.at.After(came.at) && other.born == rest.born && ends[other.id].node == node {
				inRest++
			}
		}
		if inRest == mostInRest+1 {
			s.find("BUDGET: %s had asked %s for %v of rest, and got %d requests in it", m.id, node, rest.rest, inRest)
			return
		}
	}
}

func (s *soak) isWordExcused(m *modelServer, node string, from, to time.Time) bool {
	return s.isTroubled(node, from, to, atNode) || s.isTroubled(node, from, to, plannedAtNode) || s.isTroubled(m.id, from, to, onWayToServer)
}
