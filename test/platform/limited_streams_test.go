package platform

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"
)

const (
	// limitedServerRate is what a server names as its limit, in requests a second.
	limitedServerRate = 8
	// limitedRunTime is how long new streams begin in a case.
	limitedRunTime = 8 * time.Second
	// takenUpEvery is how many new streams come for each one that its caller leaves and takes up again.
	takenUpEvery = 6
	// goesOnShare is the share of taken-up streams that have to go on, relative to the share of new
	// streams that begin.
	goesOnShare = 0.9
)

// limitedRun counts what became of the streams of one case.
type limitedRun struct {
	mu                            sync.Mutex
	sent, began                   int
	takenUp, continued            int
	joined                        []string
	newHeld, takenUpHeld, newWait []time.Duration
}

// play starts perSecond new streams a second at the nodes in turn. Every takenUpEvery-th is left after two
// events and taken up at another node at once. disrupt is called halfway.
func (r *limitedRun) play(f *versionedFleet, perSecond float64, disrupt func()) {
	var running sync.WaitGroup
	begin, isDisrupted := time.Now(), false
	for number := 0; time.Since(begin) < limitedRunTime; number++ {
		running.Go(func() { r.readOne(f, number) })
		if !isDisrupted && time.Since(begin) > limitedRunTime/2 {
			isDisrupted = true
			running.Go(disrupt)
		}
		time.Sleep(time.Until(begin.Add(time.Duration(float64(number+1) / perSecond * float64(time.Second)))))
	}
	running.Wait()
}

// readOne reads one new stream, and takes it up again if it was to be left.
func (r *limitedRun) readOne(f *versionedFleet, number int) {
	id, stopAfter := "limited-"+strconv.Itoa(number), 0
	if number%takenUpEvery == 0 {
		stopAfter = 2
	}
	stream := resumption{first: f.nodes[number%len(f.nodes)].readStream(id, resumablePath, stopAfter)}
	isTakenUp := stopAfter > 0 && stream.first.events >= stopAfter
	if isTakenUp {
		stream.second = f.nodes[(number+1)%len(f.nodes)].readStream(id+"-2", resumablePath, 0, "Last-Event-Id", stream.first.lastEvent, "Resumes", id)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	if stream.first.events > 0 {
		r.began++
		r.newWait = append(r.newWait, stream.first.took)
	} else {
		r.newHeld = append(r.newHeld, stream.first.took)
	}
	if !isTakenUp {
		return
	}
	r.takenUp++
	switch {
	case stream.joinsVersions():
		r.joined = append(r.joined, fmt.Sprintf("%s: %v, then %v", id, stream.first.versions, stream.second.versions))
	case stream.second.isWhole:
		r.continued++
	default:
		r.takenUpHeld = append(r.takenUpHeld, stream.second.took)
	}
}

// median returns the middle one of some durations; 0 of none.
func median(durations []time.Duration) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	return slices.Sorted(slices.Values(durations))[len(durations)/2].Round(time.Millisecond)
}

// restartResetting restarts all servers under their IDs at the other version.
func (f *versionedFleet) restartResetting() {
	for _, m := range f.servers {
		f.restartServer(m)
	}
}

// restartInTurn restarts half of the servers one after the other.
func (f *versionedFleet) restartInTurn() {
	for _, m := range f.servers[:len(f.servers)/2] {
		f.restartServer(m)
		time.Sleep(contactTime / 3)
	}
}

// restartServer restarts a server under its ID at the other version. No request that reached one start is
// answered by the next.
func (f *versionedFleet) restartServer(m *modelServer) {
	m.set(func() { m.isDown = true })
	m.httpServer.CloseClientConnections()
	m.set(func() {
		m.version = map[string]string{"v1": "v1.1", "v1.1": "v1"}[m.version]
		m.startID++
		m.isDown = false
	})
	m.register(f.store, "ready")
}

// TestStreamsGoOnWhereServersNameALimit guards against streams that are refused more often than new ones
// where servers of two software versions name a limit: a stream that went on needed two admissions in a
// row, and a new one needed one.
func TestStreamsGoOnWhereServersNameALimit(t *testing.T) {
	t.Parallel()
	cases := map[string]limitedCase{
		"below the limit":         {demand: 0.6},
		"a little over the limit": {demand: 1.4},
		"three times the limit":   {demand: 3},
		"a low limit":             {limit: 2, demand: 1.4},
		"connections are reset":   {demand: 1.4, disrupt: (*versionedFleet).resetConnections},
		"a node is killed":        {demand: 0.6, disrupt: func(f *versionedFleet) { f.nodes[3].kill(); f.nodes[3].start() }},
		"servers start in turn":   {demand: 0.6, disrupt: (*versionedFleet).restartInTurn},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := c.play(t)
			run.checkVersions(t)
			run.checkShare(t, goesOnShare)
		})
	}
}

// TestStreamsKeepTheirVersionWhereLimitedServersStartAgain guards against streams that hold events of two
// software versions: a question for a server's start that its limit did not admit was taken for one to a
// server that is down.
func TestStreamsKeepTheirVersionWhereLimitedServersStartAgain(t *testing.T) {
	t.Parallel()
	run := limitedCase{demand: 1.4, disrupt: (*versionedFleet).restartResetting}.play(t)
	run.checkVersions(t)
	run.checkShare(t, continuedShare)
}

// TestStreamsGoOnWhereLimitedServersStartAgain guards against refusing streams that begin before anybody
// knows that their servers started again.
func TestStreamsGoOnWhereLimitedServersStartAgain(t *testing.T) {
	t.Parallel()
	limitedCase{demand: 1.4, disrupt: (*versionedFleet).restartResetting}.play(t).checkShare(t, goesOnShare)
}

