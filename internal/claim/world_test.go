package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// world runs keepers, askers and planners of a few nodes over a network that
// loses, delays, reorders and doubles messages, on a virtual clock. Every
// choice comes from choose, so that a schedule can be drawn and shrunk.
type world struct {
	choose    func(below int, what string) int
	now       time.Time
	step      int64
	processes []*process
	messages  []message
	cut       [worldNodes][worldNodes]bool
	stored    Slot
	boots     uint64
	attempts  int
	defects   Defects
	history   []porcupine.Operation
	maxKeys   int
}

const (
	worldNodes  = 5
	worldWindow = 5 * time.Minute
	// worldSpan is the time that a schedule may take: within the window each
	// key may run once.
	worldSpan = 4 * time.Minute
)

// process is one start of one node.
type process struct {
	index  int
	member fleet.Member
	keeper *Keeper
	askers map[string]*running
	slot   Slot
	rate   float64
}

// running is an attempt, from its first question to its outcome.
type running struct {
	asker   *Asker
	request Request
	granted time.Time
	finish  *Finish
}

// message is delivered, dropped or doubled by choice.
type message struct {
	from, to int
	deliver  func()
}

// input and output are of a porcupine operation: the run of a call, or a
// stored answer that a caller was given.
type input struct {
	key string
	run bool
}

// atMostOnce holds for each key: a call runs only where none ran before, and
// every stored answer is that of the one run.
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

func newWorld(choose func(int, string) int, defects Defects, maxRecords int) *world {
	w := &world{choose: choose, now: start, defects: defects, maxKeys: 2}
	if maxRecords > 0 {
		w.maxKeys = maxRecords + 2
	}
	for index := range worldNodes {
		w.processes = append(w.processes, w.boot(index, maxRecords))
	}
	w.stored = Slot{Version: 1, Seats: seatsOf(SelectVoters(0, nil, w.members(0, worldNodes)))}
	return w
}

func (w *world) boot(index, maxRecords int) *process {
	w.boots++
	name := fmt.Sprintf("n%d", index)
	member := fleet.Member{
		Name: fleet.NodeName(name), Zone: fleet.Zone(fmt.Sprintf("z%d", index%3)), BootID: w.boots,
		State: fleet.MemberAlive, Addresses: fleet.Addresses{Peer: name},
	}
	self := seatsOf([]fleet.Member{member})[0]
	return &process{
		index: index, member: member, askers: make(map[string]*running),
		keeper: NewKeeper(KeeperOptions{Self: self, Defects: w.defects, MaxRecords: maxRecords}),
		// Clocks differ by less than the documented bound.
		rate: 1 + float64(index-2)*0.002,
	}
}

func (w *world) members(from, to int) []fleet.Member {
	var members []fleet.Member
	for _, process := range w.processes[from:to] {
		members = append(members, process.member)
	}
	return members
}

func (w *world) clock(process *process) time.Time {
	return start.Add(time.Duration(float64(w.now.Sub(start)) * process.rate))
}

// act makes one drawn step.
func (w *world) act(maxRecords int) {
	w.step++
	switch kind := w.choose(100, "action"); {
	case kind < 8:
		w.call()
	case kind < 70:
		for range 1 + w.choose(4, "messages") {
			w.deliver(kind < 65)
		}
	case kind < 74:
		w.advance(time.Duration(1+w.choose(400, "ms")) * time.Millisecond)
	case kind < 78:
		w.advance(time.Duration(1+w.choose(40, "s")) * time.Second)
	case kind < 80:
		index := w.choose(worldNodes, "restart")
		w.processes[index] = w.boot(index, maxRecords)
	case kind < 86:
		w.plan()
	case kind < 87:
		w.cut[w.choose(worldNodes, "cut from")][w.choose(worldNodes, "cut to")] = true
	case kind < 89:
		w.cut = [worldNodes][worldNodes]bool{}
	default:
		w.run()
	}
}

