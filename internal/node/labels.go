package node

import (
	"context"
	"runtime/pprof"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/views"
)

// Labels in CPU profiles. They tell apart the nodes that share a process, and
// the components of each node.
const (
	ProfileNode = "spanlanding.node"
	ProfilePart = "spanlanding.part"
)

// The values of ProfilePart: the components of a node.
const (
	partMembership = "membership"
	partConfig     = "config"
	partControl    = "control"
	partClaims     = "claims"
	partPeers      = "peer"
	partOperators  = "operator"
	// PartCallers is the request path and everything that is in no other part.
	PartCallers = "caller"
)

func profileLabels(name fleet.NodeName, part string) pprof.LabelSet {
	return pprof.Labels(ProfileNode, string(name), ProfilePart, part)
}

// throughput is how many messages an actor processes before it yields.
const throughput = 300

// labelingDispatcher runs an actor's mailbox under the profile labels of its part.
// Goroutines that the actor starts inherit them.
type labelingDispatcher struct{ labels context.Context }

// Schedule implements actor.Dispatcher.
func (d labelingDispatcher) Schedule(run func()) {
	go func() {
		pprof.SetGoroutineLabels(d.labels)
		run()
	}()
}

// Throughput implements actor.Dispatcher.
func (d labelingDispatcher) Throughput() int { return throughput }

func withProfileLabels(name fleet.NodeName, part string) actor.PropsOption {
	return actor.WithDispatcher(labelingDispatcher{labels: pprof.WithLabels(context.Background(), profileLabels(name, part))})
}

// Views returns the views that the node's shells publish. Readers must not set them.
func (n *Node) Views() *views.Views { return n.views }

// Metrics returns the node's own metrics.
func (n *Node) Metrics() prometheus.Gatherer { return n.metrics }
