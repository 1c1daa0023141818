package waiting

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// The world that traces are replayed in: servers that hold some models each and run some
// requests at a time, a leader that loads what is waited for, and callers who come back
// once. All of it goes by a virtual clock.
const (
	worldSlots = 4
	// worldQueue is the number of requests that a server lets wait, by rank.
	worldQueue = 12
	// worldPlaces is the number of models that a server holds.
	worldPlaces = 3
	// worldLoads is the number of loads from the weight store at a time.
	worldLoads = 4
	// worldPeriod is the time between two steps of the leader.
	worldPeriod = 50 * time.Millisecond
	// worldLate is how much longer loads take than the leader says.
	worldLate = 1.1
	// worldFirst is the time from a start to the first event.
	worldFirst = 40 * time.Millisecond
)

var worldTimes = LoadTimes{Store: 6 * time.Second, Disk: 1700 * time.Millisecond, Memory: 600 * time.Millisecond}

var worldBegin = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// worldRequest is one caller's request; it may come twice.
type worldRequest struct {
	kind     *traceKind
	model    string
	first    time.Time
	request  Request
	watch    OverdueTracker
	since    time.Time
	waits    bool
	returned bool
	done     bool
}

type worldServer struct {
	held map[string]time.Time // when it was last used
	disk map[string]bool
	// running counts requests by model.
	running map[string]int
	total   int
	queue   []*worldRequest
	loading string
	ready   time.Time
	isGone  bool
	// coldTill is until when it takes coldPerS requests a second, and limitedTill until when
	// limitPerS.
	coldTill, limitedTill time.Time
	took                  []time.Time
}

// tally is what the callers of a kind got.
type tally struct {
	sent, inTime, late, refusedAtOnce, refusedLater, gaveUp int
}

func (t tally) served() float64 { return float64(t.inTime+t.late) / float64(max(1, t.sent)) }
func (t tally) inTimeShare() float64 {
	return float64(t.inTime) / float64(max(1, t.sent))
}

// worldOptions are what is played beside the arrivals.
type worldOptions struct {
	servers int
	// loseAt, where it is set, takes a third of the servers away.
	loseAt time.Duration
	// coldAt, where it is set, makes all servers start anew: they hold nothing, keep their
	// disks, and take coldPerS requests a second for coldFor.
	coldAt, coldFor time.Duration
	coldPerS        int
	// limitAt, where it is set, lets a third of the servers take limitPerS requests a second for
	// limitFor. What they hold is loaded elsewhere, unless keepsLimited is set.
	limitAt, limitFor time.Duration
	limitPerS         int
	keepsLimited      bool
	// rank orders requests at servers; nil is Rank.
	rank func(r *worldRequest) float64
	// keepAll holds all until their deadlines, in place of Decide.
	keepAll bool
}

type world struct {
	options worldOptions
	now     time.Time
	events  worldEvents
	number  int
	servers []*worldServer
	waiting map[string][]*worldRequest
	// asked is when each model was asked for last: the leader counts who was refused, too.
	asked   map[string]time.Time
	lines   *RetrySchedule
	tallies map[string]*tally
}

type worldEvent struct {
	at     time.Time
	number int
	do     func()
}

type worldEvents []worldEvent

func (e worldEvents) Len() int { return len(e) }
func (e worldEvents) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].number < e[b].number
}
func (e worldEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *worldEvents) Push(x any)   { *e = append(*e, x.(worldEvent)) }
func (e *worldEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (w *world) after(pause time.Duration, do func()) {
	w.number++
	heap.Push(&w.events, worldEvent{at: w.now.Add(max(0, pause)), number: w.number, do: do})
}

// play replays the trace and returns what callers got, by kind.
func play(t *trace, options worldOptions) map[string]*tally {
	w := &world{
		options: options, now: worldBegin, waiting: make(map[string][]*worldRequest), asked: make(map[string]time.Time), lines: NewRetrySchedule(), tallies: make(map[string]*tally),
	}
	for range options.servers {
		w.servers = append(w.servers, &worldServer{held: make(map[string]time.Time), disk: make(map[string]bool), running: make(map[string]int)})
	}
	w.preload(t)
	for _, arrival := range t.arrivals {
		w.after(arrival.at, func() { w.arrive(arrival) })
	}
	if options.loseAt > 0 {
		w.after(options.loseAt, w.lose)
	}
	if options.coldAt > 0 {
		w.after(options.coldAt, w.startAnew)
	}
	if options.limitAt > 0 {
		w.after(options.limitAt, w.limit)
	}
	end := worldBegin.Add(time.Minute)
	w.after(0, w.lead)
	for len(w.events) > 0 && w.now.Before(end) {
		event := heap.Pop(&w.events).(worldEvent)
		w.now = event.at
		event.do()
	}
	return w.tallies
}

// preload places the models by how often they are asked for, as calm times leave them.
func (w *world) preload(t *trace) {
	counts := make(map[string]int)
	for _, arrival := range t.arrivals {
		counts[arrival.model]++
	}
	models := make([]string, 0, len(counts))
	for model := range counts {
		models = append(models, model)
	}
	slices.SortFunc(models, func(a, b string) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a, b)) })
	places := len(w.servers) * worldPlaces
	for i := range places {
		if len(models) == 0 {
			return
		}
		s, model := w.servers[i%len(w.servers)], models[i%len(models)]
		s.held[model] = w.now
		s.disk[model] = true
	}
	for i, model := range models {
		w.servers[i%len(w.servers)].disk[model] = true
	}
}

