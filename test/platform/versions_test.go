package platform

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// maxJoinedStreams is the number of streams that may hold events of several software versions.
	maxJoinedStreams = 2
	// continuedShare is the share of taken-up streams that have to go on, relative to the share of
	// new streams that begin, while two servers of their version serve.
	continuedShare = 0.5
	// takenUpStreams is the number of streams of each case.
	takenUpStreams = 30
	// futileRefusalTime is the time within which a stream is refused that cannot go on.
	futileRefusalTime = time.Second
)

// streamAttempt is one attempt of a caller to read a stream.
type streamAttempt struct {
	status int
	// events counts the events read, and lastEvent is the ID of the last one.
	events    int
	lastEvent string
	// versions are the software versions that wrote the events.
	versions map[string]bool
	isWhole  bool
	took     time.Duration
}

// readStream sends a request for a stream to the node, and leaves after stopAfter events; 0 reads all.
func (n *node) readStream(id, path string, stopAfter int, headers ...string) (attempt streamAttempt) {
	begin := time.Now()
	attempt.versions = make(map[string]bool)
	defer func() { attempt.took = time.Since(begin) }()
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, n.fleet.ports[1], path), strings.NewReader("body"))
	if err != nil {
		return attempt
	}
	request.Host, request.Close = "host.example", true
	for name, value := range map[string]string{"Request-Id": id, "Deadline-Ms": "8000", "Model": "m1", "Token-Count": "100,20"} {
		request.Header.Set(name, value)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return attempt
	}
	defer response.Body.Close()
	attempt.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		return attempt
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if event, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			attempt.events, attempt.lastEvent = attempt.events+1, event
		}
		if fields := strings.Fields(lines.Text()); len(fields) == 4 && fields[0] == "data:" {
			attempt.versions[fields[3]] = true
		}
		if lines.Text() == "" && attempt.events == stopAfter {
			return attempt
		}
	}
	attempt.isWhole = lines.Err() == nil && attempt.lastEvent == "5"
	return attempt
}

// versionedFleet is a fleet whose servers of one service run two software versions.
type versionedFleet struct {
	*fleet
	servers []*modelServer
	// taken counts the calls of takeUp.
	taken int
}

const resumablePath = "/resumable/x"

func newVersionedFleet(t *testing.T) *versionedFleet {
	t.Helper()
	return newFleetOfVersions(t, "v1", "v1.1")
}

// newFleetOfVersions returns a fleet whose servers run the versions in turn.
func newFleetOfVersions(t *testing.T, versions ...string) *versionedFleet {
	t.Helper()
	f := &versionedFleet{fleet: newFleet(t, 4)}
	for i := range 6 {
		f.addServer(fmt.Sprintf("i-%d", i), versions[i%len(versions)])
	}
	f.putResumableRoute()
	return f
}

// addServer starts a server of the version that holds the model.
func (f *versionedFleet) addServer(id, version string) {
	m := newServer(f.t, f.store, id, "models", 50*time.Millisecond)
	m.version = version
	m.set(func() {
		m.models["m1"] = map[string]bool{}
		m.streamPause, m.startID = 20*time.Millisecond, time.Now().UnixMilli()
	})
	m.register(f.store, "ready")
	f.servers = append(f.servers, m)
}

// putResumableRoute makes the nodes serve resumable streams, and waits until they do.
func (f *versionedFleet) putResumableRoute() {
	f.t.Helper()
	f.store.put("config", "main", newConfig(1, map[string]any{
		"name": "resumable", "host": "host.example", "pathPrefix": "/resumable/", "type": "streaming", "resumable": true,
		"service": "models", "goalMs": 5000, "timeoutMs": 8000, "maxAttempts": 3, "sticky": true,
	}))
	f.awaitReady()
	for _, n := range f.nodes {
		eventually(f.t, n.name+" serves streams", func() bool { return n.readStream("warm-"+n.name, resumablePath, 0).isWhole })
	}
}

// resumption is a stream that its caller takes up again.
type resumption struct{ first, second streamAttempt }

func (r resumption) joinsVersions() bool {
	versions := make(map[string]bool)
	for _, attempt := range []streamAttempt{r.first, r.second} {
		for version := range attempt.versions {
			versions[version] = true
		}
	}
	return len(versions) > 1
}

