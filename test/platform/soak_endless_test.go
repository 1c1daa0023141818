package platform

import "net/http"

const (
	endlessKind  = "answers-without-end"
	unmarkedKind = "unmarked-refusals"
	// soakEndlessEach is which of its requests a server answers without end.
	soakEndlessEach = 3
)

// answerKinds returns kinds of servers whose answers have no end, or refuse what they ran.
func answerKinds() []kind {
	return []kind{
		{endlessKind, 2, func(s *soak, d drawnFault) {
			answers := endlessAnswers()
			answer := &answers[int(d.pauses[0])%len(answers)]
			s.serverFault(d, "answers without end: "+answer.name, func(m *modelServer, on bool) {
				m.endlessEach, m.endless = soakEndlessEach, answer
				if !on || m.service == "commands" && answer.name == "event" {
					// An event is no part of a command's answer: it would be passed on as a body.
					m.endless = nil
				}
			})
		}},
		{unmarkedKind, 2, func(s *soak, d drawnFault) {
			status := promiseStatuses[int(d.pauses[0])%len(promiseStatuses)]
			s.serverFault(d, "refuses what it ran: "+http.StatusText(status), func(m *modelServer, on bool) {
				if m.unmarkedStatus = status; !on {
					m.unmarkedStatus = 0
				}
			})
		}},
	}
}

// recordMemory records the largest memory that each node has taken. A process that has ended is left out, and so
// is one of the previous release, which does not bound what it reads.
func (s *soak) recordMemory() {
	for _, n := range s.nodes {
		if n.process().Path != binary {
			continue
		}
		peak, err := n.peakMemory()
		if err != nil {
			continue
		}
		s.mu.Lock()
		s.peakMemory[n.name] = max(s.peakMemory[n.name], peak)
		s.mu.Unlock()
	}
}

// checkMemory reports nodes that took more memory than the smallest machines have.
func (s *soak) checkMemory() {
	for name, peak := range s.peakMemory {
		if peak > machineMemoryMb<<20 {
			s.report("MEMORY: %s took %d MB, a machine has %d", name, peak>>20, machineMemoryMb)
		}
	}
}