func (w *world) lose() {
	for i, s := range w.servers {
		if i%3 == 0 {
			s.isGone = true
			w.requeue(s)
		}
	}
}

func (w *world) startAnew() {
	for _, s := range w.servers {
		clear(s.held)
		s.loading = ""
		s.coldTill = w.now.Add(w.options.coldFor)
		w.requeue(s)
	}
}

// limit lets a third of the servers name a rate limit.
func (w *world) limit() {
	for i, s := range w.servers {
		if i%3 == 0 {
			s.limitedTill = w.now.Add(w.options.limitFor)
			w.requeue(s)
		}
	}
}

// requeue lets what waits at a server that ended choose again; what ran there goes on,
// as on another one that has it from its caller.
func (w *world) requeue(s *worldServer) {
	queue := s.queue
	s.queue = nil
	for _, r := range queue {
		w.after(0, func() { w.pick(r) })
	}
}

func (w *world) tally(kind *traceKind) *tally {
	known, ok := w.tallies[kind.name]
	if !ok {
		known = &tally{}
		w.tallies[kind.name] = known
	}
	return known
}

func (w *world) arrive(arrival traceArrival) {
	w.tally(arrival.kind).sent++
	r := &worldRequest{kind: arrival.kind, model: arrival.model, first: w.now}
	w.come(r)
}

func (w *world) come(r *worldRequest) {
	r.request = Request{
		Arrived: w.now, Deadline: r.first.Add(r.kind.deadline), Stream: true, LatencyGoal: r.kind.goal,
		NeedsModel: true, IsRetry: r.returned,
	}
	r.watch = OverdueTracker{}
	r.since = w.now
	w.asked[r.model] = w.now
	w.pick(r)
}

// pick sends the request to a server that holds its model, or decides on it.
func (w *world) pick(r *worldRequest) {
	if r.done {
		return
	}
	var best *worldServer
	for _, s := range w.servers {
		if _, ok := s.held[r.model]; !ok || s.isGone || !s.takesNow(w) || len(s.queue) >= worldQueue {
			continue
		}
		if best == nil || s.total+len(s.queue) < best.total+len(best.queue) {
			best = s
		}
	}
	if best != nil {
		w.leaveLine(r)
		best.took = append(best.took, w.now)
		best.queue = append(best.queue, r)
		w.serve(best)
		return
	}
	w.decide(r)
}

// takesNow reports whether a cold or limited server bears one more within the second.
func (s *worldServer) takesNow(w *world) bool {
	if !s.isBounded(w) {
		return true
	}
	s.took = slices.DeleteFunc(s.took, func(at time.Time) bool { return w.now.Sub(at) >= time.Second })
	if w.now.Before(s.limitedTill) {
		return len(s.took) < w.options.limitPerS
	}
	return len(s.took) < w.options.coldPerS
}

func (s *worldServer) isBounded(w *world) bool {
	return w.now.Before(s.coldTill) || w.now.Before(s.limitedTill)
}

// isAway reports whether the leader takes what the server holds for missing.
func (s *worldServer) isAway(w *world) bool {
	return s.isGone || w.now.Before(s.limitedTill) && !w.options.keepsLimited
}

func (w *world) leaveLine(r *worldRequest) {
	if !r.waits {
		return
	}
	r.waits = false
	w.waiting[r.model] = slices.DeleteFunc(w.waiting[r.model], func(other *worldRequest) bool { return other == r })
}

func (w *world) decide(r *worldRequest) {
	readyIn, announced := w.readyIn(r.model)
	expected := r.watch.Estimate(w.now, readyIn, announced)
	decision := Decide(w.now, r.request, State{}, expected)
	if w.options.keepAll && decision.Verdict == RefuseLoadTooSlow {
		decision.Verdict = KeepWaiting
	}
	tally := w.tally(r.kind)
	switch decision.Verdict {
	case KeepWaiting:
		if !r.waits {
			r.waits = true
			w.waiting[r.model] = append(w.waiting[r.model], r)
		}
		w.after(RecheckDelay(w.now, r.since, r.request, expected), func() {
			if r.waits {
				w.pick(r)
			}
		})
		return
	case RefuseLoadTooSlow:
		w.leaveLine(r)
		back := w.lines.RetryAfter(w.now, r.model, r.kind.priority, decision.ReadyIn)
		if !r.returned && w.now.Add(back).Before(r.request.Deadline) {
			r.returned = true
			w.after(back, func() { w.come(r) })
			return
		}
		if w.now.Sub(r.request.Arrived) <= AnnouncementGracePeriod+worldPeriod {
			tally.refusedAtOnce++
		} else {
			tally.refusedLater++
		}
	default:
		w.leaveLine(r)
		tally.gaveUp++
	}
	r.done = true
}

