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

// Sender sends one call; Client is the one that does so over HTTP.
type Sender interface {
	Send(ctx context.Context, call Call, id fleet.RequestID) history.Record
}

// RunOptions say how a plan is carried out.
type RunOptions struct {
	RunID  string
	Sender Sender
	// Nodes are those that callers may turn to when theirs can't be reached.
	Nodes []string
	// Progress is called after each end with the numbers so far; it may be
	// nil and must not block.
	Progress func(sent, ended int)
}

// Run sends each call at its time, whether or not earlier ones have ended, and
// returns the records in the order of the plan when all have ended.
func Run(ctx context.Context, plan []Call, options RunOptions) []history.Record {
	records := make([]history.Record, len(plan))
	progress := &progressCount{report: options.Progress}
	nodes := newNodeChoice(options.Nodes)
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
			if turnsAway(records[index]) {
				nodes.markDown(call.Node)
			}
			progress.add(0, 1)
		})
	}
	senders.Wait()
	return records[:sent]
}

// sleepUntil returns false if the context ended first.
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

// progressCount adds up sent and ended requests.
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

// codeStopping is the code of a refusal by a node that stops as planned.
const codeStopping = "node-stopping"

// turnsAway reports whether the node is not to be asked any more.
func turnsAway(record history.Record) bool {
	return record.Outcome == history.Unreachable || record.Code == codeStopping
}

// nodeChoice turns callers away from nodes that could not be reached or that
// said that they stop, as an address list at the callers' side does. The
// request that found it out stays as it ended.
type nodeChoice struct {
	mutex sync.Mutex
	nodes []string
	down  map[string]bool
}

func newNodeChoice(nodes []string) *nodeChoice {
	return &nodeChoice{nodes: nodes, down: make(map[string]bool)}
}

// choose returns the node itself or the next one in the list that is up.
func (n *nodeChoice) choose(node string) string {
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

func (n *nodeChoice) markDown(node string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.down[node] = true
}
