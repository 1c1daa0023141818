package node

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/poison"
	"github.com/spanlanding/spanlanding/internal/standin/memnet"
	"github.com/spanlanding/spanlanding/internal/views"
)

// suspectsNode is one node's suspects shell and its peer server.
type suspectsNode struct {
	*Suspects
	member fleet.Member
	views  *views.Views
	server *httptest.Server
}

// delegates is how many members of a zone the nodes of other zones know.
const delegates = 3

// suspectsFleet is a set of nodes named zone-number. Each knows all members of its zone and
// the delegates of the others, as in production.
type suspectsFleet struct {
	t     *testing.T
	nodes map[string]*suspectsNode
	// network replaces the real one on a virtual clock.
	network *memnet.Network
	// isLost reports whether a call to a node gets no answer; nil answers all.
	isLost func(name string) bool
}

func startSuspectsFleet(t *testing.T, names ...string) *suspectsFleet {
	t.Helper()
	return startSuspectsFleetOn(t, nil, names...)
}

// startSuspectsFleetOn starts the fleet on a network within the process, for a synctest bubble.
func startSuspectsFleetOn(t *testing.T, network *memnet.Network, names ...string) *suspectsFleet {
	t.Helper()
	f := &suspectsFleet{t: t, nodes: make(map[string]*suspectsNode), network: network}
	for _, name := range names {
		f.start(name)
	}
	f.publishMembers()
	return f
}

func (f *suspectsFleet) start(name string) {
	zone, _, _ := strings.Cut(name, "-")
	server := httptest.NewUnstartedServer(nil)
	pool := peer.NewPool()
	if f.network != nil {
		_ = server.Listener.Close()
		server.Listener = f.network.Listen()
		pool = peer.NewPoolWithDial(f.network.DialContext)
	}
	member := fleet.Member{Name: fleet.NodeName(name), Zone: fleet.Zone(zone), State: fleet.MemberAlive,
		Addresses: fleet.Addresses{Peer: server.Listener.Addr().String()}}
	node := &suspectsNode{member: member, views: &views.Views{}, server: server}
	node.Suspects = StartSuspects(SuspectsDependencies{Self: member, Views: node.views, Peers: pool,
		Logger: &log.Logger{Level: log.PanicLevel}})
	handler := peer.NewHandler(peer.Handlers{Suspects: node.Server()})
	server.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if f.isLost != nil && f.isLost(name) {
			time.Sleep(2 * suspectCallTimeout)
			http.Error(writer, "lost", http.StatusServiceUnavailable)
			return
		}
		handler.ServeHTTP(writer, request)
	})
	server.Start()
	f.t.Cleanup(func() {
		server.Close()
		node.Stop()
	})
	f.nodes[name] = node
}

func (f *suspectsFleet) publishMembers() {
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

// await waits until the request has the status on all nodes.
func (f *suspectsFleet) await(fingerprint poison.Fingerprint, want poison.Status) {
	f.t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for name, node := range f.nodes {
		for node.Standing(fingerprint) != want {
			if time.Now().After(deadline) {
				f.t.Fatalf("%s: status %d, want %d", name, node.Standing(fingerprint), want)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

func fingerprintOf(name string) poison.Fingerprint {
	return poison.NewFingerprint(poison.Identity{Body: []byte(name)})
}

// reportCrashes reports one server crash during the request to each of the nodes, with pauses
// between them.
func (f *suspectsFleet) reportCrashes(fingerprint poison.Fingerprint, nodes ...string) {
	for index, name := range nodes {
		f.nodes[name].Blame(fingerprint, fmt.Sprint("server-", index))
		time.Sleep(30 * time.Millisecond)
	}
}

func TestThreeServersAtThreeNodesBarARequestEverywhere(t *testing.T) {
	synctest.Test(t, playThreeCrashes)
}

func playThreeCrashes(t *testing.T) {
	f := startSuspectsFleetOn(t, new(memnet.Network), "a-0", "a-1", "b-0", "b-1", "b-2", "b-3", "c-0", "c-1")
	f.reportCrashes(fingerprintOf("p"), "a-1", "b-3")
	f.await(fingerprintOf("p"), poison.StatusSuspect)
	f.reportCrashes(fingerprintOf("q"), "b-1")
	f.nodes["c-1"].Blame(fingerprintOf("p"), "server-2")
	f.await(fingerprintOf("p"), poison.StatusBarred)
	f.await(fingerprintOf("q"), poison.StatusSuspect)
	f.nodes["c-1"].EndedWell(fingerprintOf("q"))
	f.await(fingerprintOf("q"), poison.StatusClear)
}

// Guards against a request that ends servers and is never barred, since calls were lost and no node has learned
// of all the crashes.
func TestLostReportsAreRepairedBeforeARequestIsBarred(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startSuspectsFleetOn(t, new(memnet.Network), "a-0", "a-1", "b-0", "b-1", "b-2", "c-0", "c-1")
				var lossEnded atomic.Bool
				random := rand.New(rand.NewPCG(seed, 0))
				var mutex sync.Mutex
				f.isLost = func(string) bool {
					mutex.Lock()
					defer mutex.Unlock()
					return !lossEnded.Load() && random.Float64() < 0.8
				}
				f.reportCrashes(fingerprintOf("p"), "a-0", "b-1", "c-1")
				time.Sleep(suspectCallTimeout)
				lossEnded.Store(true)
				f.await(fingerprintOf("p"), poison.StatusBarred)
			})
		})
	}
}

// TestNodeThatStartsHearsWhatIsBarred checks that a node that starts learns of barred
// requests from the first peer at once, not only at the next exchange.
func TestNodeThatStartsHearsWhatIsBarred(t *testing.T) {
	f := startSuspectsFleet(t, "a-0", "a-1")
	f.reportCrashes(fingerprintOf("p"), "a-0", "a-1", "a-0")
	f.await(fingerprintOf("p"), poison.StatusBarred)
	f.start("a-2")
	startedAt := time.Now()
	f.publishMembers()
	f.await(fingerprintOf("p"), poison.StatusBarred)
	if took := time.Since(startedAt); took >= exchangeInterval {
		t.Errorf("it took %v", took)
	}
	if barred := f.nodes["a-2"].Barred(); barred != 1 {
		t.Errorf("%d requests are barred", barred)
	}
}

// TestGoodEndElsewhereVouches checks that a request that succeeded on one node is not barred
// because of crashes that another saw.
func TestGoodEndElsewhereVouches(t *testing.T) {
	f := startSuspectsFleet(t, "a-0", "b-0", "b-1")
	f.nodes["b-1"].EndedWell(fingerprintOf("ping"))
	f.reportCrashes(fingerprintOf("ping"), "a-0", "a-0", "a-0")
	f.await(fingerprintOf("ping"), poison.StatusClear)
}

// TestTrialIsGrantedOnce checks that exactly one trial is granted when nodes of all zones
// ask at the same time, also when one of the coordinators is down.
func TestTrialIsGrantedOnce(t *testing.T) {
	f := startSuspectsFleet(t, "a-0", "a-1", "b-0", "b-1", "c-0", "c-1")
	for _, downNode := range []string{"", "a-0"} {
		if downNode != "" {
			f.nodes[downNode].server.Close()
			delete(f.nodes, downNode)
		}
		fingerprint := fingerprintOf("on trial without " + downNode)
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
			t.Errorf("%d trials granted with node %q down", granted, downNode)
		}
		f.await(fingerprint, poison.StatusBarred)
	}
}
