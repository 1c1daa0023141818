package edge

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// traffic is what a datagram to a peer is for.
type traffic int

const (
	// trafficGossip goes to some nodes each period.
	trafficGossip traffic = iota
	// trafficWanted tells those that decide what callers want.
	trafficWanted
	// trafficViews tells all nodes what the leader changed or confirms.
	trafficViews
	// trafficAnswers tells one node all views that it asked for.
	trafficAnswers
	// trafficQuotas asks for the tenants' quotas and answers that.
	trafficQuotas
	// trafficCrashes tells of servers that ended under requests.
	trafficCrashes
	// trafficSpread is what this node sends on for another.
	trafficSpread
	// trafficSnapshots is what peers answered to this node's questions for all they know.
	trafficSnapshots

	trafficKinds
)

// String names the traffic in logs and metrics.
func (t traffic) String() string {
	return [...]string{"gossip", "wanted", "views", "answers", "quotas", "crashes", "spread", "snapshots"}[t]
}

// trafficPeriod is the time between two log lines on what was sent to peers.
const trafficPeriod = 10 * time.Second

// logTraffic logs what was sent to peers since the start.
func (p *peers) logTraffic(now time.Time) {
	if now.Sub(p.trafficLogged) < trafficPeriod {
		return
	}
	p.trafficLogged = now
	entry := p.node.options.Logger.Info()
	for what := range trafficKinds {
		entry.Int64(what.String()+"_bytes", p.sentBytes.of(what)).
			Int64(what.String()+"_far_bytes", p.sentBytes[what][locality.OtherRegion].Load())
	}
	bodies := &p.node.handler.Metrics.ServerBytes
	for distance := range locality.DistanceCount {
		entry.Int64("servers_"+distance.String()+"_bytes", bodies[distance].Load())
	}
	entry.Msg("peer_traffic")
}

// sentBytes count what was sent to peers, by what it was and how far it went.
type sentBytes [trafficKinds][locality.DistanceCount]atomic.Int64

// of is what was sent of one kind.
func (s *sentBytes) of(what traffic) int64 {
	sum := int64(0)
	for distance := range locality.DistanceCount {
		sum += s[what][distance].Load()
	}
	return sum
}

// to is what was sent so far away, of all kinds.
func (s *sentBytes) to(distance locality.Distance) int64 {
	sum := int64(0)
	for what := range trafficKinds {
		sum += s[what][distance].Load()
	}
	return sum
}

// countSnapshot counts what a peer answered.
func (p *peers) countSnapshot(address string, response *peerpb.SnapshotResponse) {
	p.mu.Lock()
	distance := p.roster.DistanceTo(address)
	p.mu.Unlock()
	p.sentBytes[trafficSnapshots][distance].Add(int64(proto.Size(response)))
}
