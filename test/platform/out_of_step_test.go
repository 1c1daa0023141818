package platform

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// outOfStepTime is how long a node hears nothing of a release.
	outOfStepTime = 2500 * time.Millisecond
	// recordTime is the time after which the other nodes use a version that has joined.
	recordTime = 1500 * time.Millisecond
	// releasedStreams is the number of streams that begin through the other nodes: before the release, right after
	// it, and once its version is used, as many each.
	releasedStreams = 60
)

// outOfStep is a way in which a node hears nothing for a while.
type outOfStep struct {
	name string
	// from and until begin and end it.
	from, until func(f *versionedFleet, n *node)
}

// blockedLink passes nothing either way.
var blockedLink = fault{blockTo: true, blockFrom: true}

// setPeerLinks sets the links between the node and its peers.
func (f *versionedFleet) setPeerLinks(n *node, state fault) {
	n.peerProxy.set(anySender, state)
	for _, other := range f.nodes {
		if other != n {
			other.peerProxy.set(n.ip, state)
		}
	}
}

func waysOutOfStep() []outOfStep {
	peers := func(state fault) func(*versionedFleet, *node) {
		return func(f *versionedFleet, n *node) { f.setPeerLinks(n, state) }
	}
	store := func(state fault) func(*versionedFleet, *node) {
		return func(_ *versionedFleet, n *node) { n.storeProxy.set(anySender, state) }
	}
	both := func(state fault) func(*versionedFleet, *node) {
		return func(f *versionedFleet, n *node) { peers(state)(f, n); store(state)(f, n) }
	}
	signal := func(s syscall.Signal) func(*versionedFleet, *node) {
		return func(_ *versionedFleet, n *node) { n.signal(s) }
	}
	return []outOfStep{
		{"paused", signal(syscall.SIGSTOP), signal(syscall.SIGCONT)},
		{"cut off from peers and store", both(blockedLink), both(fault{})},
		{"cut off from peers", peers(blockedLink), peers(fault{})},
		{"cut off from the store", store(blockedLink), store(fault{})},
		{"not heard by peers", peers(fault{blockFrom: true}), peers(fault{})},
	}
}

// TestStreamsOfAReleaseAreNotJoinedAtANodeOutOfStep guards against streams that begin at servers of a new software
// version, are taken up at a node that has not heard of that version, and go on at another one.
func TestStreamsOfAReleaseAreNotJoinedAtANodeOutOfStep(t *testing.T) {
	t.Parallel()
	releases := map[string]func(f *versionedFleet){
		"new servers": func(f *versionedFleet) {
			for number := range 4 {
				f.addServer(fmt.Sprint("new-", number), "v1.1")
			}
		},
		"restarted servers": func(f *versionedFleet) { f.joinLoaded("v1.1", f.servers[:2]) },
	}
	for _, way := range waysOutOfStep() {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			for name, release := range releases {
				for _, isMeanwhile := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, taken up meanwhile: %v", name, isMeanwhile), func(t *testing.T) {
						f := newReleaseFleet(t)
						f.judgeRelease(f.release(way, release, isMeanwhile))
					})
				}
			}
		})
	}
}

// newReleaseFleet starts nodes with proxies before servers of one version.
func newReleaseFleet(t *testing.T) *versionedFleet {
	t.Helper()
	f := &versionedFleet{fleet: newFleetWithOptions(t, fleetOptions{count: 4, seeds: `"127.0.0.1:1", "127.0.0.2:1"`, hasProxies: true})}
	for number := range 4 {
		f.addServer("i-"+strconv.Itoa(number), "v1")
	}
	f.putResumableRoute()
	eventually(t, "a node leads", func() bool {
		return slices.ContainsFunc(f.nodes, func(n *node) bool { return strings.Contains(n.log(), "event=lease_taken") })
	})
	time.Sleep(checkpointTime)
	return f
}

// release runs a release while the last node is out of step. Streams that begin through the others are taken up at it.
func (f *versionedFleet) release(way outOfStep, release func(f *versionedFleet), isMeanwhile bool) []resumption {
	last := f.nodes[len(f.nodes)-1]
	streams := make([]resumption, releasedStreams)
	begin := func(from, to int) {
		f.each(to-from, func(i int) {
			i += from
			streams[i].first = f.nodes[i%(len(f.nodes)-1)].readStream(streamID("release", i, 1), resumablePath, 2)
		})
	}
	var taken sync.WaitGroup
	takeUp := func(from, to int) {
		f.each(to-from, func(i int) {
			i += from
			streams[i].second = last.readStream(streamID("release", i, 2), resumablePath, 0,
				"Last-Event-Id", streams[i].first.lastEvent, "Resumes", streamID("release", i, 1))
		})
	}
	begin(0, len(streams)/3)
	way.from(f, last)
	began := time.Now()
	release(f)
	begin(len(streams)/3, len(streams)*2/3)
	if isMeanwhile {
		taken.Go(func() { takeUp(0, len(streams)*2/3) })
	}
	time.Sleep(time.Until(began.Add(recordTime)))
	begin(len(streams)*2/3, len(streams))
	if isMeanwhile {
		taken.Go(func() { takeUp(len(streams)*2/3, len(streams)) })
	}
	time.Sleep(time.Until(began.Add(outOfStepTime)))
	way.until(f, last)
	if !isMeanwhile {
		takeUp(0, len(streams))
	}
	taken.Wait()
	return streams
}

// judgeRelease checks that no stream holds events of two versions.
func (f *versionedFleet) judgeRelease(streams []resumption) {
	f.t.Helper()
	begun, byNew, joined, continued := 0, 0, 0, 0
	for i, s := range streams {
		if s.first.events == 2 {
			begun++
		}
		if s.first.versions["v1.1"] {
			byNew++
		}
		switch {
		case s.joinsVersions():
			joined++
			f.t.Errorf("stream %d holds events of %v and %v", i, s.first.versions, s.second.versions)
		case s.second.isWhole:
			continued++
		}
	}
	f.t.Logf("%d begun, %d of them at v1.1, %d joined, %d went on", begun, byNew, joined, continued)
	if begun < len(streams)/2 {
		f.t.Errorf("%d streams begun", begun)
	}
}