// takeUp begins streams at the nodes, leaves each after two events, and takes it up again at another
// node after whatever meanwhile does.
func (f *versionedFleet) takeUp(firsts, seconds []*node, meanwhile func()) []resumption {
	streams := make([]resumption, takenUpStreams)
	f.taken++
	requestID := func(i, attempt int) string { return fmt.Sprintf("t%d-s%d-%d", f.taken, i, attempt) }
	f.eachStream(func(i int) { streams[i].first = firsts[i%len(firsts)].readStream(requestID(i, 1), resumablePath, 2) })
	meanwhile()
	f.eachStream(func(i int) {
		streams[i].second = seconds[(i+1)%len(seconds)].readStream(requestID(i, 2), resumablePath, 0,
			"Last-Event-Id", streams[i].first.lastEvent, "Resumes", requestID(i, 1))
	})
	return streams
}

// eachStream runs the function for each stream, a few at a time.
func (f *versionedFleet) eachStream(run func(i int)) { f.each(takenUpStreams, run) }

// each runs the function that many times, a few at a time.
func (f *versionedFleet) each(count int, run func(i int)) {
	var running sync.WaitGroup
	places := make(chan struct{}, 6)
	for i := range count {
		places <- struct{}{}
		running.Go(func() { run(i); <-places })
	}
	running.Wait()
}

// restartAll restarts the servers under their IDs, each with the other software version.
func (f *versionedFleet) restartAll() {
	for _, m := range f.servers {
		m.set(func() {
			m.version = map[string]string{"v1": "v1.1", "v1.1": "v1"}[m.version]
			m.startID++
		})
		m.register(f.store, "ready")
	}
	time.Sleep(contactTime)
}

// TestStreamsGoOnAtTheirSoftwareVersion guards against streams that hold events of servers of two
// software versions, and against refusing those that could go on.
func TestStreamsGoOnAtTheirSoftwareVersion(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		firsts, seconds []int
		meanwhile       func(f *versionedFleet)
		// canNotGoOn is set where no server of the streams' version is left, and goOn is the version of which
		// some are, if not all.
		canNotGoOn bool
		goOn       string
	}{
		"at the same node": {firsts: []int{0}, seconds: []int{0}},
		"at other nodes":   {firsts: []int{0, 1}, seconds: []int{2, 3}},
		"after their nodes were killed and started anew": {firsts: []int{0, 1}, seconds: []int{0, 1, 2, 3}, meanwhile: func(f *versionedFleet) {
			for _, n := range f.nodes[:2] {
				n.kill()
				n.start()
			}
			f.awaitReady()
		}},
		"after nodes stopped in turn": {firsts: []int{0, 1, 2, 3}, seconds: []int{0, 1, 2, 3}, meanwhile: func(f *versionedFleet) {
			for _, n := range f.nodes {
				n.stop()
				n.start()
				f.awaitReady()
			}
		}},
		"after nodes stopped in turn while those before them were stopping": {firsts: []int{0, 1, 2, 3}, seconds: []int{0, 1, 2, 3}, meanwhile: func(f *versionedFleet) {
			var restarted sync.WaitGroup
			for _, n := range f.nodes {
				restarted.Go(func() { n.stop(); n.start() })
				time.Sleep(overlappingStopGap)
			}
			restarted.Wait()
			f.awaitReady()
		}},
		"after all nodes lost power": {firsts: []int{0, 1, 2, 3}, seconds: []int{0, 1, 2, 3}, meanwhile: func(f *versionedFleet) {
			time.Sleep(checkpointTime)
			f.loseAllNodes(func() {})
		}},
		"after all nodes lost power once the other version had left": {firsts: []int{0, 1, 2, 3}, seconds: []int{0, 1, 2, 3}, goOn: "v1.1", meanwhile: func(f *versionedFleet) {
			time.Sleep(checkpointTime)
			f.leave("v1")
			f.loseAllNodes(func() {})
		}},
		"after all servers started again under their IDs at the other version": {firsts: []int{0, 1}, seconds: []int{2, 3}, meanwhile: (*versionedFleet).restartAll},
		"with no server of their version left": {firsts: []int{0, 1}, seconds: []int{2, 3}, canNotGoOn: true, meanwhile: func(f *versionedFleet) {
			for i, m := range f.servers {
				m.set(func() { m.version, m.startID = "v2", m.startID+1+int64(i) })
				m.register(f.store, "ready")
			}
			time.Sleep(contactTime)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionedFleet(t)
			pick := func(numbers []int) (nodes []*node) {
				for _, number := range numbers {
					nodes = append(nodes, f.nodes[number])
				}
				return nodes
			}
			streams := f.takeUp(pick(c.firsts), pick(c.seconds), func() {
				if c.meanwhile != nil {
					c.meanwhile(f)
				}
			})
			begun, joined, continued := 0, 0, 0
			for _, s := range streams {
				if s.first.events == 2 && (c.goOn == "" || s.first.versions[c.goOn]) {
					begun++
				}
				if s.joinsVersions() {
					joined++
				} else if s.second.isWhole {
					continued++
				}
				if c.canNotGoOn && s.second.took > futileRefusalTime {
					t.Errorf("a stream that cannot go on was held for %v", s.second.took)
				}
			}
			t.Logf("%d begun, %d joined, %d went on", begun, joined, continued)
			if joined > maxJoinedStreams {
				t.Errorf("%d of %d streams hold events of two software versions", joined, begun)
			}
			if !c.canNotGoOn && float64(continued) < continuedShare*float64(begun) {
				t.Errorf("%d of %d streams went on", continued, begun)
			}
		})
	}
}

