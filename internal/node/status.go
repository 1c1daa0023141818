package node

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/gateway"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/views"
)

var (
	errNoCatalog = errors.New("no configuration has been received yet from the store or from peers")
	errDraining  = errors.New("the node is draining")
)

// tableAges records when each zone's route table last changed on this node.
type tableAges struct {
	mutex     sync.Mutex
	changedAt map[fleet.Zone]time.Time
	sequences map[fleet.Zone]uint64
}

func (t *tableAges) watch(published *views.Views) {
	t.changedAt = make(map[fleet.Zone]time.Time)
	t.sequences = make(map[fleet.Zone]uint64)
	published.RouteTables.Watch(t.update)
}

func (t *tableAges) update(tables views.RouteTables) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for zone, table := range tables {
		if sequence, known := t.sequences[zone]; known && sequence == table.Sequence {
			continue
		}
		t.sequences[zone] = table.Sequence
		t.changedAt[zone] = time.Now()
	}
}

func (t *tableAges) snapshot() map[fleet.Zone]time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return maps.Clone(t.changedAt)
}

// operatorSource answers the operator API from the views that the shells publish.
type operatorSource struct {
	node *Node
}

var _ operator.Source = operatorSource{}

// Status implements operator.Source.
func (s operatorSource) Status() operator.Status {
	node := s.node
	now := time.Now()
	tables, _ := node.views.RouteTables.Get()
	members, _ := node.views.Members.Get()
	queues := node.queues()
	return operator.Status{
		Node:          node.self.Name,
		Zone:          node.self.Zone,
		Ready:         s.Ready() == nil,
		Draining:      node.draining.Load(),
		ConfigVersion: node.configVersion(),
		UptimeSeconds: now.Sub(node.started).Seconds(),
		Members:       members,
		Zones:         operator.MarkEvacuated(operator.ZonesOf(tables, node.tableAges.snapshot(), now), node.evacuatedZones()),
		Models:        operator.ModelsOf(tables, node.control.Decided(), queues),
		Queues:        queues,
	}
}

// queuesTimeout bounds the wait for the gateway's queue status.
const queuesTimeout = time.Second

func (n *Node) queues() []operator.QueueStatus {
	ctx, cancel := context.WithTimeout(context.Background(), queuesTimeout)
	defer cancel()
	queues := []operator.QueueStatus{}
	for _, queue := range n.gateway.Queues(ctx) {
		queues = append(queues, operator.QueueStatus{
			Model: queue.Model, Waiting: queue.Waiting, OldestSeconds: queue.Oldest.Seconds(),
		})
	}
	return queues
}

// Versions implements operator.Source.
func (s operatorSource) Versions() operator.VersionReport {
	members, _ := s.node.views.Members.Get()
	report := operator.VersionReport{Node: s.node.self.Name, Zone: s.node.self.Zone, Members: members}
	machines, _ := s.node.views.Machines.Get()
	for _, machine := range machines.Machines {
		if machine.Role == "node" && machine.State == objectstore.MachineLive {
			report.Listed = append(report.Listed, fleet.NodeName(machine.Name))
		}
	}
	return report
}

// Ready implements operator.Source.
func (s operatorSource) Ready() error {
	if s.node.draining.Load() {
		return errDraining
	}
	if _, found := s.node.views.Catalog.Get(); !found {
		return errNoCatalog
	}
	return nil
}

// Drain implements operator.Source.
func (s operatorSource) Drain(context.Context) error {
	go s.node.Drain(context.Background())
	return nil
}

func (n *Node) configVersion() uint64 {
	snapshot, found := n.views.Catalog.Get()
	if !found {
		return 0
	}
	return snapshot.Version()
}

func (n *Node) evacuatedZones() []string {
	snapshot, found := n.views.Catalog.Get()
	if !found {
		return nil
	}
	return snapshot.Evacuations().Zones
}

func (n *Node) currentCatalog() (gateway.Catalog, bool) {
	snapshot, found := n.views.Catalog.Get()
	if !found {
		return nil, false
	}
	return snapshot, true
}
