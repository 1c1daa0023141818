package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// simulation runs keepers, askers and planners of a few nodes over a network that
// loses, delays, reorders and duplicates messages, on a virtual clock. Every random
// choice comes from choose, so that rapid can generate and shrink schedules.
type simulation struct {
	choose        func(below int, what string) int
	now           time.Time
	step          int64
	processes     []*process
	messages      []networkMessage
	isPartitioned [nodeCount][nodeCount]bool
	stored        Slot
	lastBootID    uint64
	attempts      int
	defects       Defects
	history       []porcupine.Operation
	maxKeys       int
}

const (
	nodeCount = 5
	keyWindow = 5 * time.Minute
	// scheduleDuration limits a schedule's virtual time. It is shorter than the window,
	// within which each key may run once.
	scheduleDuration = 4 * time.Minute
)

// process is a node from one start to the next.
type process struct {
	index    int
	member   fleet.Member
	keeper   *Keeper
	attempts map[string]*pendingAttempt
	slot     Slot
	rate     float64
}

// pendingAttempt is an attempt from its first request to its outcome.
type pendingAttempt struct {
	asker     *Asker
	request   Request
	startedAt time.Time
	finish    *Finish
}

// networkMessage is a message that may be delivered, lost or duplicated.
type networkMessage struct {
	from, to int
	deliver  func()
}

// input is the input of a porcupine operation: the run of a call, or the return of
// a stored answer to a caller. The output is the answer.
type input struct {
	key string
	run bool
}

// atMostOnce requires of each key that a call runs only if none ran before, and that
// every stored answer is the answer of that one run.
var atMostOnce = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, operation := range history {
			key := operation.Input.(input).key
			byKey[key] = append(byKey[key], operation)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if in.(input).run {
			return state == "", out
		}
		return state != "" && state == out, state
	},
}

func newSimulation(choose func(int, string) int, defects Defects, maxRecords int) *simulation {
	s := &simulation{choose: choose, now: start, defects: defects, maxKeys: 2}
	if maxRecords > 0 {
		s.maxKeys = maxRecords + 2
	}
	for index := range nodeCount {
		s.processes = append(s.processes, s.startProcess(index, maxRecords))
	}
	s.stored = Slot{Version: 1, Seats: seatsOf(SelectVoters(0, nil, s.members(0, nodeCount)))}
	return s
}

func (s *simulation) startProcess(index, maxRecords int) *process {
	s.lastBootID++
	name := fmt.Sprintf("n%d", index)
	member := fleet.Member{
		Name: fleet.NodeName(name), Zone: fleet.Zone(fmt.Sprintf("z%d", index%3)), BootID: s.lastBootID,
		State: fleet.MemberAlive, Addresses: fleet.Addresses{Peer: name},
	}
	self := seatsOf([]fleet.Member{member})[0]
	return &process{
		index: index, member: member, attempts: make(map[string]*pendingAttempt),
		keeper: NewKeeper(KeeperOptions{Self: self, Defects: s.defects, MaxRecords: maxRecords}),
		// The rates of the clocks differ by less than ClockDrift.
		rate: 1 + float64(index-2)*0.002,
	}
}

func (s *simulation) members(from, to int) []fleet.Member {
	var members []fleet.Member
	for _, process := range s.processes[from:to] {
		members = append(members, process.member)
	}
	return members
}

func (s *simulation) clock(process *process) time.Time {
	return start.Add(time.Duration(float64(s.now.Sub(start)) * process.rate))
}

// doAction performs one random action.
func (s *simulation) doAction(maxRecords int) {
	s.step++
	switch kind := s.choose(100, "action"); {
	case kind < 8:
		s.startCall()
	case kind < 70:
		for range 1 + s.choose(4, "messages") {
			s.deliverMessage(kind < 65)
		}
	case kind < 74:
		s.advance(time.Duration(1+s.choose(400, "ms")) * time.Millisecond)
	case kind < 78:
		s.advance(time.Duration(1+s.choose(40, "s")) * time.Second)
	case kind < 80:
		index := s.choose(nodeCount, "restart")
		s.processes[index] = s.startProcess(index, maxRecords)
	case kind < 86:
		s.planSlot()
	case kind < 87:
		s.isPartitioned[s.choose(nodeCount, "cut from")][s.choose(nodeCount, "cut to")] = true
	case kind < 89:
		s.isPartitioned = [nodeCount][nodeCount]bool{}
	default:
		s.runGrantedCall()
	}
}

