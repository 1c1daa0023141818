package load

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
)

// Sender sends one call. Client implements it over HTTP.
type Sender interface {
	Send(ctx context.Context, call Call, id fleet.RequestID) history.Record
}

// RunOptions configure how a plan is executed.
type RunOptions struct {
	RunID  string
	Sender Sender
	// Nodes are the nodes to which callers may fail over if theirs is down.
	Nodes []string
	// Progress is called with the current counts whenever a call was sent or
	// has ended. It may be nil and must not block.
	Progress func(sent, ended int)
}

// Run sends each call at its planned time, whether or not earlier ones have
// ended. It returns when all have ended, with the records in the order of the
// plan.
func Run(ctx context.Context, plan []Call, options RunOptions) []history.Record {
	records := make([]history.Record, len(plan))
	progress := &progressCount{report: options.Progress}
	nodes := newNodeSelector(options.Nodes)
	start := time.Now()
	var senders sync.WaitGroup
	sent := 0
	for index, call := range plan {
		if !sleepUntil(ctx, start.Add(call.At)) {
			break
		}
		sent++
		progress.add(1, 0)
		id := fleet.RequestID(fmt.Sprintf("load-%s-%06d", options.RunID, index))
		call.Node = nodes.choose(call.Node)
		senders.Go(func() {
			records[index] = options.Sender.Send(ctx, call, id)
			if indicatesUnavailable(records[index]) {
				nodes.markDown(call.Node)
			}
			progress.add(0, 1)
		})
	}
	senders.Wait()
	return records[:sent]
}

// sleepUntil returns false if the context is canceled before the given time.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	wait := time.Until(at)
	if wait <= 0 {
		return true
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// progressCount counts sent and ended requests.
type progressCount struct {
	mutex       sync.Mutex
	sent, ended int
	report      func(sent, ended int)
}

func (p *progressCount) add(sent, ended int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.sent += sent
	p.ended += ended
	if p.report != nil {
		p.report(p.sent, p.ended)
	}
}

// codeStopping is the refusal code of a node during its planned stop.
const codeStopping = "node-stopping"

// indicatesUnavailable reports whether the node should get no further requests.
func indicatesUnavailable(record history.Record) bool {
	return record.Outcome == history.Unreachable || record.Code == codeStopping
}

// nodeSelector directs callers away from nodes that were unreachable or refused a
// request because they were stopping, like a client-side address list. The
// request that detects this is not retried.
type nodeSelector struct {
	mutex sync.Mutex
	nodes []string
	down  map[string]bool
}

func newNodeSelector(nodes []string) *nodeSelector {
	return &nodeSelector{nodes: nodes, down: make(map[string]bool)}
}

// choose returns the node itself if it is up, or the next node in the list that
// is. If none is up, it returns the node itself.
func (n *nodeSelector) choose(node string) string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	first := slices.Index(n.nodes, node)
	if !n.down[node] || first < 0 {
		return node
	}
	for step := 1; step < len(n.nodes); step++ {
		candidate := n.nodes[(first+step)%len(n.nodes)]
		if !n.down[candidate] {
			return candidate
		}
	}
	return node
}

func (n *nodeSelector) markDown(node string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.down[node] = true
}