// readyIn is what the leader says of a model, or a guess.
func (w *world) readyIn(model string) (time.Duration, bool) {
	nearest := CopyInStore
	for _, s := range w.servers {
		if s.isGone {
			continue
		}
		if _, ok := s.held[model]; ok && s.isBounded(w) && len(s.took) > 0 {
			return time.Second - w.now.Sub(s.took[0]), true
		}
		if s.loading == model {
			said := time.Duration(float64(s.ready.Sub(w.now)) / worldLate)
			return max(0, said), true
		}
		if s.disk[model] {
			nearest = CopyOnDisk
		}
	}
	return EstimateLoad(0, nearest, worldTimes), false
}

func (w *world) rankOf(r *worldRequest) float64 {
	if w.options.rank != nil {
		return w.options.rank(r)
	}
	return float64(Rank(r.kind.priority, r.returned))
}

// serve starts what a server has free slots for.
func (w *world) serve(s *worldServer) {
	sort.SliceStable(s.queue, func(a, b int) bool { return w.rankOf(s.queue[a]) < w.rankOf(s.queue[b]) })
	for len(s.queue) > 0 && s.total < worldSlots {
		r := s.queue[0]
		s.queue = s.queue[1:]
		if w.now.After(r.request.Deadline) {
			w.tally(r.kind).gaveUp++
			r.done = true
			continue
		}
		w.start(s, r)
	}
}

func (w *world) start(s *worldServer, r *worldRequest) {
	s.total++
	s.running[r.model]++
	s.held[r.model] = w.now
	r.done = true
	if w.now.Add(worldFirst).Sub(r.first) <= r.kind.goal {
		w.tally(r.kind).inTime++
	} else {
		w.tally(r.kind).late++
	}
	w.after(r.kind.work, func() {
		s.total--
		s.running[r.model]--
		if !s.isGone {
			w.serve(s)
		}
	})
}

// worldInterest is how long a model that was asked for is loaded though nobody waits.
const worldInterest = 3 * time.Second

// lead loads what is waited for, the longest line first, and then what was asked for.
func (w *world) lead() {
	loads := 0
	for _, s := range w.servers {
		if s.loading != "" && !s.disk[s.loading] {
			loads++
		}
	}
	models := make([]string, 0, len(w.waiting))
	for model, at := range w.asked {
		if len(w.waiting[model]) > 0 || w.now.Sub(at) < worldInterest {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(w.waiting[b]), len(w.waiting[a])), strings.Compare(a, b))
	})
	for _, model := range models {
		if w.load(model, loads < worldLoads) {
			loads++
		}
	}
	w.after(worldPeriod, w.lead)
}

// load begins a load of the model where a server has room for it, and reports whether
// it is one from the weight store.
func (w *world) load(model string, mayAskStore bool) (fromStore bool) {
	var best *worldServer
	for _, s := range w.servers {
		if s.isAway(w) {
			continue
		}
		if _, ok := s.held[model]; ok || s.loading == model {
			return false
		}
		if s.loading != "" || len(s.held) >= worldPlaces && s.idle() == "" {
			continue
		}
		if best == nil || s.disk[model] && !best.disk[model] {
			best = s
		}
	}
	if best == nil || !best.disk[model] && !mayAskStore {
		return false
	}
	if len(best.held) >= worldPlaces {
		delete(best.held, best.idle())
	}
	takes := worldTimes.Store
	fromStore = !best.disk[model]
	if !fromStore {
		takes = worldTimes.Disk
	}
	best.loading = model
	best.ready = w.now.Add(time.Duration(float64(takes) * worldLate))
	w.after(best.ready.Sub(w.now), func() {
		if best.isGone || best.loading != model {
			return
		}
		best.loading = ""
		best.held[model] = w.now
		best.disk[model] = true
		for _, r := range slices.Clone(w.waiting[model]) {
			w.pick(r)
		}
	})
	return fromStore
}

// idle is the model that was used longest ago and runs nothing; empty where all run.
func (s *worldServer) idle() string {
	oldest := ""
	for model, used := range s.held {
		if s.running[model] > 0 || slices.ContainsFunc(s.queue, func(r *worldRequest) bool { return r.model == model }) {
			continue
		}
		if oldest == "" || used.Before(s.held[oldest]) || used.Equal(s.held[oldest]) && model < oldest {
			oldest = model
		}
	}
	return oldest
}

func (t tally) String() string {
	return fmt.Sprintf("sent %d, in time %.3f, late %.3f, refused at once %.3f, refused later %.3f, gave up %.3f", t.sent,
		t.inTimeShare(), float64(t.late)/float64(t.sent), float64(t.refusedAtOnce)/float64(t.sent),
		float64(t.refusedLater)/float64(t.sent), float64(t.gaveUp)/float64(t.sent))
}
