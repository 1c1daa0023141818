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

// Parameters of the simulation in which traces are replayed. It consists of servers that each
// hold a few models and run a few requests at a time, a leader that loads the models that
// requests wait for, and callers that retry once. All of them use a virtual clock.
const (
	slotsPerServer = 4
	// maxServerQueue is the number of requests that a server queues, ordered by rank.
	maxServerQueue = 12
	// modelsPerServer is the number of models that a server keeps loaded.
	modelsPerServer = 3
	// maxStoreLoads is the number of concurrent loads from the weight store.
	maxStoreLoads = 4
	// leaderInterval is the time between two runs of the leader.
	leaderInterval = 50 * time.Millisecond
	// loadOverrun is the ratio of actual to announced load times.
	loadOverrun = 1.1
	// firstEventTime is the time from the start of a request to its first event.
	firstEventTime = 40 * time.Millisecond
)

var simLoadTimes = LoadTimes{Store: 6 * time.Second, Disk: 1700 * time.Millisecond, Memory: 600 * time.Millisecond}

var simStart = time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)

// simRequest is one caller's request, which may be submitted twice.
type simRequest struct {
	kind         *traceKind
	model        string
	firstArrived time.Time
	request      Request
	tracker      OverdueTracker
	waitingSince time.Time
	isWaiting    bool
	isRetry      bool
	isDone       bool
}

type simServer struct {
	models map[string]time.Time // time of the last use of each loaded model
	onDisk map[string]bool
	// running is the number of running requests by model, total their sum.
	running  map[string]int
	total    int
	queue    []*simRequest
	loading  string
	loadedAt time.Time
	isGone   bool
	// Until coldUntil the server accepts coldRate requests a second, and until limitedUntil
	// limitRate.
	coldUntil, limitedUntil time.Time
	acceptedAt              []time.Time
}

// outcomes counts the requests of a kind by outcome.
type outcomes struct {
	sent, onTime, late, refusedImmediately, refusedAfterWait, timedOut int
}

func (o outcomes) servedShare() float64 { return float64(o.onTime+o.late) / float64(max(1, o.sent)) }
func (o outcomes) onTimeShare() float64 {
	return float64(o.onTime) / float64(max(1, o.sent))
}

// simOptions configure the servers and the events other than arrivals.
type simOptions struct {
	servers int
	// failAt, if set, is when a third of the servers is lost.
	failAt time.Duration
	// restartAt, if set, is when all servers restart: they have no model loaded, keep their
	// disks and accept coldRate requests a second for coldFor.
	restartAt, coldFor time.Duration
	coldRate           int
	// limitAt, if set, is when a third of the servers is limited to limitRate requests a
	// second for limitFor. Their models are loaded on other servers unless
	// countsLimitedCopies is set.
	limitAt, limitFor   time.Duration
	limitRate           int
	countsLimitedCopies bool
	// rank orders the requests at a server; nil means Rank.
	rank func(r *simRequest) float64
	// neverRefuse overrides Decide and keeps all requests until their deadline.
	neverRefuse bool
}

type simulation struct {
	options      simOptions
	now          time.Time
	events       simEvents
	nextSequence int
	servers      []*simServer
	waiting      map[string][]*simRequest
	// lastRequested is the time of the last request for each model, including refused ones:
	// the leader counts these, too.
	lastRequested map[string]time.Time
	retries       *RetrySchedule
	results       map[string]*outcomes
}

