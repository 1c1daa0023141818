package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

func fuzzMember(name string, state fleet.MemberState) fleet.Member {
	return fleet.Member{
		Name: fleet.NodeName(name), Zone: "a", State: state, Incarnation: 7, BootID: 9, ConfigVersion: 3,
		Addresses: fleet.Addresses{Gossip: "10.0.0.1:4", Caller: "10.0.0.1:1", Operator: "10.0.0.1:2", Peer: "10.0.0.2:3"},
	}
}

// FuzzPacket checks that no packet changes a node's own state, that packets sent stay within the
// size limit, and that the core continues to work afterwards.
func FuzzPacket(f *testing.F) {
	for kind := range peerpb.GossipPacket_Kind_name {
		packet := &peerpb.GossipPacket{
			Kind: peerpb.GossipPacket_Kind(kind), From: "other", To: "self", Target: "10.0.0.3:4", Sequence: 1, ConfigVersion: 5,
			Members: []*peerpb.GossipMember{
				encodeMember(fuzzMember("other", fleet.MemberAlive)), encodeMember(fuzzMember("self", fleet.MemberDead)),
			},
			Zones: []*peerpb.GossipZone{{Zone: "b", Stamp: 2, ConfigFloor: 4}},
		}
		encoded, err := proto.Marshal(packet)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded, encoded)
	}
	f.Add([]byte{}, []byte{0xff})
	f.Fuzz(func(t *testing.T, first, second []byte) {
		self := fuzzMember("self", fleet.MemberAlive)
		core := New(Options{Self: self, RandomSeed: 1})
		now := time.Unix(1e9, 0)
		for _, packet := range [][]byte{first, second, first} {
			now = now.Add(100 * time.Millisecond)
			checkStep(t, core, core.Step(now, Receive{From: "10.0.0.9:4", Packet: packet}))
		}
		for range 20 {
			if wake := core.NextWake(); wake.After(now) {
				now = wake
			}
			checkStep(t, core, core.Step(now, Tick{}))
		}
	})
}

func checkStep(t *testing.T, core *Core, effects []Effect) {
	t.Helper()
	for _, effect := range effects {
		if send, found := effect.(Send); found && (len(send.Packet) > defaultPacketBytes || send.To == "") {
			t.Fatalf("%d bytes to %q", len(send.Packet), send.To)
		}
	}
	own := 0
	for _, member := range core.Members() {
		if member.Name != "self" {
			continue
		}
		own++
		if member.State != fleet.MemberAlive || member.BootID != 9 || member.Addresses.Peer != "10.0.0.2:3" {
			t.Fatalf("own record changed to %+v", member)
		}
	}
	if own != 1 {
		t.Fatalf("this node is %d times in its own table", own)
	}
}

// FuzzMember checks that a decoded member is the same after encoding and decoding it again.
func FuzzMember(f *testing.F) {
	for _, state := range []fleet.MemberState{fleet.MemberAlive, fleet.MemberSuspect, fleet.MemberDead, fleet.MemberLeft} {
		encoded, err := proto.Marshal(encodeMember(fuzzMember("other", state)))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var wire peerpb.GossipMember
		if proto.Unmarshal(data, &wire) != nil {
			return
		}
		member := decodeMember(&wire)
		if !isLive(member) {
			return
		}
		if difference := cmp.Diff(member, decodeMember(encodeMember(member))); difference != "" {
			t.Fatalf("(-decoded +encoded again):\n%s", difference)
		}
	})
}
