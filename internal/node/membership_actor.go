package node

import (
	"context"
	"errors"
	"net"
	"runtime/pprof"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/membership"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/views"
)

// MembershipDependencies is what the membership shell needs.
type MembershipDependencies struct {
	System *actor.ActorSystem
	// Connection is the bound UDP socket; the shell closes it at Stop.
	Connection net.PacketConn
	// Core configures the core: Self with its addresses, seeds and timings.
	Core   membership.Options
	Views  *views.Views
	Logger *log.Logger
}

// Membership runs this node's failure detector over UDP and publishes views.Members.
type Membership struct {
	dependencies MembershipDependencies
	core         *membership.Core
	pid          *actor.PID
	timer        *time.Timer
	pending      atomic.Int64
	stopped      chan struct{}
	stopOnce     sync.Once
	readers      sync.WaitGroup
}

const (
	// maxPendingPackets bounds the packets waiting in the mailbox. Packets beyond it are
	// dropped, as UDP permits.
	maxPendingPackets = 4096
	maxDatagramBytes  = 2048
)

// leaveRequest asks the actor to leave the fleet and closes done once the notices are sent.
type leaveRequest struct{ done chan struct{} }

// StartMembership spawns the actor and starts reading the socket.
func StartMembership(dependencies MembershipDependencies) *Membership {
	shell := &Membership{
		dependencies: dependencies,
		core:         membership.New(dependencies.Core),
		stopped:      make(chan struct{}),
	}
	props := actor.PropsFromFunc(shell.receive, withProfileLabels(dependencies.Core.Self.Name, partMembership))
	spawn(dependencies.System, props, func(pid *actor.PID) { shell.pid = pid })
	shell.readers.Add(1)
	go pprof.Do(context.Background(), profileLabels(dependencies.Core.Self.Name, partMembership), func(context.Context) {
		shell.readPackets()
	})
	dependencies.Views.Machines.Watch(func(list objectstore.MachineList) {
		shell.send(membership.NodesListed{Nodes: listedNodes(list)})
	})
	return shell
}

// SetDraining announces to the other members whether this node is draining and takes no new
// work.
func (m *Membership) SetDraining(draining bool) {
	m.send(membership.SetDraining{Draining: draining})
}

// SetConfigVersion announces to the other members the store revision of the configuration in
// force here.
func (m *Membership) SetConfigVersion(version uint64) {
	m.send(membership.SetConfigVersion{Version: version})
}

// Leave announces to other members that this node leaves. It returns once the notices are
// sent or the context ends.
func (m *Membership) Leave(ctx context.Context) {
	request := leaveRequest{done: make(chan struct{})}
	m.send(request)
	select {
	case <-request.done:
	case <-ctx.Done():
	case <-m.stopped:
	}
}

// Stop ends the actor and closes the socket without announcing that the node leaves.
func (m *Membership) Stop() {
	m.stopOnce.Do(func() {
		close(m.stopped)
		_ = m.dependencies.Connection.Close()
		m.readers.Wait()
		_ = m.dependencies.System.Root.StopFuture(m.pid).Wait()
	})
}

func (m *Membership) send(message any) {
	select {
	case <-m.stopped:
	default:
		m.dependencies.System.Root.Send(m.pid, message)
	}
}

func (m *Membership) receive(context actor.Context) {
	switch message := context.Message().(type) {
	case *actor.Started:
		m.step(membership.Tick{})
	case *actor.Stopping:
		if m.timer != nil {
			m.timer.Stop()
		}
	case leaveRequest:
		m.step(membership.Leave{})
		close(message.done)
	case membership.Receive:
		m.pending.Add(-1)
		m.step(message)
	case membership.Message:
		m.step(message)
	}
}

// step feeds the core one message and performs its effects. Writing a datagram only hands it
// to the kernel, so it does not wait for the network.
func (m *Membership) step(message membership.Message) {
	for _, effect := range m.core.Step(time.Now(), message) {
		switch effect := effect.(type) {
		case membership.Send:
			m.write(effect)
		case membership.Changed:
			m.publish()
		}
	}
	m.wakeAt(m.core.NextWake())
}

func (m *Membership) write(send membership.Send) {
	address, err := net.ResolveUDPAddr("udp", send.To)
	if err != nil {
		return
	}
	if _, err := m.dependencies.Connection.WriteTo(send.Packet, address); err != nil && !errors.Is(err, net.ErrClosed) {
		m.dependencies.Logger.Debug().Str("to", send.To).Err(err).Msg("gossip_send_failed")
	}
}

func (m *Membership) publish() {
	members := m.core.Members()
	m.logChanges(members)
	m.dependencies.Views.Members.Set(members)
}

// logChanges logs one line for each member whose state has changed.
func (m *Membership) logChanges(members []fleet.Member) {
	before := make(map[fleet.NodeName]fleet.MemberState)
	if earlier, found := m.dependencies.Views.Members.Get(); found {
		for _, member := range earlier {
			before[member.Name] = member.State
		}
	}
	for _, member := range members {
		if before[member.Name] != member.State {
			m.dependencies.Logger.Info().Str("member", string(member.Name)).
				Str("member_zone", string(member.Zone)).Str("state", string(member.State)).
				Uint64("incarnation", member.Incarnation).Uint64("version", member.ConfigVersion).Msg("member_changed")
		}
	}
}

func (m *Membership) wakeAt(wake time.Time) {
	delay := max(time.Until(wake), time.Millisecond)
	if m.timer != nil {
		m.timer.Stop()
	}
	m.timer = time.AfterFunc(delay, func() { m.send(membership.Tick{}) })
}

func (m *Membership) readPackets() {
	defer m.readers.Done()
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, from, err := m.dependencies.Connection.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if m.pending.Add(1) > maxPendingPackets {
			m.pending.Add(-1)
			continue
		}
		m.send(membership.Receive{From: from.String(), Packet: append([]byte(nil), buffer[:count]...)})
	}
}

// listedNodes returns the nodes on the machine list.
func listedNodes(list objectstore.MachineList) []membership.ListedNode {
	var nodes []membership.ListedNode
	for _, machine := range list.Machines {
		if machine.Role != "node" || machine.Node.Gossip == "" {
			continue
		}
		nodes = append(nodes, membership.ListedNode{
			Name:          machine.Name,
			GossipAddress: machine.Node.Gossip,
			Leaving:       machine.State != objectstore.MachineLive,
		})
	}
	return nodes
}
