package edge

import (
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/locality"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// trafficKind classifies a datagram to a peer by its purpose.
type trafficKind int

const (
	// trafficGossip is the periodic state sent to some nodes.
	trafficGossip trafficKind = iota
	// trafficDemand reports caller demand to the leader and potential leaders.
	trafficDemand
	// trafficViews publishes the leader's changed or confirmed views to all nodes.
	trafficViews
	// trafficViewReplies answers one node's request for views.
	trafficViewReplies
	// trafficQuotas carries quota requests and responses.
	trafficQuotas
	// trafficCrashes reports servers that crashed while running a request.
	trafficCrashes
	// trafficOrigins tells and asks where streams began.
	trafficOrigins
	// trafficRelayed is relayed on behalf of another node.
	trafficRelayed
	// trafficSnapshots counts the snapshots that peers returned to this node.
	trafficSnapshots

	trafficKindCount
)

// String returns the name used in logs and metrics.
func (t trafficKind) String() string {
	return [...]string{"gossip", "wanted", "views", "answers", "quotas", "crashes", "origins", "spread", "snapshots"}[t]
}

// trafficLogPeriod is the interval between log lines on peer traffic.
const trafficLogPeriod = 10 * time.Second

// logTraffic logs the bytes sent to peers since the start.
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

// sentBytes counts the bytes sent to peers, by kind and distance.
type sentBytes [trafficKindCount][locality.DistanceCount]atomic.Int64

// byKind returns the bytes sent of one kind.
func (s *sentBytes) byKind(kind trafficKind) int64 {
	sum := int64(0)
	for distance := range locality.DistanceCount {
		sum += s[kind][distance].Load()
	}
	return sum
}

// byDistance returns the bytes sent over the given distance, of all kinds.
func (s *sentBytes) byDistance(distance locality.Distance) int64 {
	sum := int64(0)
	for kind := range trafficKindCount {
		sum += s[kind][distance].Load()
	}
	return sum
}

// countSnapshot counts the bytes of a peer's snapshot response.
func (p *peers) countSnapshot(address string, response *peerpb.SnapshotResponse) {
	p.mu.Lock()
	distance := p.roster.DistanceTo(address)
	p.mu.Unlock()
	p.sentBytes[trafficSnapshots][distance].Add(int64(proto.Size(response)))
}
