package platform

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

// joinVersion restarts the servers under their IDs, without models, at the software version.
func (f *versionedFleet) joinVersion(version string, servers []*modelServer) {
	for _, m := range servers {
		m.httpServer.CloseClientConnections()
		m.set(func() { m.version = version })
		m.restart(f.store)
	}
}

func streamID(name string, stream, attempt int) string {
	return fmt.Sprintf("%s-s%d-%d", name, stream, attempt)
}

// joinLoaded restarts the servers as joinVersion does, with the models that they held.
func (f *versionedFleet) joinLoaded(version string, servers []*modelServer) {
	for _, m := range servers {
		m.httpServer.CloseClientConnections()
		m.set(func() { m.version, m.startID = version, m.startID+1 })
		m.register(f.store, "ready")
	}
}

// beginStreams reads the first two events of streams.
func (f *versionedFleet) beginStreams(name string) []resumption {
	streams := make([]resumption, takenUpStreams)
	f.eachStream(func(i int) {
		streams[i].first = f.nodes[i%len(f.nodes)].readStream(streamID(name, i, 1), resumablePath, 2)
	})
	return streams
}

// resumeStreams takes the streams up again at other nodes.
func (f *versionedFleet) resumeStreams(name string, streams []resumption) {
	f.eachStream(func(i int) {
		if i < len(streams) && streams[i].first.events > 0 {
			streams[i].second = f.nodes[(i+1)%len(f.nodes)].readStream(streamID(name, i, 2), resumablePath, 0,
				"Last-Event-Id", streams[i].first.lastEvent, "Resumes", streamID(name, i, 1))
		}
	})
}

// TestVersionsThatJoinAroundALossAreNotJoined guards against streams that are joined from two software versions, as
// one alone is taken to have served before all nodes were lost; and against refusing those that can go on.
func TestVersionsThatJoinAroundALossAreNotJoined(t *testing.T) {
	t.Parallel()
	// join makes another version join, before, while or after nodes are lost. It returns the streams that begin
	// meanwhile.
	cases := map[string]struct {
		join func(f *versionedFleet) []resumption
		// goOn is set where the streams that began before go on.
		goOn bool
	}{
		"nodes start one after the other": {goOn: true, join: func(f *versionedFleet) []resumption {
			f.loseNodes(f.nodes, func() { f.joinVersion("v1.1", f.servers[:3]) }, time.Second)
			return nil
		}},
		"a node survives": {join: func(f *versionedFleet) []resumption {
			f.loseNodes(f.nodes[1:], func() { f.joinVersion("v1.1", f.servers[:3]) }, 0)
			return nil
		}},
		"it joins 0.1 s before": {join: func(f *versionedFleet) []resumption {
			f.joinVersion("v1.1", f.servers[:3])
			time.Sleep(100 * time.Millisecond)
			f.loseNodes(f.nodes, func() {}, 0)
			return nil
		}},
		"streams begin from when it joins until 0.1 s later": {join: func(f *versionedFleet) (streams []resumption) {
			f.joinVersion("v1.1", f.servers[:3])
			streams = f.beginStreams("later")
			f.loseNodes(f.nodes, func() {}, 0)
			return streams
		}},
		"streams begin from 0.3 s after it joined": {join: func(f *versionedFleet) (streams []resumption) {
			f.joinVersion("v1.1", f.servers[:3])
			time.Sleep(300 * time.Millisecond)
			streams = f.beginStreams("later")
			f.loseNodes(f.nodes, func() {}, 0)
			return streams
		}},
		"streams begin at it before any node knows of it": {join: func(f *versionedFleet) (streams []resumption) {
			for _, m := range f.servers[:3] {
				m.httpServer.CloseClientConnections()
				m.set(func() { m.version, m.startID, m.sequence = "v1.1", m.startID+1, 1 })
			}
			streams = f.beginStreams("later")
			f.loseNodes(f.nodes, func() {
				for _, m := range f.servers[:3] {
					m.register(f.store, "ready")
				}
			}, 0)
			return streams
		}},
		"nodes are lost again at once": {goOn: true, join: func(f *versionedFleet) []resumption {
			f.loseNodes(f.nodes, func() { f.joinLoaded("v1.1", f.servers[:3]) }, 0)
			streams := f.beginStreams("later")
			f.loseNodes(f.nodes, func() {}, 0)
			return streams
		}},
		"nodes are lost again once both versions are recorded": {join: func(f *versionedFleet) []resumption {
			f.loseNodes(f.nodes, func() { f.joinLoaded("v1.1", f.servers[:3]) }, 0)
			time.Sleep(recordedTime)
			streams := f.beginStreams("later")
			f.loseNodes(f.nodes, func() {}, 0)
			return streams
		}},
		"streams begin at the version that joined while no node ran": {goOn: true, join: func(f *versionedFleet) []resumption {
			f.loseNodes(f.nodes, func() { f.joinLoaded("v1.1", f.servers[:3]) }, 0)
			time.Sleep(recordedTime)
			return f.beginStreams("later")
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleetOfVersions(t, "v1")
			earlier := f.beginStreams("earlier")
			time.Sleep(checkpointTime)
			later := c.join(f)
			f.resumeStreams("earlier", earlier)
			f.resumeStreams("later", later)
			joined, begun, continued := 0, 0, 0
			for i, s := range append(earlier, later...) {
				if s.joinsVersions() {
					joined++
				}
				if i < len(earlier) && s.first.events > 0 {
					begun++
					if s.second.isWhole {
						continued++
					}
				}
			}
			t.Logf("%d of %d earlier streams went on, %d of all %d joined", continued, begun, joined, len(earlier)+len(later))
			if begun < takenUpStreams/2 || joined > maxJoinedStreams || c.goOn && float64(continued) < continuedShare*float64(begun) {
				t.Errorf("%d of %d earlier streams went on, %d of all are joined from two versions", continued, begun, joined)
			}
		})
	}
}

// recordedTime is the time within which started nodes write to the store which versions serve, and take them all
// for recorded.
const recordedTime = 3 * time.Second

// loseNodes kills the nodes at once and starts them again after whatever meanwhile does, with a gap between any two.
func (f *versionedFleet) loseNodes(lost []*node, meanwhile func(), gap time.Duration) {
	var killed sync.WaitGroup
	for _, n := range lost {
		killed.Go(n.kill)
	}
	killed.Wait()
	meanwhile()
	for i, n := range lost {
		if i > 0 {
			time.Sleep(gap)
		}
		n.start()
	}
	f.awaitReady()
}
