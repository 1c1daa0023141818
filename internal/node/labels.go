package node

import (
	"context"
	"runtime/pprof"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/views"
)

// Labels of a processor profile: where several nodes share a process, a
// profile tells them apart, and the parts of each.
const (
	ProfileNode = "spanlanding.node"
	ProfilePart = "spanlanding.part"
)

// The parts of a node as a profile names them.
const (
	partMembership = "membership"
	partConfig     = "config"
	partControl    = "control"
	partClaims     = "claims"
	partPeers      = "peer"
	partOperators  = "operator"
	// PartCallers is the requests' path and all that is no control.
	PartCallers = "caller"
)

func partLabels(name fleet.NodeName, part string) pprof.LabelSet {
	return pprof.Labels(ProfileNode, string(name), ProfilePart, part)
}

// throughput is how many messages an actor takes before it yields.
const throughput = 300

// partDispatcher runs an actor's mailbox under the labels of its part; what
// the actor starts inherits them.
type partDispatcher struct{ labels context.Context }

// Schedule implements actor.Dispatcher.
func (d partDispatcher) Schedule(run func()) {
	go func() {
		pprof.SetGoroutineLabels(d.labels)
		run()
	}()
}

// Throughput implements actor.Dispatcher.
func (d partDispatcher) Throughput() int { return throughput }

func inPart(name fleet.NodeName, part string) actor.PropsOption {
	return actor.WithDispatcher(partDispatcher{labels: pprof.WithLabels(context.Background(), partLabels(name, part))})
}

// Views are what the node's shells publish. Readers must not set them.
func (n *Node) Views() *views.Views { return n.views }

// Metrics are the node's own figures.
func (n *Node) Metrics() prometheus.Gatherer { return n.metrics }
