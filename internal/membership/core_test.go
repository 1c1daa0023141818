package membership

import (
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// newJoinedNetwork returns a network whose nodes all know each other.
func newJoinedNetwork(t *testing.T, seed uint64, zones, size int, options func(*Options)) *network {
	t.Helper()
	network := newNetwork(seed)
	if options != nil {
		network.options = options
	}
	network.startZones(zones, size)
	network.runUntil(t, time.Minute, "join", network.converged)
	return network
}

func TestNodesJoinThroughOneSeed(t *testing.T) {
	newJoinedNetwork(t, 1, 3, 5, nil)
}

func TestNodeJoinsThroughMachineList(t *testing.T) {
	network := newNetwork(1)
	network.start(0, 1)
	network.start(0, 2)
	network.step(address(0, 2), NodesListed{Nodes: []ListedNode{{Name: "node-00-001", GossipAddress: address(0, 1)}}})
	network.runUntil(t, time.Minute, "join", network.converged)
}

func TestKilledNodeIsFoundDeadAndReaped(t *testing.T) {
	network := newJoinedNetwork(t, 2, 2, 10, nil)
	victim := address(0, 4)
	delete(network.nodes, victim)
	network.runUntil(t, 20*time.Second, "death in the zone", func() bool {
		return network.state(address(0, 1), victim) == fleet.MemberDead &&
			network.state(address(0, 9), victim) == fleet.MemberDead
	})
	network.runUntil(t, 20*time.Second, "death in the other zone", func() bool {
		return network.state(address(1, 1), victim) == fleet.MemberDead
	})
	network.run(defaultDeadRetention + 2*defaultSyncInterval)
	if state := network.state(address(0, 1), victim); state != "" {
		t.Fatalf("dead member is still held as %s", state)
	}
}

func TestLeavingNodeIsNotSuspected(t *testing.T) {
	network := newJoinedNetwork(t, 3, 1, 10, nil)
	leaver := address(0, 4)
	network.step(leaver, Leave{})
	network.run(200 * time.Millisecond)
	delete(network.nodes, leaver)
	network.runUntil(t, 5*time.Second, "leave", func() bool {
		for _, at := range network.addresses() {
			if network.state(at, leaver) != fleet.MemberLeft {
				return false
			}
		}
		return true
	})
}

func TestRestartUnderTheSameAddress(t *testing.T) {
	for _, clock := range []struct {
		name string
		step time.Duration
	}{{"forward", 100 * time.Millisecond}, {"clock went back", -time.Hour}} {
		t.Run(clock.name, func(t *testing.T) {
			network := newJoinedNetwork(t, 4, 2, 5, nil)
			at := address(0, 3)
			network.skew[at] = clock.step
			network.start(0, 3, address(0, 1))
			boot := network.boots
			network.runUntil(t, 20*time.Second, "new start known", func() bool {
				return network.converged() && network.boot(address(0, 1), at) == boot &&
					network.boot(address(1, 1), at) == boot
			})
		})
	}
}

func TestWholeZoneRestarts(t *testing.T) {
	network := newJoinedNetwork(t, 5, 3, 5, nil)
	for index := 1; index <= 5; index++ {
		delete(network.nodes, address(1, index))
	}
	network.runUntil(t, time.Minute, "zone suspect elsewhere", func() bool {
		return network.state(address(0, 2), address(1, 2)) == fleet.MemberSuspect
	})
	for index := 1; index <= 5; index++ {
		network.start(1, index, address(0, 1))
	}
	network.runUntil(t, time.Minute, "zone is back", network.converged)
}

func TestPausedNodeComesBackAndRefutes(t *testing.T) {
	network := newJoinedNetwork(t, 6, 1, 10, nil)
	paused := address(0, 5)
	network.nodes[paused].paused = true
	network.runUntil(t, 20*time.Second, "death", func() bool {
		return network.state(address(0, 1), paused) == fleet.MemberDead
	})
	network.run(time.Minute)
	network.resume(paused)
	suspected := false
	network.runUntil(t, 20*time.Second, "return", func() bool {
		for _, member := range network.nodes[address(0, 1)].core.Members() {
			suspected = suspected || member.Addresses.Gossip != paused && member.State != fleet.MemberAlive
		}
		return network.converged()
	})
	if suspected {
		t.Error("the resumed node caused suspicions of others")
	}
}

func TestOneWayCutKillsNobody(t *testing.T) {
	network := newJoinedNetwork(t, 7, 1, 8, nil)
	network.cut = func(from, to string) bool { return from == address(0, 1) && to == address(0, 2) }
	if died := network.countDeadViews(2 * time.Minute); died != 0 {
		t.Fatalf("%d views of a live member as dead", died)
	}
}

func TestLossKillsNobody(t *testing.T) {
	for seed := range uint64(3) {
		network := newJoinedNetwork(t, seed, 2, 10, nil)
		network.loss = 0.2
		if died := network.countDeadViews(5 * time.Minute); died != 0 {
			t.Errorf("seed %d: %d views of a live member as dead", seed, died)
		}
	}
}

func TestCutZoneHealsAndKeepsItsOwnView(t *testing.T) {
	network := newJoinedNetwork(t, 9, 2, 5, nil)
	network.cut = func(from, to string) bool { return from[:7] != to[:7] }
	network.runUntil(t, time.Minute, "other zone suspect", func() bool {
		return network.state(address(0, 1), address(1, 1)) == fleet.MemberSuspect
	})
	if state := network.state(address(0, 1), address(0, 2)); state != fleet.MemberAlive {
		t.Fatalf("own zone's member is %s", state)
	}
	network.cut = func(string, string) bool { return false }
	network.runUntil(t, time.Minute, "heal", network.converged)
}

func TestHalvesOfOneZoneHeal(t *testing.T) {
	network := newJoinedNetwork(t, 10, 1, 8, nil)
	left := func(at string) bool { return at <= address(0, 4) }
	network.cut = func(from, to string) bool { return left(from) != left(to) }
	network.runUntil(t, time.Minute, "halves dead to each other", func() bool {
		return network.state(address(0, 1), address(0, 8)) == fleet.MemberDead
	})
	network.cut = func(string, string) bool { return false }
	network.runUntil(t, 2*time.Minute, "heal", network.converged)
}

func TestConfigVersionIsKnownWithinASecond(t *testing.T) {
	network := newJoinedNetwork(t, 11, 3, 20, nil)
	network.run(10 * time.Second)
	for _, at := range network.addresses() {
		network.step(at, SetConfigVersion{Version: 42})
	}
	network.run(time.Second)
	for _, member := range network.nodes[address(0, 1)].core.Members() {
		if member.Zone == "zone-00" && member.ConfigVersion != 42 {
			t.Errorf("%s is held at version %d", member.Name, member.ConfigVersion)
		}
	}
	network.runUntil(t, 10*time.Second, "floors of other zones", func() bool {
		for _, member := range network.nodes[address(0, 1)].core.Members() {
			if member.ConfigVersion != 42 {
				return false
			}
		}
		return true
	})
}

func TestGoingMachineIsSuspectedAndRefutes(t *testing.T) {
	network := newJoinedNetwork(t, 12, 1, 5, nil)
	listed := address(0, 3)
	network.step(address(0, 1), NodesListed{Nodes: []ListedNode{{Name: "node-00-003", GossipAddress: listed, Leaving: true}}})
	if state := network.state(address(0, 1), listed); state != fleet.MemberSuspect {
		t.Fatalf("listed as leaving, held as %s, want suspect", state)
	}
	if died := network.countDeadViews(30 * time.Second); died != 0 {
		t.Fatalf("the list alone made a member dead in %d views", died)
	}
}

// TestPlantedDefectsShow checks that the tests above can fail.
func TestPlantedDefectsShow(t *testing.T) {
	network := newJoinedNetwork(t, 8, 2, 10, func(options *Options) { options.Defects.NoRefutation = true })
	network.loss = 0.2
	if network.countDeadViews(5*time.Minute) == 0 {
		t.Error("no member was declared dead under loss without refutation")
	}
	network = newJoinedNetwork(t, 7, 1, 2, func(options *Options) { options.Defects.ResurrectDead = true })
	at := address(0, 1)
	victim := network.record(at, address(0, 2))
	delete(network.nodes, address(0, 2))
	network.run(20 * time.Second)
	packet := &Receive{From: at, Packet: statePacket(victim)}
	network.step(at, *packet)
	if network.state(at, address(0, 2)) != fleet.MemberAlive {
		t.Error("an outdated update of a dead member was not accepted despite the defect")
	}
}

func TestStaleNewsDoesNotResurrect(t *testing.T) {
	network := newJoinedNetwork(t, 7, 1, 2, nil)
	at := address(0, 1)
	victim := network.record(at, address(0, 2))
	delete(network.nodes, address(0, 2))
	network.run(20 * time.Second)
	network.step(at, Receive{From: at, Packet: statePacket(victim)})
	if state := network.state(at, address(0, 2)); state != fleet.MemberDead {
		t.Fatalf("dead member is held as %s after an outdated update", state)
	}
}

// TestBytesPerNode checks the traffic budget: control traffic may use 8 KB/s per node, of which
// membership may use a quarter while nothing changes.
func TestBytesPerNode(t *testing.T) {
	const quarter = 2 << 10
	for _, size := range []int{5, 10, 25, 50} {
		network := newJoinedNetwork(t, 13, 4, size, nil)
		network.run(10 * time.Second)
		mean, most, largest := network.measure(20 * time.Second)
		t.Logf("4 zones of %d: mean %.0f B/s, highest %.0f B/s, largest packet %d B", size, mean, most, largest)
		if mean > quarter || largest > defaultPacketBytes {
			t.Errorf("zones of %d: %.0f B/s per node, largest packet %d B", size, mean, largest)
		}
	}
}

// BenchmarkFullSize measures the largest supported fleet: how long 800 nodes in 16 zones take to
// join through one seed, and the traffic of each node afterwards.
func BenchmarkFullSize(b *testing.B) {
	for b.Loop() {
		network := newNetwork(14)
		network.startZones(16, 50)
		took := network.runUntil(b, 2*time.Minute, "join", network.converged)
		network.run(30 * time.Second)
		mean, most, _ := network.measure(30 * time.Second)
		b.ReportMetric(took.Seconds(), "join-s")
		b.ReportMetric(mean, "mean-B/s")
		b.ReportMetric(most, "most-B/s")
	}
}
