package gateway

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// QueueInfo describes one model's queue at this node.
type QueueInfo struct {
	Model   fleet.ModelVersion
	Waiting int
	// Oldest is how long the oldest request has waited.
	Oldest time.Duration
}

// Queues lists the models for which requests wait, in order. It returns nil if
// the dispatcher does not reply before the context ends.
func (g *Gateway) Queues(ctx context.Context) []QueueInfo {
	reply := make(chan []QueueInfo, 1)
	g.models.send(queuesRequested{reply: reply})
	select {
	case infos := <-reply:
		return infos
	case <-g.models.stopped:
	case <-ctx.Done():
	}
	return nil
}

func (s *dispatcherState) queueInfos(now time.Time) []QueueInfo {
	queues := s.queue.Queues()
	infos := make([]QueueInfo, 0, len(queues))
	for _, info := range queues {
		infos = append(infos, QueueInfo{Model: info.Model, Waiting: info.Waiting, Oldest: now.Sub(info.Oldest)})
	}
	return infos
}