// drawnLimits are the limits and demands of TestDrawnLimitsBesideReleases.
var (
	drawnServerLimits = []float64{2, 8}
	drawnDemands      = []float64{0.3, 0.6, 1, 1.4, 3}
)

// TestDrawnLimitsBesideReleases draws limits, demands and disruptions beside servers of two software versions:
// no stream holds events of both, and those that are taken up go on at least half as often as new ones begin.
func TestDrawnLimitsBesideReleases(t *testing.T) {
	t.Parallel()
	for seed := range uint64(*drawnSeeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0x11417))
			c := limitedCase{limit: drawnServerLimits[random.IntN(len(drawnServerLimits))], demand: drawnDemands[random.IntN(len(drawnDemands))]}
			var done []string
			c.disrupt = func(f *versionedFleet) { done = f.disruptDrawn(random) }
			run := c.play(t)
			t.Logf("limit %v, demand %v: %v", c.limit, c.demand, done)
			run.checkVersions(t)
			run.checkShare(t, continuedShare)
		})
	}
}

// drawnSeeds is how many schedules each test plays that draws them from a seed given here.
var drawnSeeds = flag.Int("drawn.seeds", 4, "drawn schedules of a test")

// disruptDrawn carries out drawn disruptions one after the other, and returns them.
func (f *versionedFleet) disruptDrawn(random *rand.Rand) (done []string) {
	const disruptions = 4
	for range disruptions {
		m, n := f.servers[random.IntN(len(f.servers))], f.nodes[random.IntN(len(f.nodes))]
		switch random.IntN(5) {
		case 0:
			done = append(done, "all connections reset")
			f.resetConnections()
		case 1, 2:
			done = append(done, m.id+" starts again")
			f.restartServer(m)
		case 3:
			done = append(done, n.name+" is killed")
			n.kill()
			n.start()
		default:
			done = append(done, n.name+" stops")
			n.stop()
			n.start()
		}
		time.Sleep(time.Duration(200+random.IntN(600)) * time.Millisecond)
	}
	return done
}

// limitedCase is a load of streams on servers of two software versions that name a limit.
type limitedCase struct {
	// limit is that of each server, limitedServerRate if not set; demand is relative to that of all.
	limit, demand float64
	// disrupt is called halfway; nil disrupts nothing.
	disrupt func(f *versionedFleet)
}

// play plays the case.
func (c limitedCase) play(t *testing.T) *limitedRun {
	t.Helper()
	f, limit := newVersionedFleet(t), cmp.Or(c.limit, limitedServerRate)
	for _, m := range f.servers {
		m.setRateLimit(limit)
	}
	f.readSome(40)
	time.Sleep(limitSettleTime)
	begin, run := time.Now(), &limitedRun{}
	run.play(f, c.demand*limit*float64(len(f.servers)), func() {
		if c.disrupt != nil {
			c.disrupt(f)
		}
	})
	t.Logf("%d new, %d began after %v, others held for %v; %d taken up, %d went on, others held for %v; %d joined",
		run.sent, run.began, median(run.newWait), median(run.newHeld), run.takenUp, run.continued, median(run.takenUpHeld), len(run.joined))
	f.checkLimits(t, begin, limit)
	return run
}

// readSome reads streams at all nodes, so that these learn what the servers name.
func (f *versionedFleet) readSome(count int) {
	for i := range count {
		f.nodes[i%len(f.nodes)].readStream(fmt.Sprint("before-", i), resumablePath, 0)
	}
}

// resetConnections resets all connections of the servers.
func (f *versionedFleet) resetConnections() {
	for _, m := range f.servers {
		m.httpServer.CloseClientConnections()
	}
}

// checkVersions reports streams that hold events of two software versions.
func (r *limitedRun) checkVersions(t *testing.T) {
	t.Helper()
	for _, joined := range r.joined {
		t.Errorf("a stream holds events of two software versions: %s", joined)
	}
}

// checkShare reports if the share of taken-up streams that went on, relative to the share of new ones that
// began, is below the wanted one.
func (r *limitedRun) checkShare(t *testing.T, wanted float64) {
	t.Helper()
	if r.takenUp == 0 || float64(r.continued)*float64(r.sent) < wanted*float64(r.takenUp)*float64(r.began) {
		t.Errorf("%d of %d streams that were taken up went on, %d of %d new ones began", r.continued, r.takenUp, r.began, r.sent)
	}
}

// byStart sorts the contacts of a server by its starts: each has a limit of its own.
func byStart(contacts []contact) map[int64][]contact {
	starts := make(map[int64][]contact)
	for _, one := range contacts {
		starts[one.startID] = append(starts[one.startID], one)
	}
	return starts
}

// checkLimits reports starts of servers that got more than their limit allows.
func (f *versionedFleet) checkLimits(t *testing.T, since time.Time, limit float64) {
	t.Helper()
	calls := make(map[string]int)
	for _, m := range f.servers {
		contacts := m.contactsSince(since)
		for path, count := range countPaths(contacts) {
			calls[path] += count
		}
		for startID, contacts := range byStart(contacts) {
			// Until then not all nodes need to know the limit of a start.
			settled := contacts[0].at.Add(limitSettleTime)
			contacts = slices.DeleteFunc(contacts, func(c contact) bool { return c.at.Before(settled) })
			if busiest := busiestWindow(contacts); len(busiest) > allowedInWindow(limit) {
				t.Errorf("start %d of %s got %d calls within %v, %d are allowed: %v",
					startID, m.id, len(busiest), limitWindow, allowedInWindow(limit), countPaths(busiest))
			}
		}
	}
	t.Logf("calls: %v", calls)
}
