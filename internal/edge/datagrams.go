package edge

import (
	"net"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/gossip"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// sendAlone sends nodes a state that tells nothing of the sender.
func (p *peers) sendAlone(what traffic, targets []string, state *peerpb.NodeState) {
	datagram, err := proto.Marshal(state)
	if err != nil {
		p.node.options.Logger.Warn().Str("what", what.String()).Err(err).Msg("datagram_unwritable")
		return
	}
	for _, target := range targets {
		if target != p.address {
			p.write(what, target, datagram)
		}
	}
}

// sendQuota sends one call of quotas.
func (p *peers) sendQuota(target string, call *peerpb.QuotaCall) {
	p.sendAlone(trafficQuotas, []string{target}, &peerpb.NodeState{Quota: call})
}

// tellAll sends one call of quotas to all living nodes.
func (p *peers) tellAll(call *peerpb.QuotaCall) {
	p.sendAlone(trafficQuotas, p.all(clock.Now()), &peerpb.NodeState{Quota: call})
}

// sendCrashes tells nodes of servers that ended under requests.
func (p *peers) sendCrashes(targets []string, reports []*peerpb.CrashReport) {
	p.sendAlone(trafficCrashes, targets, &peerpb.NodeState{Node: p.node.options.Name, Crashes: reports})
}

// sendTrial sends one call on the trial of a request.
func (p *peers) sendTrial(target string, call *peerpb.TrialCall) {
	p.sendAlone(trafficCrashes, []string{target}, &peerpb.NodeState{Trial: call})
}

func (p *peers) write(what traffic, target string, datagram []byte) {
	address, err := net.ResolveUDPAddr("udp4", target)
	if err != nil {
		return
	}
	_, _ = p.conn.WriteToUDP(datagram, address)
	p.mu.Lock()
	distance := p.roster.DistanceTo(target)
	p.mu.Unlock()
	p.sentBytes[what][distance].Add(int64(len(datagram)))
}

func (p *peers) send(what traffic, targets []string, state *peerpb.NodeState) {
	p.sendSpread(what, gossip.BroadcastPlan{Direct: targets}, state)
}

// sendSpread sends this node's state to nodes, and to those that send it on.
func (p *peers) sendSpread(what traffic, plan gossip.BroadcastPlan, state *peerpb.NodeState) {
	p.mu.Lock()
	p.sequence++
	state.Sequence = p.sequence
	peers := toldPeers
	if p.roster.Count(clock.Now()) > manyNodes {
		peers = manyToldPeers
	}
	named := state.Peers
	state.Peers = append(slices.Clip(named), p.roster.SampleAddresses(clock.Now(), peers)...)
	p.mu.Unlock()
	p.writeSpread(what, plan, state)
	state.Peers = named
}

// writeSpread writes the state as it is.
func (p *peers) writeSpread(what traffic, plan gossip.BroadcastPlan, state *peerpb.NodeState) {
	p.writeOnce(what, plan.Direct, state)
	for _, spreader := range plan.Spreaders {
		state.Spread = encodeSpreader(spreader)
		p.writeOnce(what, []string{spreader.Address}, state)
	}
	state.Spread = nil
}

// writeOnce writes the state to each of the targets once.
func (p *peers) writeOnce(what traffic, targets []string, state *peerpb.NodeState) {
	if len(targets) == 0 {
		return
	}
	datagram, err := proto.Marshal(state)
	if err != nil {
		p.node.options.Logger.Warn().Str("what", what.String()).Err(err).Msg("datagram_unwritable")
		return
	}
	sent := make(map[string]bool, len(targets))
	for _, target := range targets {
		if sent[target] {
			continue
		}
		sent[target] = true
		p.write(what, target, datagram)
	}
}