type simEvent struct {
	at       time.Time
	sequence int
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].sequence < e[b].sequence
}
func (e simEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (sim *simulation) schedule(delay time.Duration, run func()) {
	sim.nextSequence++
	heap.Push(&sim.events, simEvent{at: sim.now.Add(max(0, delay)), sequence: sim.nextSequence, run: run})
}

// replay runs the trace through a simulation and returns the outcomes by kind.
func replay(input *trace, options simOptions) map[string]*outcomes {
	sim := &simulation{
		options: options, now: simStart, waiting: make(map[string][]*simRequest), lastRequested: make(map[string]time.Time), retries: NewRetrySchedule(), results: make(map[string]*outcomes),
	}
	for range options.servers {
		sim.servers = append(sim.servers, &simServer{models: make(map[string]time.Time), onDisk: make(map[string]bool), running: make(map[string]int)})
	}
	sim.placeModels(input)
	for _, arrival := range input.arrivals {
		sim.schedule(arrival.at, func() { sim.arrive(arrival) })
	}
	if options.failAt > 0 {
		sim.schedule(options.failAt, sim.failServers)
	}
	if options.restartAt > 0 {
		sim.schedule(options.restartAt, sim.restartServers)
	}
	if options.limitAt > 0 {
		sim.schedule(options.limitAt, sim.limitServers)
	}
	end := simStart.Add(time.Minute)
	sim.schedule(0, sim.runLeader)
	for len(sim.events) > 0 && sim.now.Before(end) {
		event := heap.Pop(&sim.events).(simEvent)
		sim.now = event.at
		event.run()
	}
	return sim.results
}

// placeModels distributes the models by request frequency, which is the state after a period of
// low load.
func (sim *simulation) placeModels(input *trace) {
	counts := make(map[string]int)
	for _, arrival := range input.arrivals {
		counts[arrival.model]++
	}
	models := make([]string, 0, len(counts))
	for model := range counts {
		models = append(models, model)
	}
	slices.SortFunc(models, func(a, b string) int { return cmp.Or(cmp.Compare(counts[b], counts[a]), strings.Compare(a, b)) })
	slots := len(sim.servers) * modelsPerServer
	for i := range slots {
		if len(models) == 0 {
			return
		}
		server, model := sim.servers[i%len(sim.servers)], models[i%len(models)]
		server.models[model] = sim.now
		server.onDisk[model] = true
	}
	for i, model := range models {
		sim.servers[i%len(sim.servers)].onDisk[model] = true
	}
}

func (sim *simulation) failServers() {
	for i, s := range sim.servers {
		if i%3 == 0 {
			s.isGone = true
			sim.requeue(s)
		}
	}
}

func (sim *simulation) restartServers() {
	for _, s := range sim.servers {
		clear(s.models)
		s.loading = ""
		s.coldUntil = sim.now.Add(sim.options.coldFor)
		sim.requeue(s)
	}
}

// limitServers sets a rate limit on a third of the servers.
func (sim *simulation) limitServers() {
	for i, s := range sim.servers {
		if i%3 == 0 {
			s.limitedUntil = sim.now.Add(sim.options.limitFor)
			sim.requeue(s)
		}
	}
}

// requeue dispatches the requests queued at a server again. Running requests continue, as if
// they had been resumed on another server.
func (sim *simulation) requeue(s *simServer) {
	queue := s.queue
	s.queue = nil
	for _, r := range queue {
		sim.schedule(0, func() { sim.dispatch(r) })
	}
}

func (sim *simulation) outcomes(kind *traceKind) *outcomes {
	known, ok := sim.results[kind.name]
	if !ok {
		known = &outcomes{}
		sim.results[kind.name] = known
	}
	return known
}

func (sim *simulation) arrive(arrival traceArrival) {
	sim.outcomes(arrival.kind).sent++
	r := &simRequest{kind: arrival.kind, model: arrival.model, firstArrived: sim.now}
	sim.submit(r)
}

func (sim *simulation) submit(r *simRequest) {
	r.request = Request{
		Arrived: sim.now, Deadline: r.firstArrived.Add(r.kind.deadline), Stream: true, LatencyGoal: r.kind.goal,
		NeedsModel: true, IsRetry: r.isRetry,
	}
	r.tracker = OverdueTracker{}
	r.waitingSince = sim.now
	sim.lastRequested[r.model] = sim.now
	sim.dispatch(r)
}

// dispatch sends the request to the least loaded server that has its model, or else decides
// whether it waits.
func (sim *simulation) dispatch(r *simRequest) {
	if r.isDone {
		return
	}
	var best *simServer
	for _, s := range sim.servers {
		if _, ok := s.models[r.model]; !ok || s.isGone || !s.acceptsRequests(sim) || len(s.queue) >= maxServerQueue {
			continue
		}
		if best == nil || s.total+len(s.queue) < best.total+len(best.queue) {
			best = s
		}
	}
	if best != nil {
		sim.removeWaiting(r)
		best.acceptedAt = append(best.acceptedAt, sim.now)
		best.queue = append(best.queue, r)
		sim.serve(best)
		return
	}
	sim.decide(r)
}

// acceptsRequests reports whether the rate limit of a cold or limited server, if any, allows
// another request now.
func (s *simServer) acceptsRequests(sim *simulation) bool {
	if !s.isThrottled(sim) {
		return true
	}
	s.acceptedAt = slices.DeleteFunc(s.acceptedAt, func(at time.Time) bool { return sim.now.Sub(at) >= time.Second })
	if sim.now.Before(s.limitedUntil) {
		return len(s.acceptedAt) < sim.options.limitRate
	}
	return len(s.acceptedAt) < sim.options.coldRate
}

func (s *simServer) isThrottled(sim *simulation) bool {
	return sim.now.Before(s.coldUntil) || sim.now.Before(s.limitedUntil)
}

// isUnavailable reports whether the leader ignores the models loaded on the server.
func (s *simServer) isUnavailable(sim *simulation) bool {
	return s.isGone || sim.now.Before(s.limitedUntil) && !sim.options.countsLimitedCopies
}

func (sim *simulation) removeWaiting(r *simRequest) {
	if !r.isWaiting {
		return
	}
	r.isWaiting = false
	sim.waiting[r.model] = slices.DeleteFunc(sim.waiting[r.model], func(other *simRequest) bool { return other == r })
}

func (sim *simulation) decide(r *simRequest) {
	readyIn, announced := sim.readyIn(r.model)
	estimate := r.tracker.Estimate(sim.now, readyIn, announced)
	decision := Decide(sim.now, r.request, State{}, estimate)
	if sim.options.neverRefuse && decision.Verdict == RefuseLoadTooSlow {
		decision.Verdict = KeepWaiting
	}
	results := sim.outcomes(r.kind)
	switch decision.Verdict {
	case KeepWaiting:
		if !r.isWaiting {
			r.isWaiting = true
			sim.waiting[r.model] = append(sim.waiting[r.model], r)
		}
		sim.schedule(RecheckDelay(sim.now, r.waitingSince, r.request, estimate), func() {
			if r.isWaiting {
				sim.dispatch(r)
			}
		})
		return
	case RefuseLoadTooSlow:
		sim.removeWaiting(r)
		retryAfter := sim.retries.RetryAfter(sim.now, r.model, r.kind.priority, decision.ReadyIn)
		if !r.isRetry && sim.now.Add(retryAfter).Before(r.request.Deadline) {
			r.isRetry = true
			sim.schedule(retryAfter, func() { sim.submit(r) })
			return
		}
		if sim.now.Sub(r.request.Arrived) <= AnnouncementGracePeriod+leaderInterval {
			results.refusedImmediately++
		} else {
			results.refusedAfterWait++
		}
	default:
		sim.removeWaiting(r)
		results.timedOut++
	}
	r.isDone = true
}

// readyIn returns the announced time until the model is ready, or a local estimate.
func (sim *simulation) readyIn(model string) (time.Duration, bool) {
	nearest := CopyInStore
	for _, s := range sim.servers {
		if s.isGone {
			continue
		}
		if _, ok := s.models[model]; ok && s.isThrottled(sim) && len(s.acceptedAt) > 0 {
			return time.Second - sim.now.Sub(s.acceptedAt[0]), true
		}
		if s.loading == model {
			announced := time.Duration(float64(s.loadedAt.Sub(sim.now)) / loadOverrun)
			return max(0, announced), true
		}
		if s.onDisk[model] {
			nearest = CopyOnDisk
		}
	}
	return EstimateLoad(0, nearest, simLoadTimes), false
}

func (sim *simulation) rankOf(r *simRequest) float64 {
	if sim.options.rank != nil {
		return sim.options.rank(r)
	}
	return float64(Rank(r.kind.priority, r.isRetry))
}

// serve starts queued requests while the server has free slots.
func (sim *simulation) serve(s *simServer) {
	sort.SliceStable(s.queue, func(a, b int) bool { return sim.rankOf(s.queue[a]) < sim.rankOf(s.queue[b]) })
	for len(s.queue) > 0 && s.total < slotsPerServer {
		r := s.queue[0]
		s.queue = s.queue[1:]
		if sim.now.After(r.request.Deadline) {
			sim.outcomes(r.kind).timedOut++
			r.isDone = true
			continue
		}
		sim.start(s, r)
	}
}

func (sim *simulation) start(s *simServer, r *simRequest) {
	s.total++
	s.running[r.model]++
	s.models[r.model] = sim.now
	r.isDone = true
	if sim.now.Add(firstEventTime).Sub(r.firstArrived) <= r.kind.goal {
		sim.outcomes(r.kind).onTime++
	} else {
		sim.outcomes(r.kind).late++
	}
	sim.schedule(r.kind.work, func() {
		s.total--
		s.running[r.model]--
		if !s.isGone {
			sim.serve(s)
		}
	})
}

// recentRequestWindow is how long after its last request a model is still loaded although no
// request waits for it.
const recentRequestWindow = 3 * time.Second

// runLeader loads the models that requests wait for, those with the most waiting requests first,
// and then recently requested models.
func (sim *simulation) runLeader() {
	loads := 0
	for _, s := range sim.servers {
		if s.loading != "" && !s.onDisk[s.loading] {
			loads++
		}
	}
	models := make([]string, 0, len(sim.waiting))
	for model, at := range sim.lastRequested {
		if len(sim.waiting[model]) > 0 || sim.now.Sub(at) < recentRequestWindow {
			models = append(models, model)
		}
	}
	slices.SortFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(sim.waiting[b]), len(sim.waiting[a])), strings.Compare(a, b))
	})
	for _, model := range models {
		if sim.load(model, loads < maxStoreLoads) {
			loads++
		}
	}
	sim.schedule(leaderInterval, sim.runLeader)
}