// leave removes the servers of a version and their entries.
func (f *versionedFleet) leave(version string) {
	for _, m := range f.servers {
		if m.version == version {
			m.set(func() { m.isDown = true })
			f.store.remove("servers", m.id)
		}
	}
}

// loseAllNodes kills all nodes at once and starts them again after whatever meanwhile does.
func (f *versionedFleet) loseAllNodes(meanwhile func()) {
	var killed sync.WaitGroup
	for _, n := range f.nodes {
		killed.Go(n.kill)
	}
	killed.Wait()
	meanwhile()
	for _, n := range f.nodes {
		n.start()
	}
	f.awaitReady()
}

// TestStreamsAreNotJoinedAfterAllNodesLostPower guards against nodes that know of no other version once all
// processes are gone: they let streams of one that has left go on at the one that serves.
func TestStreamsAreNotJoinedAfterAllNodesLostPower(t *testing.T) {
	t.Parallel()
	cases := map[string]func(f *versionedFleet){
		"the older version has just left":             func(f *versionedFleet) { f.leave("v1"); f.loseAllNodes(func() {}) },
		"the older version leaves while no node runs": func(f *versionedFleet) { f.loseAllNodes(func() { f.leave("v1") }) },
		"all servers start again at a version that no node has seen": func(f *versionedFleet) {
			f.loseAllNodes(func() {
				for i, m := range f.servers {
					m.set(func() { m.version, m.startID = "v3", m.startID+1+int64(i) })
					m.register(f.store, "ready")
				}
			})
		},
	}
	for name, meanwhile := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionedFleet(t)
			begun, joined := 0, 0
			for _, s := range f.takeUp(f.nodes, f.nodes, func() { meanwhile(f) }) {
				if s.first.events == 2 {
					begun++
				}
				if s.joinsVersions() {
					joined++
				}
			}
			t.Logf("%d begun, %d joined", begun, joined)
			if begun < takenUpStreams/2 || joined > maxJoinedStreams {
				t.Errorf("%d of %d streams hold events of two software versions", joined, begun)
			}
		})
	}
}

// TestStreamsGoOnWhereAVersionJoinsWhileNoNodeRuns guards against refusing streams whose version serves on, as
// another one has come while no node ran: nobody knows which of the two began them.
func TestStreamsGoOnWhereAVersionJoinsWhileNoNodeRuns(t *testing.T) {
	t.Parallel()
	f := newFleetOfVersions(t, "v1")
	begun, joined, continued := 0, 0, 0
	streams := f.takeUp(f.nodes, f.nodes, func() {
		time.Sleep(checkpointTime)
		f.loseAllNodes(func() {
			for _, m := range f.servers[:3] {
				m.set(func() { m.version, m.startID = "v1.1", m.startID+1 })
				m.register(f.store, "ready")
			}
		})
	})
	for _, s := range streams {
		if s.first.events > 0 {
			begun++
		}
		if s.joinsVersions() {
			joined++
		} else if s.second.isWhole {
			continued++
		}
	}
	t.Logf("%d begun, %d joined, %d went on", begun, joined, continued)
	if joined > maxJoinedStreams || float64(continued) < continuedShare*float64(begun) {
		t.Errorf("%d of %d streams went on, %d joined versions", continued, begun, joined)
	}
}

// checkpointTime is the time within which nodes write to the store where streams began.
const checkpointTime = 700 * time.Millisecond

// overlappingStopGap is the time between two stops that is shorter than a stop.
const overlappingStopGap = 700 * time.Millisecond