// advance moves the clock and wakes whoever wants it.
func (w *world) advance(duration time.Duration) {
	if w.now.Add(duration).Sub(start) > worldSpan {
		return
	}
	w.now = w.now.Add(duration)
	for _, process := range w.processes {
		w.step1(process, Tick{})
		for _, attempt := range sortedAttempts(process) {
			w.stepAsker(process, attempt, Tick{})
		}
	}
}

func sortedAttempts(process *process) []string {
	var attempts []string
	for attempt := range process.askers {
		attempts = append(attempts, attempt)
	}
	slices.Sort(attempts)
	return attempts
}

func (w *world) call() {
	process := w.processes[w.choose(worldNodes, "caller")]
	if process.slot.Version == 0 {
		process.slot = w.stored
	}
	w.attempts++
	attempt := fmt.Sprintf("%d-%d", w.choose(10, "rank"), w.attempts)
	request := Request{
		Key: fmt.Sprintf("k%d", w.choose(w.maxKeys, "key")), Fingerprint: []byte("f"), Window: worldWindow,
	}
	process.askers[attempt] = &running{request: request, granted: w.now, asker: NewAsker(AskerOptions{
		Request: request, Attempt: attempt, Node: process.member.Name, RandomSeed: uint64(w.attempts),
		Deadline: w.clock(process).Add(2 * time.Second), Defects: w.defects,
	})}
	w.stepAsker(process, attempt, Begin{Slot: process.slot})
}

func (w *world) stepAsker(process *process, attempt string, news AskerMessage) {
	running := process.askers[attempt]
	if running == nil || running.finish != nil {
		return
	}
	for _, effect := range running.asker.Step(w.clock(process), news) {
		switch effect := effect.(type) {
		case RequestGrant:
			w.askGrant(process, attempt, effect)
		case Release:
			w.tellOutcome(process, effect.To, effect.Complete)
		case Finish:
			w.finished(process, attempt, effect)
		}
	}
}

func (w *world) finished(process *process, attempt string, finish Finish) {
	if finish.Slot.Version > process.slot.Version {
		process.slot = finish.Slot
	}
	running := process.askers[attempt]
	running.finish = &finish
	if finish.Decision.Verdict == Granted {
		return
	}
	delete(process.askers, attempt)
	if finish.Decision.Verdict == Done {
		w.record(input{key: running.request.Key}, string(finish.Decision.Answer.Body))
	}
}

// run carries out a granted call, within the time that an attempt has.
func (w *world) run() {
	first := w.choose(worldNodes, "runner")
	for offset := range worldNodes {
		if w.runAt(w.processes[(first+offset)%worldNodes]) {
			return
		}
	}
}

func (w *world) runAt(process *process) bool {
	for _, attempt := range sortedAttempts(process) {
		running := process.askers[attempt]
		if running.finish == nil || w.now.Sub(running.granted) > defaultAttemptTimeout {
			continue
		}
		delete(process.askers, attempt)
		complete := Complete{
			Key: running.request.Key, Fingerprint: running.request.Fingerprint, Attempt: attempt,
			Window: running.request.Window, Slot: running.finish.Slot, Outcome: NotRun,
		}
		if w.choose(4, "outcome") > 0 {
			w.record(input{key: running.request.Key, run: true}, attempt)
			complete.Outcome = Ran
			complete.Answer = &Answer{Body: []byte(attempt)}
		}
		w.tellOutcome(process, running.finish.Asked, complete)
		return true
	}
	return false
}

func (w *world) record(in input, out string) {
	w.step++
	w.history = append(w.history, porcupine.Operation{Input: in, Call: w.step, Output: out, Return: w.step})
}

func (w *world) send(from, to int, deliver func()) {
	w.messages = append(w.messages, message{from: from, to: to, deliver: deliver})
}

