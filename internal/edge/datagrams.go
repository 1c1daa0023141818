package edge

import (
	"net"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// sendMessage sends a datagram that carries no state of the sender.
func (p *peers) sendMessage(kind trafficKind, targets []string, state *peerpb.NodeState) {
	datagram, err := proto.Marshal(state)
	if err != nil {
		p.node.options.Logger.Warn().Str("what", kind.String()).Err(err).Msg("datagram_unwritable")
		return
	}
	for _, target := range targets {
		if target != p.address {
			p.writeDatagram(kind, target, datagram)
		}
	}
}

// sendQuota sends a quota call to one node.
func (p *peers) sendQuota(target string, call *peerpb.QuotaCall) {
	p.sendMessage(trafficQuotas, []string{target}, &peerpb.NodeState{Quota: call})
}

// broadcastQuota sends a quota call to all live nodes.
func (p *peers) broadcastQuota(call *peerpb.QuotaCall) {
	p.sendMessage(trafficQuotas, p.aliveAddresses(clock.Now()), &peerpb.NodeState{Quota: call})
}

// sendCrashes sends crash reports to the targets.
func (p *peers) sendCrashes(targets []string, reports []*peerpb.CrashReport) {
	p.sendMessage(trafficCrashes, targets, &peerpb.NodeState{Node: p.node.options.Name, Crashes: reports})
}

// sendTrial sends a trial call to one node.
func (p *peers) sendTrial(target string, call *peerpb.TrialCall) {
	p.sendMessage(trafficCrashes, []string{target}, &peerpb.NodeState{Trial: call})
}

func (p *peers) writeDatagram(kind trafficKind, target string, datagram []byte) {
	address, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return
	}
	_, _ = p.conn.WriteToUDP(datagram, address)
	p.mu.Lock()
	distance := p.roster.DistanceTo(target)
	p.mu.Unlock()
	p.sentBytes[kind][distance].Add(int64(len(datagram)))
}

func (p *peers) send(kind trafficKind, targets []string, state *peerpb.NodeState) {
	p.broadcast(kind, gossip.BroadcastPlan{Direct: targets}, state)
}

// broadcast sends this node's state to the plan's direct targets and to its spreaders.
func (p *peers) broadcast(kind trafficKind, plan gossip.BroadcastPlan, state *peerpb.NodeState) {
	p.mu.Lock()
	p.sequence++
	state.Sequence = p.sequence
	peers := sampledPeers
	if p.roster.Count(clock.Now()) > largeFleetNodes {
		peers = largeFleetSampledPeers
	}
	explicit := state.Peers
	state.Peers = append(slices.Clip(explicit), p.roster.SampleAddresses(clock.Now(), peers)...)
	p.mu.Unlock()
	p.writePlan(kind, plan, state)
	state.Peers = explicit
}

// writePlan sends the state unchanged to the plan's direct targets and to its spreaders.
func (p *peers) writePlan(kind trafficKind, plan gossip.BroadcastPlan, state *peerpb.NodeState) {
	p.writeUnique(kind, plan.Direct, state)
	for _, spreader := range plan.Spreaders {
		state.Spread = encodeSpreader(spreader)
		p.writeUnique(kind, []string{spreader.Address}, state)
	}
	state.Spread = nil
}

// writeUnique sends the state once to each distinct target.
func (p *peers) writeUnique(kind trafficKind, targets []string, state *peerpb.NodeState) {
	if len(targets) == 0 {
		return
	}
	datagram, err := proto.Marshal(state)
	if err != nil {
		p.node.options.Logger.Warn().Str("what", kind.String()).Err(err).Msg("datagram_unwritable")
		return
	}
	sent := make(map[string]bool, len(targets))
	for _, target := range targets {
		if sent[target] {
			continue
		}
		sent[target] = true
		p.writeDatagram(kind, target, datagram)
	}
}
