package node

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/views"
)

// suspectsNode is one node's memory of suspects, with its peers' port.
type suspectsNode struct {
	*Suspects
	member fleet.Member
	views  *views.Views
	server *httptest.Server
}

// delegates is how many members of a zone the others know.
const delegates = 3

// suspectsFleet starts nodes named zone-number. As in a fleet, each knows all members of
// its zone and the delegates of the others.
type suspectsFleet struct {
	t     *testing.T
	nodes map[string]*suspectsNode
}

func startSuspectsFleet(t *testing.T, names ...string) *suspectsFleet {
	t.Helper()
	f := &suspectsFleet{t: t, nodes: make(map[string]*suspectsNode)}
	for _, name := range names {
		f.start(name)
	}
	f.meet()
	return f
}

func (f *suspectsFleet) start(name string) {
	zone, _, _ := strings.Cut(name, "-")
	server := httptest.NewUnstartedServer(nil)
	member := fleet.Member{Name: fleet.NodeName(name), Zone: fleet.Zone(zone), State: fleet.MemberAlive,
		Addresses: fleet.Addresses{Peer: server.Listener.Addr().String()}}
	node := &suspectsNode{member: member, views: &views.Views{}, server: server}
	node.Suspects = StartSuspects(SuspectsDependencies{Self: member, Views: node.views, Peers: peer.NewPool(),
		Logger: &log.Logger{Level: log.PanicLevel}})
	server.Config.Handler = peer.NewHandler(peer.Handlers{Suspects: node.Server()})
	server.Start()
	f.t.Cleanup(func() {
		server.Close()
		node.Stop()
	})
	f.nodes[name] = node
}

func (f *suspectsFleet) meet() {
	zones := make(map[fleet.Zone][]fleet.Member)
	for _, node := range f.nodes {
		zones[node.member.Zone] = append(zones[node.member.Zone], node.member)
	}
	for _, node := range f.nodes {
		var known []fleet.Member
		for zone, members := range zones {
			slices.SortFunc(members, func(a, b fleet.Member) int { return membership.CompareDelegates(a.Name, b.Name) })
			if zone != node.member.Zone {
				members = members[:min(delegates, len(members))]
			}
			known = append(known, members...)
		}
		node.views.Members.Set(known)
	}
}

// await waits until the request stands so at all nodes.
func (f *suspectsFleet) await(fingerprint poison.Fingerprint, want poison.Status) {
	f.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for name, node := range f.nodes {
		for node.Standing(fingerprint) != want {
			if time.Now().After(deadline) {
				f.t.Fatalf("%s: standing %d, want %d", name, node.Standing(fingerprint), want)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func fingerprintOf(name string) poison.Fingerprint {
	return poison.NewFingerprint(poison.Identity{Body: []byte(name)})
}

// endUnder lets servers end under the request, each blamed at another node, apart from
// each other.
func (f *suspectsFleet) endUnder(fingerprint poison.Fingerprint, nodes ...string) {
	for index, name := range nodes {
		f.nodes[name].Blame(fingerprint, fmt.Sprint("server-", index))
		time.Sleep(30 * time.Millisecond)
	}
}

func TestThreeServersAtThreeNodesBarARequestEverywhere(t *testing.T) {
	f := startSuspectsFleet(t, "a-0", "a-1", "b-0", "b-1", "b-2", "b-3", "c-0", "c-1")
	f.endUnder(fingerprintOf("p"), "a-1", "b-3")
	f.await(fingerprintOf("p"), poison.StatusSuspect)
	f.endUnder(fingerprintOf("q"), "b-1")
	f.nodes["c-1"].Blame(fingerprintOf("p"), "server-2")
	f.await(fingerprintOf("p"), poison.StatusBarred)
	f.await(fingerprintOf("q"), poison.StatusSuspect)
	f.nodes["c-1"].EndedWell(fingerprintOf("q"))
	f.await(fingerprintOf("q"), poison.StatusClear)
}

// TestNodeThatStartsHearsWhatIsBarred at once, from the first peer that it meets.
func TestNodeThatStartsHearsWhatIsBarred(t *testing.T) {
	f := startSuspectsFleet(t, "a-0", "a-1")
	f.endUnder(fingerprintOf("p"), "a-0", "a-1", "a-0")
	f.await(fingerprintOf("p"), poison.StatusBarred)
	f.start("a-2")
	begun := time.Now()
	f.meet()
	f.await(fingerprintOf("p"), poison.StatusBarred)
	if took := time.Since(begun); took >= exchangeInterval {
		t.Errorf("it took %v", took)
	}
	if barred := f.nodes["a-2"].Barred(); barred != 1 {
		t.Errorf("%d requests are barred", barred)
	}
}

// TestGoodEndElsewhereVouches: what ends well at one node is not barred by what others saw.
func TestGoodEndElsewhereVouches(t *testing.T) {
	f := startSuspectsFleet(t, "a-0", "b-0", "b-1")
	f.nodes["b-1"].EndedWell(fingerprintOf("ping"))
	f.endUnder(fingerprintOf("ping"), "a-0", "a-0", "a-0")
	f.await(fingerprintOf("ping"), poison.StatusClear)
}

// TestTrialIsGrantedOnce although nodes of all zones ask at the same moment, and one of
// those that decide is gone.
func TestTrialIsGrantedOnce(t *testing.T) {
	f := startSuspectsFleet(t, "a-0", "a-1", "b-0", "b-1", "c-0", "c-1")
	for _, gone := range []string{"", "a-0"} {
		if gone != "" {
			f.nodes[gone].server.Close()
			delete(f.nodes, gone)
		}
		fingerprint := fingerprintOf("on trial without " + gone)
		var mutex sync.Mutex
		granted := 0
		var asking sync.WaitGroup
		for _, node := range f.nodes {
			asking.Go(func() {
				if node.ClaimTrial(t.Context(), fingerprint) {
					mutex.Lock()
					defer mutex.Unlock()
					granted++
				}
			})
		}
		asking.Wait()
		if granted != 1 {
			t.Errorf("%d trials granted where %q is gone", granted, gone)
		}
		f.await(fingerprint, poison.StatusBarred)
	}
}