// deliver takes a drawn message off the network, or loses or doubles it.
func (w *world) deliver(keep bool) {
	if len(w.messages) == 0 {
		return
	}
	index := w.choose(len(w.messages), "message")
	taken := w.messages[index]
	if keep || w.choose(2, "lose or double") == 0 {
		w.messages = slices.Delete(w.messages, index, index+1)
	}
	if w.cut[taken.from][taken.to] || !keep && w.choose(2, "lost") == 0 {
		return
	}
	taken.deliver()
}

// at returns the process at a seat's address.
func (w *world) at(seat Seat) *process {
	for _, process := range w.processes {
		if process.member.Addresses.Peer == seat.Address {
			return process
		}
	}
	return nil
}

// step1 feeds a keeper and sends its requests.
func (w *world) step1(process *process, news KeeperMessage) []KeeperEffect {
	effects := process.keeper.Step(w.clock(process), news)
	for _, effect := range effects {
		if ask, found := effect.(RequestSeal); found {
			w.askSeal(process, ask)
		}
	}
	return effects
}

func (w *world) askGrant(process *process, attempt string, ask RequestGrant) {
	to := w.at(ask.To).index
	w.send(process.index, to, func() {
		keeper := w.processes[to]
		for _, effect := range w.step1(keeper, ask.Grant) {
			reply, found := effect.(GrantReply)
			if !found {
				continue
			}
			voted := VoteReceived{From: ask.To, Version: ask.Grant.Slot.Version, Reply: reply}
			w.send(to, process.index, func() {
				if w.processes[process.index] == process {
					w.stepAsker(process, attempt, voted)
				}
			})
		}
	})
}

func (w *world) tellOutcome(process *process, seats []Seat, complete Complete) {
	for _, seat := range seats {
		to := w.at(seat).index
		w.send(process.index, to, func() { w.step1(w.processes[to], complete) })
	}
}

func (w *world) askSeal(process *process, ask RequestSeal) {
	to := w.at(ask.To).index
	w.send(process.index, to, func() {
		other := w.processes[to]
		var news KeeperMessage = ProcessEnded{Seat: ask.To}
		if other.member.BootID == ask.To.Boot {
			for _, effect := range w.step1(other, Seal{Slot: ask.Slot}) {
				if reply, found := effect.(SealReply); found {
					news = SealAnswered{Index: ask.Slot.Index, Version: ask.Slot.Version, From: ask.To, Reply: reply}
				}
			}
		}
		w.send(to, process.index, func() {
			if w.processes[process.index] == process {
				w.step1(process, news)
			}
		})
	})
}

// plan lets a node look after the table: it sees the nodes that it reaches,
// some of them drawn out, and writes by compare-and-set, perhaps late.
func (w *world) plan() {
	planner := w.choose(worldNodes, "planner")
	process := w.processes[planner]
	process.slot = w.stored
	evidence := PlanInput{Settled: make(map[int][]Seat)}
	unseen := w.choose(worldNodes+1, "unseen")
	for index, other := range w.processes {
		if w.cut[planner][index] || w.cut[index][planner] {
			continue
		}
		if index != unseen {
			evidence.Usable = append(evidence.Usable, other.member)
		}
		w.step1(other, SlotUpdate{Slot: w.stored})
		if other.keeper.Settled()[0] == w.stored.Version {
			evidence.Settled[0] = append(evidence.Settled[0], seatsOf([]fleet.Member{other.member})...)
		}
	}
	evidence.HasEnded = func(seat Seat) bool {
		other := w.at(seat)
		reached := !w.cut[planner][other.index] && !w.cut[other.index][planner]
		return reached && other.member.BootID != seat.Boot
	}
	planned, changed := Plan(Table{Slots: []Slot{w.stored}}, evidence)
	if !changed {
		return
	}
	expected := w.stored.Version
	w.send(planner, planner, func() {
		if w.stored.Version == expected {
			w.stored = planned.Slots[0]
		}
	})
}