// load begins to load the model if a server has room for it, and reports whether the load is
// from the weight store.
func (sim *simulation) load(model string, mayLoadFromStore bool) (fromStore bool) {
	var best *simServer
	for _, s := range sim.servers {
		if s.isUnavailable(sim) {
			continue
		}
		if _, ok := s.models[model]; ok || s.loading == model {
			return false
		}
		if s.loading != "" || len(s.models) >= modelsPerServer && s.leastRecentlyUsed() == "" {
			continue
		}
		if best == nil || s.onDisk[model] && !best.onDisk[model] {
			best = s
		}
	}
	if best == nil || !best.onDisk[model] && !mayLoadFromStore {
		return false
	}
	if len(best.models) >= modelsPerServer {
		delete(best.models, best.leastRecentlyUsed())
	}
	loadTime := simLoadTimes.Store
	fromStore = !best.onDisk[model]
	if !fromStore {
		loadTime = simLoadTimes.Disk
	}
	best.loading = model
	best.loadedAt = sim.now.Add(time.Duration(float64(loadTime) * loadOverrun))
	sim.schedule(best.loadedAt.Sub(sim.now), func() {
		if best.isGone || best.loading != model {
			return
		}
		best.loading = ""
		best.models[model] = sim.now
		best.onDisk[model] = true
		for _, r := range slices.Clone(sim.waiting[model]) {
			sim.dispatch(r)
		}
	})
	return fromStore
}

// leastRecentlyUsed returns the least recently used model without running or queued requests;
// it is empty if there is none.
func (s *simServer) leastRecentlyUsed() string {
	oldest := ""
	for model, used := range s.models {
		if s.running[model] > 0 || slices.ContainsFunc(s.queue, func(r *simRequest) bool { return r.model == model }) {
			continue
		}
		if oldest == "" || used.Before(s.models[oldest]) || used.Equal(s.models[oldest]) && model < oldest {
			oldest = model
		}
	}
	return oldest
}

func (o outcomes) String() string {
	return fmt.Sprintf("sent %d, on time %.3f, late %.3f, refused immediately %.3f, refused after wait %.3f, timed out %.3f", o.sent,
		o.onTimeShare(), float64(o.late)/float64(o.sent), float64(o.refusedImmediately)/float64(o.sent),
		float64(o.refusedAfterWait)/float64(o.sent), float64(o.timedOut)/float64(o.sent))
}
