package faults

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/node"
	"github.com/spanlanding/spanlanding/internal/operator"
)

// The size of each fleet is small, but has three zones, so that the keepers of a key
// are in different zones, and two nodes per zone, so that one can take over.
const (
	nodesPerZone   = 2
	enginesPerZone = 2
	profile        = "fjordkurv"
	// declaredVersions is the number of model versions in the profile's declarations.
	declaredVersions = 10
)

var (
	zones    = []fleet.Zone{"oslo-a", "oslo-b", "oslo-c"}
	services = []string{"boxes", "slots"}
)

// Ports of a fleet; each fleet uses its own loopback address.
const (
	platformPort = 7000
	enginePort   = 7100
	servicePort  = 7200
	nodePort     = 7300
	portsPerNode = 4
)

// testNode is a node of the fleet, which may be started more than once.
type testNode struct {
	*process
	settings node.Settings
	file     string
}

func (n *testNode) caller() string   { return n.settings.Listen.Caller }
func (n *testNode) operator() string { return n.settings.Listen.Operator }

// testEngine is an engine that runs in its own process.
type testEngine struct {
	*process
	backend string
	zone    fleet.Zone
	address string
}

// state returns the engine's reported state, and false if the engine does not answer.
func (e *testEngine) state() (fleet.EngineState, bool) {
	var state fleet.EngineState
	ok := get("http://"+e.address+backend.PathEngineState, &state)
	return state, ok
}

// testFleet is a complete system whose parts run as processes.
type testFleet struct {
	*testing.T
	folder   string
	address  string
	platform string
	nodes    []*testNode
	engines  []*testEngine
	services int
	injected []history.Fault
	// raceCount counts the races between operators.
	raceCount int
	// loadStarted is when the current load began; log messages give times relative to it.
	loadStarted time.Time
}

var fleetCount atomic.Int32

// startFleet waits for a free slot, starts a fleet and applies the example declarations.
// It returns once every zone has a leader and replicas of every model version are decided.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	t.Parallel()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &testFleet{T: t, folder: newLogFolder(t), address: freeAddress(t)}
	platform := f.hostPort(platformPort)
	f.platform = "http://" + platform
	startProcess(t, f.folder, "platform", spanlab, "platform", "--listen", platform,
		"--load-rate", "4", "--load-concurrency", "13")
	f.awaitPort(platform)
	for _, zone := range zones {
		f.startBackends(zone)
	}
	f.apply(f.copyExamples("declared"), "start")
	f.configureNodes()
	for _, node := range f.nodes {
		f.startNode(node)
	}
	f.awaitDecisions()
	return f
}

// newLogFolder creates a folder for the logs, which is kept if the test fails.
func newLogFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "spanlanding-fleet")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs: %s", folder)
			return
		}
		_ = os.RemoveAll(folder)
	})
	return folder
}

// freeAddress returns a loopback address that no other fleet uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 200 {
		number := fleetCount.Add(1)
		address := fmt.Sprintf("127.%d.%d.1", 16+os.Getpid()%200, number%250)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, platformPort))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatal("no free loopback address")
	return ""
}

func (f *testFleet) hostPort(port int) string {
	return fmt.Sprintf("%s:%d", f.address, port)
}

func (f *testFleet) awaitPort(address string) {
	f.Helper()
	eventually(f.T, "listener at "+address, func() bool {
		connection, err := net.Dial("tcp", address)
		if err == nil {
			_ = connection.Close()
		}
		return err == nil
	})
}

// startBackends starts the engines of a zone, each in its own process, and one server
// of each service.
func (f *testFleet) startBackends(zone fleet.Zone) {
	f.Helper()
	for number := range enginesPerZone {
		name := fmt.Sprintf("%s-e%d-", zone, number)
		address := f.hostPort(enginePort + len(f.engines))
		started := startProcess(f.T, f.folder, name+"0", spanlab, "engine", "--platform", f.platform,
			"--zone", string(zone), "--name-prefix", name, "--listen", address, "--memory", "160GiB",
			"--kv-reserve", "8GiB", "--load-seconds", "1", "--token-interval", "15ms")
		f.engines = append(f.engines, &testEngine{process: started, backend: name + "0", zone: zone, address: address})
	}
	for _, service := range services {
		name := fmt.Sprintf("%s-%s-", zone, service)
		startProcess(f.T, f.folder, name+"0", spanlab, "service", "--platform", f.platform, "--zone", string(zone),
			"--service", service, "--name-prefix", name, "--listen", f.hostPort(servicePort+f.services), "--service-time", "20ms")
		f.services++
	}
}