// uncertainShare is the share of broken streams that have to come to their end while the servers of their
// version live, although nobody knows for sure which start of each lives.
const uncertainShare = 0.75

// TestStreamsGoOnAfterServersResetTheirConnections guards against taking servers for gone whose connections
// broke off once: no server of a version was left for the streams that it began, though all lived.
func TestStreamsGoOnAfterServersResetTheirConnections(t *testing.T) {
	t.Parallel()
	for name, pause := range map[string]time.Duration{"taken up after 50 ms": 50 * time.Millisecond, "taken up after 1 s": time.Second} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newVersionedFleet(t)
			for _, m := range f.servers {
				m.set(func() { m.streamPause = 200 * time.Millisecond })
			}
			streams := make([]resumption, takenUpStreams)
			var running sync.WaitGroup
			for i := range streams {
				running.Go(func() { streams[i] = f.readTwice(i, pause) })
			}
			time.Sleep(500 * time.Millisecond)
			for _, m := range f.servers {
				m.httpServer.CloseClientConnections()
			}
			running.Wait()
			begun, joined, ended := 0, 0, 0
			for _, s := range streams {
				if s.first.events == 0 {
					continue
				}
				begun++
				if s.joinsVersions() {
					joined++
				} else if s.first.isWhole || s.second.isWhole {
					ended++
				}
			}
			t.Logf("%d begun, %d joined, %d came to their end", begun, joined, ended)
			if begun < takenUpStreams/2 || joined > 0 || float64(ended) < uncertainShare*float64(begun) {
				t.Errorf("%d of %d streams came to their end, %d joined versions", ended, begun, joined)
			}
		})
	}
}

// readTwice reads a stream, and takes it up again at another node after the pause if it breaks off.
func (f *versionedFleet) readTwice(i int, pause time.Duration) (stream resumption) {
	id := fmt.Sprint("reset-", i)
	stream.first = f.nodes[i%len(f.nodes)].readStream(id, resumablePath, 0)
	if stream.first.isWhole || stream.first.events == 0 {
		return stream
	}
	time.Sleep(pause)
	stream.second = f.nodes[(i+1)%len(f.nodes)].readStream(id+"-2", resumablePath, 0, "Last-Event-Id", stream.first.lastEvent, "Resumes", id)
	return stream
}

// stop stops the node as planned.
func (n *node) stop() {
	n.signal(syscall.SIGTERM)
	<-n.exited
}

// drawnRelease is a schedule of disruptions, drawn from a seed, while servers of several software
// versions serve side by side.
type drawnRelease struct {
	*versionedFleet
	random                            *rand.Rand
	mu                                sync.Mutex
	begun, resumed, joined, continued int
}

// callStreams keeps reading streams until ctx ends. A caller whose stream breaks, or who leaves it,
// takes it up again at another node, up to three times.
func (r *drawnRelease) callStreams(ctx context.Context, caller int) {
	random := rand.New(rand.NewPCG(uint64(caller), 0x57))
	for number := 0; ctx.Err() == nil; number++ {
		id := fmt.Sprintf("d%d-%d", caller, number)
		stream := r.nodes[random.IntN(len(r.nodes))].readStream(id, resumablePath, random.IntN(4))
		versions, isWhole, attempts := stream.versions, stream.isWhole, 1
		isBegun := stream.lastEvent != ""
		for last := stream.lastEvent; isBegun && !isWhole && attempts < 4; attempts++ {
			again := r.nodes[random.IntN(len(r.nodes))].readStream(fmt.Sprint(id, "-", attempts), resumablePath, 0, "Last-Event-Id", last, "Resumes", id)
			for version := range again.versions {
				versions[version] = true
			}
			last, isWhole = cmp.Or(again.lastEvent, last), again.isWhole
			if !isWhole {
				time.Sleep(50 * time.Millisecond)
			}
		}
		r.count(isBegun, attempts > 1, len(versions) > 1, isWhole)
	}
}

func (r *drawnRelease) count(isBegun, isResumed, isJoined, isWhole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isBegun {
		r.begun++
	}
	if isResumed {
		r.resumed++
		if isWhole && !isJoined {
			r.continued++
		}
	}
	if isJoined {
		r.joined++
	}
}

// disrupt carries out one drawn disruption.
func (r *drawnRelease) disrupt() {
	m, n := r.drawServer(), r.nodes[r.random.IntN(len(r.nodes))]
	switch r.random.IntN(4) {
	case 0:
		r.restartServer(m)
	case 1:
		m.httpServer.CloseClientConnections()
	case 2:
		n.kill()
		n.start()
	default:
		n.stop()
		n.start()
	}
}

