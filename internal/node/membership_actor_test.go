package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/views"
)

// waitForMember returns once the condition holds for the member in the view.
func waitForMember(t *testing.T, published *views.Views, name string, holds func(fleet.Member) bool) {
	t.Helper()
	found := make(chan struct{}, 1)
	published.Members.Watch(func(members []fleet.Member) {
		for _, member := range members {
			if member.Name == fleet.NodeName(name) && holds(member) {
				select {
				case found <- struct{}{}:
				default:
				}
			}
		}
	})
	select {
	case <-found:
	case <-time.After(time.Minute):
		t.Fatalf("member %s did not reach the expected state within a minute", name)
	}
}

func TestMembershipOverLoopback(t *testing.T) {
	system := actor.NewActorSystem()
	var shells []*Membership
	var published []*views.Views
	var addresses []string
	for index := range 3 {
		connection, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses = append(addresses, connection.LocalAddr().String())
		published = append(published, &views.Views{})
		shells = append(shells, StartMembership(MembershipDependencies{
			System:     system,
			Connection: connection,
			Core: membership.Options{Self: fleet.Member{
				Name: fleet.NodeName(fmt.Sprint("n", index)), Zone: "east", BootID: uint64(index + 1),
				Addresses: fleet.Addresses{Gossip: addresses[index]},
			}},
			Views:  published[index],
			Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
		}))
		defer shells[index].Stop()
		// The machine list is the only seed.
		published[index].Machines.Set(objectstore.MachineList{Machines: []objectstore.Machine{{
			Role: "node", Name: "n0", State: objectstore.MachineLive, Node: fleet.Addresses{Gossip: addresses[0]},
		}}})
	}
	waitForMember(t, published[1], "n2", fleet.Member.Usable)
	waitForMember(t, published[2], "n1", fleet.Member.Usable)
	shells[1].SetConfigVersion(7)
	waitForMember(t, published[2], "n1", func(member fleet.Member) bool { return member.ConfigVersion == 7 })
	shells[1].SetDraining(true)
	waitForMember(t, published[2], "n1", func(member fleet.Member) bool { return member.Draining })
	shells[1].Leave(context.Background())
	waitForMember(t, published[2], "n1", func(member fleet.Member) bool { return member.State == fleet.MemberLeft })
}
