package edge

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/storelease"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

// benchServers, benchLoads and periodsPerSecond are the size of a current fleet and the requests
// in progress at one of its nodes.
const (
	benchServers     = 166
	benchLoads       = 4
	periodsPerSecond = int(time.Second / gossipPeriod)
)

// nodeDatagram returns one node's datagram.
func nodeDatagram(b *testing.B, node *Node, index int, sequence uint64) []byte {
	b.Helper()
	state := &peerpb.NodeState{
		Node: fmt.Sprint("node-", index), Address: benchAddress(index), Life: 5, Sequence: sequence,
		Strength: 192, ConfigVersion: 7, ConfigAgeMs: 300, ServersAgeMs: 300,
	}
	digest, at := node.directory.digestAndPosition()
	state.ServersDigest, state.ServersRevision = digest, at.Revision
	for load := range benchLoads {
		state.Loads = append(state.Loads, &peerpb.ServerLoad{Server: fmt.Sprint("server-", (index*7+load)%benchServers), Running: 1, PendingTokens: 100})
	}
	for peer := range 6 {
		state.Peers = append(state.Peers, benchAddress(index+peer))
	}
	if index == 0 {
		state.Leader = &peerpb.LeaderState{Term: 3}
	}
	datagram, err := proto.Marshal(state)
	if err != nil {
		b.Fatal(err)
	}
	return datagram
}

func benchAddress(index int) string {
	return fmt.Sprintf("10.0.%d.%d:7380", index/200, index%200)
}

// BenchmarkSecondOfNews measures what an ordinary node spends per second on gossip: eight
// datagrams and one of the leader's per period, its own datagrams, and its lease checks. state-B
// is the memory used for the fleet beyond that of a node without peers.
func BenchmarkSecondOfNews(b *testing.B) {
	for _, nodes := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			node := newFollower(b, 0)
			var servers []inventory.Server
			for i := range benchServers {
				servers = append(servers, inventory.Server{ID: fmt.Sprint("server-", i), Service: "s", Address: benchAddress(i), Position: storepos.At(0, 3), Slots: 64})
			}
			node.applyPeerServerList(inventory.PeerList{Servers: servers, Position: storepos.At(0, 4)})
			node.leader.lease.Observe(clock.Now(), clock.Now(), storelease.Record{Holder: "other", Position: storepos.At(0, 3)})
			before := heapBytes()
			sequence := uint64(1)
			for i := range nodes {
				node.peers.handleDatagram(nodeDatagram(b, node, i, sequence))
			}
			after := heapBytes()
			datagrams := make([][]byte, 0, periodsPerSecond*(gossipFanout+1))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				b.StopTimer()
				sequence++
				datagrams = datagrams[:0]
				for i := range cap(datagrams) {
					datagrams = append(datagrams, nodeDatagram(b, node, int(sequence)*31*i%nodes, sequence*100+uint64(i)))
				}
				b.StartTimer()
				for i, datagram := range datagrams {
					node.peers.handleDatagram(datagram)
					if i%(gossipFanout+1) == 0 {
						node.peers.tick()
						node.leader.drainInbox()
					}
				}
				for range time.Second / leaderPeriod {
					node.leader.step(b.Context())
				}
			}
			b.ReportMetric(float64(after-before), "state-B")
		})
	}
}

// heapBytes returns the memory in use after a garbage collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