// TestDrawnReleasesKeepStreamsWhole draws releases, crashes, kills and planned stops of nodes beside
// callers that take their streams up again: no more than a few streams hold events of two software
// versions, and most of those that can go on do.
func TestDrawnReleasesKeepStreamsWhole(t *testing.T) {
	t.Parallel()
	const (
		callers       = 12
		disruptions   = 12
		betweenFaults = 400 * time.Millisecond
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := &drawnRelease{versionedFleet: newVersionedFleet(t), random: rand.New(rand.NewPCG(seed, 0x0e1ea5e))}
			ctx, stop := context.WithCancel(context.Background())
			var running sync.WaitGroup
			for caller := range callers {
				running.Go(func() { r.callStreams(ctx, caller) })
			}
			for range disruptions {
				r.disrupt()
				time.Sleep(betweenFaults)
			}
			stop()
			running.Wait()
			t.Logf("%d begun, %d taken up again, %d joined, %d went on", r.begun, r.resumed, r.joined, r.continued)
			if r.joined > maxJoinedStreams {
				t.Errorf("%d of %d streams hold events of two software versions", r.joined, r.begun)
			}
			if float64(r.continued) < continuedShare*float64(r.resumed) {
				t.Errorf("%d of %d streams that were taken up again went on", r.continued, r.resumed)
			}
		})
	}
}

// drawServer returns one of the servers.
func (r *drawnRelease) drawServer() *modelServer { return r.servers[r.random.IntN(len(r.servers))] }

// restartServer starts a server again under its ID, at a drawn version.
func (r *drawnRelease) restartServer(m *modelServer) { r.restartServerAt(m, r.drawVersion()) }

func (r *drawnRelease) drawVersion() string { return []string{"v1", "v1.1", "v1.2"}[r.random.IntN(3)] }

func (r *drawnRelease) restartServerAt(m *modelServer, version string) {
	m.set(func() { m.version, m.startID = version, m.startID+1 })
	m.httpServer.CloseClientConnections()
	m.register(r.store, "ready")
}

// moveServers starts some servers again at drawn versions, at times all of one version, so that it is gone, or
// all at one.
func (r *drawnRelease) moveServers() {
	switch version := r.drawServer().version; r.random.IntN(4) {
	case 0:
		for range r.random.IntN(4) {
			r.restartServer(r.drawServer())
		}
	case 1:
		for _, m := range r.servers {
			if m.version == version {
				r.restartServer(m)
			}
		}
	case 2:
		for _, m := range r.servers {
			r.restartServerAt(m, version)
		}
	}
}

// canGoOn reports whether two servers run a version that wrote the attempt's events.
func (r *drawnRelease) canGoOn(attempt streamAttempt) bool {
	serving := 0
	for _, m := range r.servers {
		if attempt.versions[m.version] {
			serving++
		}
	}
	return serving >= 2
}

// TestDrawnLossesOfAllNodesKeepStreamsWhole draws losses of all nodes beside releases: whatever changes before,
// during and after them, and however soon the next one comes, streams are not joined from two software versions.
func TestDrawnLossesOfAllNodesKeepStreamsWhole(t *testing.T) {
	t.Parallel()
	const (
		losses  = 4
		maxWait = time.Second
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			r := &drawnRelease{versionedFleet: newVersionedFleet(t), random: rand.New(rand.NewPCG(seed, 0xda2c))}
			wait := func() { time.Sleep(time.Duration(r.random.Int64N(int64(maxWait)))) }
			for range losses {
				streams := r.takeUp(r.nodes, r.nodes, func() {
					wait()
					r.moveServers()
					wait()
					r.loseAllNodes(r.moveServers)
				})
				for _, s := range streams {
					r.count(s.first.events > 0, r.canGoOn(s.first), s.joinsVersions(), s.second.isWhole)
				}
			}
			t.Logf("%d begun, %d joined, %d of %d whose version serves went on", r.begun, r.joined, r.continued, r.resumed)
			if r.begun < takenUpStreams || r.joined > maxJoinedStreams {
				t.Errorf("%d of %d streams hold events of two software versions", r.joined, r.begun)
			}
			if float64(r.continued) < continuedShare*float64(r.resumed) {
				t.Errorf("%d of %d streams whose version serves went on", r.continued, r.resumed)
			}
		})
	}
}
