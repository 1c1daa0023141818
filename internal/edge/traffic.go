package edge

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// trafficKind is what a datagram to a peer is for.
type trafficKind int

const (
	// trafficGossip goes to some nodes each period.
	trafficGossip trafficKind = iota
	// trafficDemand tells those that decide what callers want.
	trafficDemand
	// trafficViews tells all nodes what the leader changed or confirms.
	trafficViews
	// trafficViewReplies tells one node all views that it asked for.
	trafficViewReplies
	// trafficQuotas asks for the tenants' quotas and answers that.
	trafficQuotas
	// trafficCrashes tells of servers that ended under requests.
	trafficCrashes
	// trafficForwarded is what this node sends on for another.
	trafficForwarded
	// trafficSnapshots is what peers answered to this node's questions for all they know.
	trafficSnapshots

	trafficKindCount
)

// String names the traffic in logs and metrics.
func (t trafficKind) String() string {
	return [...]string{"gossip", "wanted", "views", "answers", "quotas", "crashes", "spread", "snapshots"}[t]
}

// trafficLogPeriod is the time between two log lines on what was sent to peers.
const trafficLogPeriod = 10 * time.Second

// logTraffic logs what was sent to peers since the start.
func (p *peers) logTraffic(now time.Time) {
	if now.Sub(p.trafficLoggedAt) < trafficLogPeriod {
		return
	}
	p.trafficLoggedAt = now
	entry := p.node.options.Logger.Info()
	for kind := range trafficKindCount {
		entry.Int64(kind.String()+"_bytes", p.sentBytes.byKind(kind)).
			Int64(kind.String()+"_far_bytes", p.sentBytes[kind][locality.OtherRegion].Load())
	}
	serverBytes := &p.node.handler.Metrics.ServerBytes
	for distance := range locality.DistanceCount {
		entry.Int64("servers_"+distance.String()+"_bytes", serverBytes[distance].Load())
	}
	entry.Msg("peer_traffic")
}

// sentBytes count what was sent to peers, by what it was and how far it went.
type sentBytes [trafficKindCount][locality.DistanceCount]atomic.Int64

// byKind is what was sent byKind one kind.
func (s *sentBytes) byKind(kind trafficKind) int64 {
	sum := int64(0)
	for distance := range locality.DistanceCount {
		sum += s[kind][distance].Load()
	}
	return sum
}

// byDistance is what was sent so far away, of all kinds.
func (s *sentBytes) byDistance(distance locality.Distance) int64 {
	sum := int64(0)
	for kind := range trafficKindCount {
		sum += s[kind][distance].Load()
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
