package reachability

import (
	"slices"
	"time"
)

const (
	// SampleSize is the number of servers that one round probes.
	SampleSize = 3
	// suspicionInterval is the minimum time between two rounds that failed connections cause while
	// the service is reachable.
	suspicionInterval = 500 * time.Millisecond
	// recheckInterval is the time between the first two rounds of an outage. It grows by half with each
	// round, up to maxRecheckInterval: hundreds of nodes must not rush servers that come back.
	recheckInterval    = 400 * time.Millisecond
	maxRecheckInterval = 2 * time.Second
	// maxLone bounds the servers of a service that are remembered as unanswering while others answer.
	maxLone = 32
	// fullRounds is the number of rounds of an outage that probe SampleSize servers; later ones probe
	// one.
	fullRounds = 4
	// flapWindow is the time after an outage in which the next one counts as a relapse, and
	// relapseRounds the successive good rounds that end a relapse.
	flapWindow    = 10 * time.Second
	relapseRounds = 3
)

// Round is the result of probing some servers of a service.
type Round struct {
	// Probed counts the probed servers, and Answered those to which a connection came up.
	Probed, Answered int
	// Known counts the servers of the service.
	Known int
}

// Transition is a change of a service's state.
type Transition struct {
	Service       string
	IsUnreachable bool
	// Failed counts the servers without an answer that the transition rests on.
	Failed int
	// Lasted is how long the outage that ends took.
	Lasted time.Duration
}

// Tracker holds the state of all services. It is not safe for concurrent use.
type Tracker struct {
	services map[string]*state
}

type state struct {
	// failed are the servers to which no connection came up since a server last answered.
	failed []string
	// lone are servers that did not answer while others did, oldest first.
	lone []string
	// probedAt is when the last round began.
	probedAt time.Time
	// unreachableSince is zero while the service is reachable, and endedAt is when the last outage
	// ended.
	unreachableSince, endedAt time.Time
	isRelapse                 bool
	// goodRounds counts the successive rounds with an answer during an outage, and badRounds all without
	// one.
	goodRounds, badRounds int
	// recheckIn is the time from one round to the next during an outage.
	recheckIn time.Duration
}

// New returns a tracker for which all services are reachable.
func New() *Tracker { return &Tracker{services: make(map[string]*state)} }

func (t *Tracker) stateOf(service string) *state {
	known, ok := t.services[service]
	if !ok {
		known = &state{}
		t.services[service] = known
	}
	return known
}

// RecordContact records that the server answered a request. It does not end an outage: old connections
// may work while new ones do not.
func (t *Tracker) RecordContact(service, serverID string) {
	known, ok := t.services[service]
	if !ok {
		return
	}
	known.endFailures(serverID)
	known.lone = slices.DeleteFunc(known.lone, func(lone string) bool { return lone == serverID })
}

// endFailures records that a server answered: failures of others are their own. That holds only outside
// an outage.
func (s *state) endFailures(answered string) {
	if s.unreachableSince.IsZero() {
		for _, failed := range s.failed {
			if failed != answered && !slices.Contains(s.lone, failed) {
				s.lone = append(s.lone, failed)
			}
		}
		s.lone = s.lone[max(0, len(s.lone)-maxLone):]
	}
	s.failed = s.failed[:0]
}

// Lone returns the servers of all services that did not answer while others of their service did, and have
// not answered since. They tell nothing about this node's own path to servers.
func (t *Tracker) Lone() []string {
	var lone []string
	for _, known := range t.services {
		lone = append(lone, known.lone...)
	}
	return lone
}

// RecordFailure records that no connection to the server came up, or that one broke without an
// answer and the server did not accept another. It reports whether other servers are to be probed.
func (t *Tracker) RecordFailure(now time.Time, service, serverID string) (probe bool) {
	known := t.stateOf(service)
	if !slices.Contains(known.failed, serverID) {
		known.failed = append(known.failed, serverID)
	}
	return known.unreachableSince.IsZero() && (known.probedAt.IsZero() || now.Sub(known.probedAt) >= suspicionInterval)
}

// Begin records that a round of probes begins, and returns how many servers it probes and which need
// no probe.
func (t *Tracker) Begin(now time.Time, service string) (size int, exclude []string) {
	known := t.stateOf(service)
	known.probedAt = now
	switch {
	case known.unreachableSince.IsZero():
		return SampleSize, slices.Clone(known.failed)
	case known.badRounds < fullRounds:
		return SampleSize, nil
	default:
		return 1, nil
	}
}

// Finish applies the result of a round. changed is false if the state stays the same.
func (t *Tracker) Finish(now time.Time, service string, round Round) (transition Transition, changed bool) {
	known := t.stateOf(service)
	if known.unreachableSince.IsZero() {
		return t.finishSuspicion(now, service, round)
	}
	if round.Probed > 0 && round.Answered == 0 {
		known.goodRounds = 0
		known.badRounds++
		known.recheckIn = min(known.recheckIn*3/2, maxRecheckInterval)
		return Transition{}, false
	}
	// Without servers there is nothing left to be cut off from.
	known.goodRounds++
	if known.isRelapse && known.goodRounds < relapseRounds && round.Probed > 0 {
		return Transition{}, false
	}
	transition = Transition{Service: service, Lasted: now.Sub(known.unreachableSince)}
	known.unreachableSince, known.endedAt, known.failed, known.goodRounds = time.Time{}, now, nil, 0
	return transition, true
}

func (t *Tracker) finishSuspicion(now time.Time, service string, round Round) (transition Transition, changed bool) {
	known := t.stateOf(service)
	if round.Answered > 0 {
		known.endFailures("")
		return Transition{}, false
	}
	unanswered := min(len(known.failed)+round.Probed, round.Known)
	if len(known.failed) == 0 || round.Known == 0 || unanswered < min(SampleSize, round.Known) {
		return Transition{}, false
	}
	known.isRelapse = !known.endedAt.IsZero() && now.Sub(known.endedAt) < flapWindow
	known.unreachableSince, known.goodRounds, known.badRounds, known.recheckIn = now, 0, 0, recheckInterval
	return Transition{Service: service, IsUnreachable: true, Failed: unanswered}, true
}

// Due returns the unreachable services whose next round is due, sorted.
func (t *Tracker) Due(now time.Time) []string {
	var due []string
	for service, known := range t.services {
		if !known.unreachableSince.IsZero() && now.Sub(known.probedAt) >= known.recheckIn {
			due = append(due, service)
		}
	}
	slices.Sort(due)
	return due
}

// IsUnreachable reports whether the service is unreachable.
func (t *Tracker) IsUnreachable(service string) bool {
	known, ok := t.services[service]
	return ok && !known.unreachableSince.IsZero()
}

// Unreachable returns the unreachable services, sorted.
func (t *Tracker) Unreachable() []string {
	var unreachable []string
	for service, known := range t.services {
		if !known.unreachableSince.IsZero() {
			unreachable = append(unreachable, service)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}
