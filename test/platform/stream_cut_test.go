package platform

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// peersOfCutNode is the number of nodes that take requests of one that reaches no server.
const peersOfCutNode = 3

// newCutSchedule starts a fleet whose first node reaches no server, so that peers take its requests. It runs in
// the test's process, and its peers, which can be killed, in their own.
func newCutSchedule(t *testing.T, service string, script streamScript, seed uint64) *streamSchedule {
	t.Helper()
	embedded := newEmbeddedFleet(t, 1)
	f := embedded.fleet
	f.dir = t.TempDir()
	for i := range peersOfCutNode {
		f.addPeer(firstSoakIP + 1 + i)
	}
	t.Cleanup(func() {
		for _, n := range f.nodes[1:] {
			_ = n.process().Process.Kill()
		}
	})
	f.putStreamRoutes()
	s := newServerScheduleAt(f, service, script, drawnBy(seed))
	s.disrupted, s.isAtFirst = f.nodes[1:], true
	embedded.paths[0].set(&cutKind{name: "refused", refuses: true, resets: true})
	return s
}

// addPeer starts a process that joins the first node.
func (f *fleet) addPeer(lastOctet int) {
	ip := "127.0.0." + strconv.Itoa(lastOctet)
	n := &node{fleet: f, name: "node-" + strconv.Itoa(len(f.nodes)+1), ip: ip, settingsPath: filepath.Join(f.dir, ip+".toml")}
	seeds := fmt.Sprintf("%q", fmt.Sprintf("%s:%d", f.nodes[0].ip, f.ports[0]))
	text := fmt.Sprintf(settingsTemplate, n.name, ip, f.ports[0], f.ports[0]+1, seeds, ip, f.ports[1], ip, f.ports[2], f.storeAddress)
	if err := os.WriteFile(n.settingsPath, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	f.nodes = append(f.nodes, n)
	n.start()
}

const (
	// cutDisruptionPause is the time between two disruptions beside a node that is cut off. Nodes find servers
	// that come meanwhile.
	cutDisruptionPause = 300 * time.Millisecond
	// forwardedStreams is the number of streams of each kind of caller.
	forwardedStreams = 24
)

// TestStreamsThroughPeersKeepTheirOrder guards against streams that are short and look whole, or whose events come
// twice, out of order or not at all, since a peer that passes them on for a node without servers is killed or
// paused, or their server.
func TestStreamsThroughPeersKeepTheirOrder(t *testing.T) {
	t.Parallel()
	for seed, framing := range []streamFraming{framedByChunks, framedByClose} {
		t.Run(string(framing), func(t *testing.T) {
			t.Parallel()
			s := newCutSchedule(t, "models", streamScript{Framing: framing, Events: 12, Pause: 15 * time.Millisecond}, uint64(seed))
			s.awaitServing()
			stop := s.disruptUntil(cutDisruptionPause, serverKilled, serverRestarted, nodeKilled, nodePaused)
			for _, c := range streamCallers() {
				s.run(c, forwardedStreams)
			}
			stop()
			s.checkOrder("through peers")
			s.checkForwarded()
		})
	}
}

// TestAnswersThroughPeersAreNotTakenForWhole guards against answers to commands that are short and look whole,
// since the peer that passes them on for a node without servers is killed, or their server.
func TestAnswersThroughPeersAreNotTakenForWhole(t *testing.T) {
	t.Parallel()
	s := newCutSchedule(t, "commands", streamScript{Framing: framedByClose, PlainBytes: 200_000, Pause: 20 * time.Millisecond}, 1)
	s.awaitReady()
	eventually(t, "the node that is cut off serves commands by its peers", func() bool { return s.nodes[0].send("/command/x", "").status == http.StatusOK })
	stop := s.disruptUntil(cutDisruptionPause, serverKilled, nodeKilled, nodePaused)
	for _, protocol := range []string{"1.1", "1.0"} {
		s.runCommands(protocol, scheduledStreams)
	}
	stop()
	s.checkOrder("through peers")
	s.checkForwarded()
}

// TestStreamsOfKilledServersAreNotTakenForWholeByNodesThatAreCutOff guards against callers who get a part of a
// stream that looks whole, since its node was cut off before its server was killed.
func TestStreamsOfKilledServersAreNotTakenForWholeByNodesThatAreCutOff(t *testing.T) {
	t.Parallel()
	embedded := newEmbeddedFleet(t, 4)
	embedded.putStreamRoutes()
	s := newServerScheduleAt(embedded.fleet, "models", streamScript{Framing: framedByClose, Events: 12, Pause: 15 * time.Millisecond}, drawnBy(1))
	s.awaitServing()
	stop := repeatUntil(cutDisruptionPause, func() {
		for _, path := range embedded.paths {
			path.set(&cutKind{name: "new connections refused", refuses: true})
		}
		s.endServer(s.random.IntN(len(s.servers)), os.Kill)
		for _, path := range embedded.paths {
			path.set(nil)
		}
	})
	for _, c := range streamCallers() {
		s.run(c, drawnStreams)
	}
	stop()
	s.checkOrder("nodes that are cut off")
}

// checkForwarded fails the test unless peers took the requests of the first node.
func (s *streamSchedule) checkForwarded() {
	s.t.Helper()
	if forwarded := strings.Count(s.nodes[0].log(), "peer=127."); forwarded < s.streams/2 || s.verdicts[streamWhole] < s.streams/4 {
		s.t.Errorf("%d were forwarded, %s", forwarded, s.describe())
	}
}
