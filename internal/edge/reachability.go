package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/singleflight"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/reachability"
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/routetable"
)

// reachCheckPeriod is the interval between checks for services whose next probes are due.
const reachCheckPeriod = 100 * time.Millisecond

// reachable tracks to which services this node can open connections. It is safe for concurrent use.
type reachable struct {
	node    *Node
	rounds  singleflight.Group
	mu      sync.Mutex
	tracker *reachability.Tracker
}

var _ relay.Reachability = (*reachable)(nil)

func newReachable(node *Node) *reachable {
	return &reachable{node: node, tracker: reachability.New()}
}

// RecordContact implements relay.Reachability.
func (r *reachable) RecordContact(service, serverID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tracker.RecordContact(service, serverID)
}

// RecordFailure implements relay.Reachability.
func (r *reachable) RecordFailure(service, serverID string) {
	r.mu.Lock()
	probe := r.tracker.RecordFailure(clock.Now(), service, serverID)
	r.mu.Unlock()
	if probe {
		r.probe(service)
	}
}

// recordCall records how a call of the system itself to the server ended, for nodes that have no callers.
func (r *reachable) recordCall(serverID string, err error) {
	service := ""
	r.node.dispatch.Do(func(core *dispatch.Core) { service = core.ServiceOf(serverID) })
	switch {
	case service == "" || errors.Is(err, context.Canceled):
	case err == nil:
		r.RecordContact(service, serverID)
	default:
		r.RecordFailure(service, serverID)
	}
}

// IsUnreachable implements relay.Reachability.
func (r *reachable) IsUnreachable(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.IsUnreachable(service)
}

// ReachesOthers implements relay.Reachability. It asks the servers that share the most of the way: the
// ways to a zone or a service may fail while others work. Servers that were down before vouch for
// nothing, and without any other server there is nothing to compare this one with.
func (r *reachable) ReachesOthers(service, serverID string) bool {
	down := r.down()
	var witnesses []inventory.Server
	r.node.dispatch.Do(func(core *dispatch.Core) {
		witnesses = core.SampleWitnesses(service, serverID, down, reachability.SampleSize)
	})
	return len(witnesses) == 0 || r.countAnswering(witnesses) > 0
}

// down returns servers that ended or did not answer while this node reached others.
func (r *reachable) down() []string {
	r.mu.Lock()
	lone := r.tracker.Lone()
	r.mu.Unlock()
	return append(lone, r.node.suspects.crashedRecently()...)
}

// reachesNone reports whether no service of the table that has servers is reachable.
func (r *reachable) reachesNone(table *routetable.Table) bool {
	unreachable := r.unreachable()
	if len(unreachable) == 0 {
		return false
	}
	none := true
	r.node.dispatch.Do(func(core *dispatch.Core) {
		for service := range table.Services {
			none = none && (slices.Contains(unreachable, service) || !core.HasServer(clock.Now(), dispatch.Requirements{Service: service}))
		}
	})
	return none
}

// cannotOrder reports whether this node reaches no server of some service with models, so that it
// could not order loads there.
func (r *reachable) cannotOrder() bool { return r.includesModels(r.unreachable()) }

// includesModels reports whether any of the services has models.
func (r *reachable) includesModels(services []string) bool {
	table := r.node.handler.Table()
	return table != nil && slices.ContainsFunc(services, func(service string) bool {
		return table.Services[service].Engine != nil
	})
}

// unreachable returns the services to which no connection comes up.
func (r *reachable) unreachable() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Unreachable()
}

// run probes unreachable services until ctx ends.
func (r *reachable) run(ctx context.Context) {
	ticker := time.NewTicker(reachCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.mu.Lock()
			due := r.tracker.Due(clock.Now())
			r.mu.Unlock()
			for _, service := range due {
				r.probe(service)
			}
		}
	}
}

// probe plays one round for the service. Concurrent callers share it.
func (r *reachable) probe(service string) {
	_, _, _ = r.rounds.Do(service, func() (any, error) {
		r.mu.Lock()
		size, exclude := r.tracker.Begin(clock.Now(), service)
		r.mu.Unlock()
		var sample []inventory.Server
		var known int
		r.node.dispatch.Do(func(core *dispatch.Core) {
			sample, known = core.SampleServers(service, exclude, size)
		})
		answered := r.countAnswering(sample)
		r.mu.Lock()
		transition, changed := r.tracker.Finish(clock.Now(), service, reachability.Round{Probed: len(sample), Answered: answered, Known: known})
		r.mu.Unlock()
		if changed {
			r.logTransition(transition, known)
			// Waiting requests go to peers, or to servers again.
			r.node.dispatch.Do(func(core *dispatch.Core) { core.Wake() })
		}
		return nil, nil
	})
}

// countAnswering probes the servers at the same time, and returns how many accepted a connection.
func (r *reachable) countAnswering(servers []inventory.Server) (answered int) {
	var mu sync.Mutex
	var group errgroup.Group
	for _, server := range servers {
		group.Go(func() error {
			if r.node.pool.Probe(server.Address) == backendconn.LivenessAlive {
				mu.Lock()
				answered++
				mu.Unlock()
			}
			return nil
		})
	}
	// The probes return no errors.
	_ = group.Wait()
	return answered
}

func (r *reachable) logTransition(transition reachability.Transition, known int) {
	event := "service_reachable"
	if transition.IsUnreachable {
		event = "service_unreachable"
		r.node.metrics.outages.Inc()
	}
	r.node.options.Logger.Warn().Str("service", transition.Service).Int("unanswered", transition.Failed).Int("servers", known).
		Int64("lasted_ms", transition.Lasted.Milliseconds()).Msg(event)
}