// advance moves the clock forward and sends a Tick to all keepers and askers.
func (s *simulation) advance(duration time.Duration) {
	if s.now.Add(duration).Sub(start) > scheduleDuration {
		return
	}
	s.now = s.now.Add(duration)
	for _, process := range s.processes {
		s.stepKeeper(process, Tick{})
		for _, attempt := range sortedAttempts(process) {
			s.stepAsker(process, attempt, Tick{})
		}
	}
}

func sortedAttempts(process *process) []string {
	var attempts []string
	for attempt := range process.attempts {
		attempts = append(attempts, attempt)
	}
	slices.Sort(attempts)
	return attempts
}

func (s *simulation) startCall() {
	process := s.processes[s.choose(nodeCount, "caller")]
	if process.slot.Version == 0 {
		process.slot = s.stored
	}
	s.attempts++
	attempt := fmt.Sprintf("%d-%d", s.choose(10, "rank"), s.attempts)
	request := Request{
		Key: fmt.Sprintf("k%d", s.choose(s.maxKeys, "key")), Fingerprint: []byte("f"), Window: keyWindow,
	}
	process.attempts[attempt] = &pendingAttempt{request: request, startedAt: s.now, asker: NewAsker(AskerOptions{
		Request: request, Attempt: attempt, Node: process.member.Name, RandomSeed: uint64(s.attempts),
		Deadline: s.clock(process).Add(2 * time.Second), Defects: s.defects,
	})}
	s.stepAsker(process, attempt, Begin{Slot: process.slot})
}

func (s *simulation) stepAsker(process *process, attempt string, message AskerMessage) {
	running := process.attempts[attempt]
	if running == nil || running.finish != nil {
		return
	}
	for _, effect := range running.asker.Step(s.clock(process), message) {
		switch effect := effect.(type) {
		case RequestGrant:
			s.sendGrant(process, attempt, effect)
		case Release:
			s.sendOutcome(process, effect.To, effect.Complete)
		case Finish:
			s.handleFinish(process, attempt, effect)
		}
	}
}

func (s *simulation) handleFinish(process *process, attempt string, finish Finish) {
	if finish.Slot.Version > process.slot.Version {
		process.slot = finish.Slot
	}
	running := process.attempts[attempt]
	running.finish = &finish
	if finish.Decision.Verdict == Granted {
		return
	}
	delete(process.attempts, attempt)
	if finish.Decision.Verdict == Done {
		s.recordOperation(input{key: running.request.Key}, string(finish.Decision.Answer.Body))
	}
}

// runGrantedCall runs a granted call if one is still within the attempt timeout.
func (s *simulation) runGrantedCall() {
	first := s.choose(nodeCount, "runner")
	for offset := range nodeCount {
		if s.runCallOn(s.processes[(first+offset)%nodeCount]) {
			return
		}
	}
}

func (s *simulation) runCallOn(process *process) bool {
	for _, attempt := range sortedAttempts(process) {
		running := process.attempts[attempt]
		if running.finish == nil || s.now.Sub(running.startedAt) > defaultAttemptTimeout {
			continue
		}
		delete(process.attempts, attempt)
		complete := Complete{
			Key: running.request.Key, Fingerprint: running.request.Fingerprint, Attempt: attempt,
			Window: running.request.Window, Slot: running.finish.Slot, Outcome: NotRun,
		}
		if s.choose(4, "outcome") > 0 {
			s.recordOperation(input{key: running.request.Key, run: true}, attempt)
			complete.Outcome = Ran
			complete.Answer = &Answer{Body: []byte(attempt)}
		}
		s.sendOutcome(process, running.finish.Asked, complete)
		return true
	}
	return false
}

func (s *simulation) recordOperation(in input, out string) {
	s.step++
	s.history = append(s.history, porcupine.Operation{Input: in, Call: s.step, Output: out, Return: s.step})
}

func (s *simulation) send(from, to int, deliver func()) {
	s.messages = append(s.messages, networkMessage{from: from, to: to, deliver: deliver})
}