// configureNodes computes the settings of all nodes and writes them to files.
func (f *testFleet) configureNodes() {
	f.Helper()
	gossip := make(map[fleet.Zone][]string)
	for _, zone := range zones {
		for number := range nodesPerZone {
			port := nodePort + portsPerNode*len(f.nodes)
			f.nodes = append(f.nodes, &testNode{settings: node.Settings{
				Name: fleet.NodeName(fmt.Sprintf("%s-%d", zone, number)), Zone: zone, Platform: f.platform,
				Listen: node.ListenSettings{
					Caller: f.hostPort(port), Operator: f.hostPort(port + 1), Peer: f.hostPort(port + 2), Gossip: f.hostPort(port + 3),
				},
				WeightStore: node.WeightStoreSettings{LoadsPerSecond: 4, ConcurrentLoads: 13},
			}})
			gossip[zone] = append(gossip[zone], f.hostPort(port+3))
		}
	}
	for _, node := range f.nodes {
		node.settings.Seeds = gossip[node.settings.Zone]
		for _, zone := range zones {
			if zone != node.settings.Zone {
				node.settings.RemoteSeeds = append(node.settings.RemoteSeeds, gossip[zone][0])
			}
		}
		content, err := yaml.Marshal(node.settings)
		if err != nil {
			f.Fatal(err)
		}
		node.file = filepath.Join(f.folder, string(node.settings.Name)+".yaml")
		if err := os.WriteFile(node.file, content, 0o600); err != nil {
			f.Fatal(err)
		}
	}
}

func (f *testFleet) startNode(node *testNode) {
	f.Helper()
	node.process = startProcess(f.T, f.folder, string(node.settings.Name), spanlanding, "node", "--settings", node.file)
}

// awaitDecisions waits until every zone has a leader that knows its back ends and
// replicas are decided for each declared model version.
func (f *testFleet) awaitDecisions() {
	f.Helper()
	for _, node := range f.nodes {
		eventually(f.T, "decisions at "+string(node.settings.Name), func() bool {
			node.requireRunning(f.T)
			status, up := f.status(node)
			decided := 0
			for _, model := range status.Models {
				if model.Decided > 0 {
					decided++
				}
			}
			return up && status.Ready && len(status.Zones) == len(zones) && decided >= declaredVersions
		})
	}
}

// status returns a node's reported status, and false if the node does not answer.
func (f *testFleet) status(node *testNode) (operator.Status, bool) {
	var status operator.Status
	ok := get("http://"+node.operator()+"/status", &status)
	return status, ok
}

// nodesIn lists the nodes of a zone.
func (f *testFleet) nodesIn(zone fleet.Zone) []*testNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(node *testNode) bool { return node.settings.Zone != zone })
}

// leaderSeenBy returns the leader of the node's own zone and its fence as the node knows them.
func (f *testFleet) leaderSeenBy(node *testNode) (*testNode, string) {
	status, _ := f.status(node)
	for _, zone := range status.Zones {
		if zone.Zone != node.settings.Zone {
			continue
		}
		for _, candidate := range f.nodes {
			if candidate.settings.Name == zone.Leader {
				return candidate, zone.Fence
			}
		}
	}
	return nil, ""
}

// awaitLeader waits until all nodes of a zone agree on the leader.
func (f *testFleet) awaitLeader(zone fleet.Zone) *testNode {
	f.Helper()
	var leader *testNode
	eventually(f.T, "leader of zone "+string(zone), func() bool {
		members := f.nodesIn(zone)
		leader, _ = f.leaderSeenBy(members[0])
		for _, member := range members[1:] {
			if other, _ := f.leaderSeenBy(member); other != leader {
				return false
			}
		}
		return leader != nil
	})
	return leader
}

// otherNodeInZone returns the second node of the given node's zone.
func (f *testFleet) otherNodeInZone(node *testNode) *testNode {
	members := f.nodesIn(node.settings.Zone)
	if members[0] == node {
		return members[1]
	}
	return members[0]
}

var client = &http.Client{Timeout: 5 * time.Second}

func get(url string, into any) bool {
	response, err := client.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(into) == nil
}
