package gateway

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// QueueInfo is one model's queue at this node.
type QueueInfo struct {
	Model   fleet.ModelVersion
	Waiting int
	// Oldest is how long the oldest request has waited.
	Oldest time.Duration
}

// Queues lists the models for which requests wait, in order. It is empty where
// the answer does not come before the context's end.
func (g *Gateway) Queues(ctx context.Context) []QueueInfo {
	answer := make(chan []QueueInfo, 1)
	g.models.send(linesAsked{reply: answer})
	select {
	case lines := <-answer:
		return lines
	case <-g.models.gone:
	case <-ctx.Done():
	}
	return nil
}

func (s *dispatcherState) lines(now time.Time) []QueueInfo {
	lines := s.queue.Queues()
	infos := make([]QueueInfo, 0, len(lines))
	for _, line := range lines {
		infos = append(infos, QueueInfo{Model: line.Model, Waiting: line.Waiting, Oldest: now.Sub(line.Oldest)})
	}
	return infos
}