// deliverMessage delivers a random message, or loses or duplicates it.
func (s *simulation) deliverMessage(keep bool) {
	if len(s.messages) == 0 {
		return
	}
	index := s.choose(len(s.messages), "message")
	message := s.messages[index]
	if keep || s.choose(2, "lose or double") == 0 {
		s.messages = slices.Delete(s.messages, index, index+1)
	}
	if s.isPartitioned[message.from][message.to] || !keep && s.choose(2, "lost") == 0 {
		return
	}
	message.deliver()
}

// processAt returns the process at a seat's address.
func (s *simulation) processAt(seat Seat) *process {
	for _, process := range s.processes {
		if process.member.Addresses.Peer == seat.Address {
			return process
		}
	}
	return nil
}

// stepKeeper passes a message to a keeper and sends the Seal requests that result.
func (s *simulation) stepKeeper(process *process, message KeeperMessage) []KeeperEffect {
	effects := process.keeper.Step(s.clock(process), message)
	for _, effect := range effects {
		if ask, found := effect.(RequestSeal); found {
			s.sendSeal(process, ask)
		}
	}
	return effects
}

func (s *simulation) sendGrant(process *process, attempt string, ask RequestGrant) {
	to := s.processAt(ask.To).index
	s.send(process.index, to, func() {
		keeper := s.processes[to]
		for _, effect := range s.stepKeeper(keeper, ask.Grant) {
			reply, found := effect.(GrantReply)
			if !found {
				continue
			}
			received := VoteReceived{From: ask.To, Version: ask.Grant.Slot.Version, Reply: reply}
			s.send(to, process.index, func() {
				if s.processes[process.index] == process {
					s.stepAsker(process, attempt, received)
				}
			})
		}
	})
}

func (s *simulation) sendOutcome(process *process, seats []Seat, complete Complete) {
	for _, seat := range seats {
		to := s.processAt(seat).index
		s.send(process.index, to, func() { s.stepKeeper(s.processes[to], complete) })
	}
}

func (s *simulation) sendSeal(process *process, ask RequestSeal) {
	to := s.processAt(ask.To).index
	s.send(process.index, to, func() {
		other := s.processes[to]
		var message KeeperMessage = ProcessEnded{Seat: ask.To}
		if other.member.BootID == ask.To.Boot {
			for _, effect := range s.stepKeeper(other, Seal{Slot: ask.Slot}) {
				if reply, found := effect.(SealReply); found {
					message = SealAnswered{Index: ask.Slot.Index, Version: ask.Slot.Version, From: ask.To, Reply: reply}
				}
			}
		}
		s.send(to, process.index, func() {
			if s.processes[process.index] == process {
				s.stepKeeper(process, message)
			}
		})
	})
}

// planSlot lets a node run the planner. It sees the nodes that it can reach, except
// possibly a random one, and writes by a compare-and-set that may arrive late.
func (s *simulation) planSlot() {
	planner := s.choose(nodeCount, "planner")
	process := s.processes[planner]
	process.slot = s.stored
	input := PlanInput{Settled: make(map[int][]Seat)}
	unseen := s.choose(nodeCount+1, "unseen")
	for index, other := range s.processes {
		if s.isPartitioned[planner][index] || s.isPartitioned[index][planner] {
			continue
		}
		if index != unseen {
			input.Usable = append(input.Usable, other.member)
		}
		s.stepKeeper(other, SlotUpdate{Slot: s.stored})
		if other.keeper.Settled()[0] == s.stored.Version {
			input.Settled[0] = append(input.Settled[0], seatsOf([]fleet.Member{other.member})...)
		}
	}
	input.HasEnded = func(seat Seat) bool {
		other := s.processAt(seat)
		reached := !s.isPartitioned[planner][other.index] && !s.isPartitioned[other.index][planner]
		return reached && other.member.BootID != seat.Boot
	}
	planned, changed := Plan(Table{Slots: []Slot{s.stored}}, input)
	if !changed {
		return
	}
	expected := s.stored.Version
	s.send(planner, planner, func() {
		if s.stored.Version == expected {
			s.stored = planned.Slots[0]
		}
	})
}
