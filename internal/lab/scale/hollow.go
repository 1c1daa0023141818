package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/node"
)

const (
	callTimeout = 5 * time.Second
	// readyPoll is how often it is looked whether the fleet has settled.
	readyPoll = 50 * time.Millisecond
	// storeRate lets loads be bounded by nothing but the engines.
	storeRate = 1000
)

// hollow is one node of this process.
type hollow struct {
	node *node.Node
	name fleet.NodeName
	zone fleet.Zone
	// caller is its address for callers.
	caller string
}

// startNodes starts all nodes of a setup.
func startNodes(setup Setup, platformURL string) ([]hollow, error) {
	var nodes []hollow
	for zone := range setup.Zones {
		for index := range setup.NodesPerZone {
			settings, err := settingsOf(setup, zone, index, platformURL).Complete()
			if err == nil {
				var running *node.Node
				running, err = node.Start(settings, logging.Discard())
				nodes = append(nodes, hollow{running, settings.Name, settings.Zone, settings.Listen.Caller})
			}
			if err != nil {
				stopNodes(nodes[:max(0, len(nodes)-1)])
				return nil, err
			}
		}
	}
	return nodes, nil
}

func nodeName(zone, index int) fleet.NodeName {
	return fleet.NodeName(fmt.Sprintf("%s-node-%02d", zoneName(zone), index))
}

func settingsOf(setup Setup, zone, index int, platformURL string) node.Settings {
	settings := node.Settings{
		Name:     nodeName(zone, index),
		Zone:     zoneName(zone),
		Platform: platformURL,
		Listen: node.ListenSettings{
			Caller:   address(zone, index, portCaller),
			Operator: address(zone, index, portOperator),
			Peer:     address(zone, index, portPeer),
			Gossip:   address(zone, index, portGossip),
		},
		WeightStore: node.WeightStoreSettings{LoadsPerSecond: storeRate, ConcurrentLoads: storeRate},
		LogLevel:    "error",
	}
	for seed := range min(2, setup.NodesPerZone) {
		settings.Seeds = append(settings.Seeds, address(zone, seed, portGossip))
	}
	for other := range setup.Zones {
		if other != zone {
			settings.RemoteSeeds = append(settings.RemoteSeeds, address(other, 0, portGossip))
		}
	}
	return settings
}

func stopNodes(nodes []hollow) {
	var stopping sync.WaitGroup
	for _, each := range nodes {
		stopping.Go(each.node.Stop)
	}
	stopping.Wait()
}

// awaitSettled returns once each node has the version in force, knows every
// member of its zone and has a table of each zone with all its engines.
func awaitSettled(ctx context.Context, setup Setup, nodes []hollow, version uint64) error {
	for {
		lacking := ""
		for _, each := range nodes {
			if what := lacks(setup, each, version); what != "" {
				lacking = fmt.Sprintf("%s lacks %s", each.name, what)
				break
			}
		}
		if lacking == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(fmt.Errorf("the fleet did not settle: %s", lacking), ctx.Err())
		case <-time.After(readyPoll):
		}
	}
}

func lacks(setup Setup, each hollow, version uint64) string {
	snapshot, found := each.node.Views().Catalog.Get()
	if !found || snapshot.Version() < version {
		return "the declarations"
	}
	members, _ := each.node.Views().Members.Get()
	known := 0
	for _, member := range members {
		if member.Zone == each.zone && member.State == fleet.MemberAlive {
			known++
		}
	}
	if known < setup.NodesPerZone {
		return fmt.Sprintf("members of its zone: has %d", known)
	}
	tables, _ := each.node.Views().Tables.Get()
	for zone := range setup.Zones {
		if count := len(tables[zoneName(zone)].Engines); count < setup.EnginesPerZone {
			return fmt.Sprintf("engines of %s: has %d", zoneName(zone), count)
		}
	}
	return ""
}
