package faults

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/goccy/go-yaml"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/lab/history"
	"github.com/spanlanding/spanlanding/internal/node"
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/standin/books"
	standinfaults "github.com/spanlanding/spanlanding/internal/standin/faults"
)

// The size of each fleet: small, but with three zones, so that keepers of keys
// lie in different ones, and with two nodes a zone, so that one can take over.
const (
	nodesPerZone   = 2
	enginesPerZone = 2
	profile        = "fjordkurv"
	// declaredVersions is the number of model versions that the profile's
	// declarations offer.
	declaredVersions = 10
)

var (
	zones    = []fleet.Zone{"oslo-a", "oslo-b", "oslo-c"}
	services = []string{"boxes", "slots"}
)

// Ports of a fleet; each fleet has a loopback address of its own.
const (
	platformPort = 7000
	enginePort   = 7100
	servicePort  = 7200
	nodePort     = 7300
	portsPerNode = 4
)

// testNode is one node of the fleet, which may be started more than once.
type testNode struct {
	*process
	settings node.Settings
	file     string
}

func (n *testNode) caller() string   { return n.settings.Listen.Caller }
func (n *testNode) operator() string { return n.settings.Listen.Operator }

// testEngine is one engine in a process of its own.
type testEngine struct {
	*process
	backend string
	zone    fleet.Zone
	address string
}

// state is what the engine says of itself, and false if it is not heard.
func (e *testEngine) state() (fleet.EngineState, bool) {
	var state fleet.EngineState
	heard := get("http://"+e.address+backend.PathEngineState, &state)
	return state, heard
}

// testFleet is a whole system as processes.
type testFleet struct {
	*testing.T
	folder   string
	address  string
	platform string
	nodes    []*testNode
	engines  []*testEngine
	services int
	log      []history.Fault
	// races counts the races between operators.
	races int
	// begun is when the present load began, for what is printed.
	begun time.Time
}

var fleets atomic.Int32

// startFleet waits for its turn, starts a fleet and declares the examples. It
// returns once every zone has a leader and every model version its decision.
func startFleet(t *testing.T) *testFleet {
	t.Helper()
	t.Parallel()
	places <- struct{}{}
	t.Cleanup(func() { <-places })
	f := &testFleet{T: t, folder: newFolder(t), address: freeAddress(t)}
	platform := f.at(platformPort)
	f.platform = "http://" + platform
	startProcess(t, f.folder, "platform", spanlab, "platform", "--listen", platform,
		"--load-rate", "4", "--load-concurrency", "13")
	f.awaitPort(platform)
	for _, zone := range zones {
		f.startBackends(zone)
	}
	f.apply(f.declared("declared"), "start")
	f.settleNodes()
	for _, node := range f.nodes {
		f.startNode(node)
	}
	f.awaitDecisions()
	return f
}

// newFolder is kept with the logs in it if the test fails.
func newFolder(t *testing.T) string {
	t.Helper()
	folder, err := os.MkdirTemp("", "spanlanding-fleet")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs are in %s", folder)
			return
		}
		_ = os.RemoveAll(folder)
	})
	return folder
}

// freeAddress gives each fleet a loopback address that no other one uses.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 200 {
		number := fleets.Add(1)
		address := fmt.Sprintf("127.%d.%d.1", 16+os.Getpid()%200, number%250)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, platformPort))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return address
	}
	t.Fatal("no loopback address is free")
	return ""
}

func (f *testFleet) at(port int) string {
	return fmt.Sprintf("%s:%d", f.address, port)
}

func (f *testFleet) awaitPort(address string) {
	f.Helper()
	eventually(f.T, "a listener at "+address, func() bool {
		connection, err := net.Dial("tcp", address)
		if err == nil {
			_ = connection.Close()
		}
		return err == nil
	})
}

// startBackends starts the engines of a zone, each in a process of its own,
// and a server of each service.
func (f *testFleet) startBackends(zone fleet.Zone) {
	f.Helper()
	for number := range enginesPerZone {
		name := fmt.Sprintf("%s-e%d-", zone, number)
		address := f.at(enginePort + len(f.engines))
		started := startProcess(f.T, f.folder, name+"0", spanlab, "engine", "--platform", f.platform,
			"--zone", string(zone), "--name-prefix", name, "--listen", address, "--memory", "160GiB",
			"--kv-reserve", "8GiB", "--load-seconds", "1", "--token-interval", "15ms")
		f.engines = append(f.engines, &testEngine{process: started, backend: name + "0", zone: zone, address: address})
	}
	for _, service := range services {
		name := fmt.Sprintf("%s-%s-", zone, service)
		startProcess(f.T, f.folder, name+"0", spanlab, "service", "--platform", f.platform, "--zone", string(zone),
			"--service", service, "--name-prefix", name, "--listen", f.at(servicePort+f.services), "--service-time", "20ms")
		f.services++
	}
}

// settleNodes works out the settings of all nodes.
func (f *testFleet) settleNodes() {
	f.Helper()
	gossip := make(map[fleet.Zone][]string)
	for _, zone := range zones {
		for number := range nodesPerZone {
			port := nodePort + portsPerNode*len(f.nodes)
			f.nodes = append(f.nodes, &testNode{settings: node.Settings{
				Name: fleet.NodeName(fmt.Sprintf("%s-%d", zone, number)), Zone: zone, Platform: f.platform,
				Listen: node.ListenSettings{
					Caller: f.at(port), Operator: f.at(port + 1), Peer: f.at(port + 2), Gossip: f.at(port + 3),
				},
				WeightStore: node.WeightStoreSettings{LoadsPerSecond: 4, ConcurrentLoads: 13},
			}})
			gossip[zone] = append(gossip[zone], f.at(port+3))
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

// awaitDecisions returns once every zone has a leader that knows its back ends
// and each declared model version has replicas decided.
func (f *testFleet) awaitDecisions() {
	f.Helper()
	for _, node := range f.nodes {
		eventually(f.T, "decisions at "+string(node.settings.Name), func() bool {
			node.mustRun(f.T)
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

// status returns what a node says of itself, and false if it is not heard.
func (f *testFleet) status(node *testNode) (operator.Status, bool) {
	var status operator.Status
	heard := get("http://"+node.operator()+"/status", &status)
	return status, heard
}

// nodesOf lists the nodes of a zone.
func (f *testFleet) nodesOf(zone fleet.Zone) []*testNode {
	return slices.DeleteFunc(slices.Clone(f.nodes), func(node *testNode) bool { return node.settings.Zone != zone })
}

// leaderSeenBy returns the leader of the node's own zone as the node knows it.
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

// leaderOf waits until the nodes of a zone agree on the leader.
func (f *testFleet) leaderOf(zone fleet.Zone) *testNode {
	f.Helper()
	var leader *testNode
	eventually(f.T, "a leader of "+string(zone), func() bool {
		members := f.nodesOf(zone)
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

// otherOf is the node of the same zone beside the given one.
func (f *testFleet) otherOf(node *testNode) *testNode {
	members := f.nodesOf(node.settings.Zone)
	if members[0] == node {
		return members[1]
	}
	return members[0]
}

// note keeps a fault for the judge and shows it.
func (f *testFleet) note(kind history.FaultKind, target, detail string) {
	fault := history.Fault{At: time.Now(), Kind: kind, Target: target, Detail: detail}
	f.log = append(f.log, fault)
	f.writeFaults()
	f.Logf("injected after %s: %s %s %s", time.Since(f.begun).Round(time.Millisecond), kind, target, detail)
}

func (f *testFleet) killNode(node *testNode) {
	f.Helper()
	f.note(history.NodeKilled, node.caller(), string(node.settings.Name))
	node.kill()
}

func (f *testFleet) killEngine(engine *testEngine) {
	f.Helper()
	engine.kill()
	f.note(history.EngineKilled, engine.backend, "")
}

func (f *testFleet) pause(node *testNode) {
	f.Helper()
	f.note(history.NodePaused, node.caller(), string(node.settings.Name))
	node.signal(f.T, syscall.SIGSTOP)
}

func (f *testFleet) resume(node *testNode) {
	f.Helper()
	node.signal(f.T, syscall.SIGCONT)
	f.note(history.NodeContinued, node.caller(), string(node.settings.Name))
}

// faultsAt sets the faults of one stand-in; the zero Set ends them.
func (f *testFleet) faultsAt(url string, set standinfaults.Set) {
	f.Helper()
	body, err := json.Marshal(set)
	if err != nil {
		f.Fatal(err)
	}
	response, err := client.Post(url+standinfaults.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		f.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		f.Fatalf("faults at %s: %s", url, response.Status)
	}
}

// store sets the faults of the platform.
func (f *testFleet) store(set standinfaults.Set, detail string) {
	f.Helper()
	kind := history.FaultInjected
	if detail == "" {
		kind = history.FaultCleared
	}
	f.faultsAt(f.platform, set)
	f.note(kind, "platform", detail)
}

// cut parts a zone from the platform and from the back ends of the other
// zones, both ways. The nodes' own connections stay.
func (f *testFleet) cut(zone fleet.Zone, also standinfaults.Set) {
	f.Helper()
	also.Cuts = []standinfaults.Cut{{From: zone, To: standinfaults.PlatformZone}}
	f.faultsAt(f.platform, also)
	for url, at := range f.backendURLs() {
		var cuts []standinfaults.Cut
		for _, other := range zones {
			if (at == zone) != (other == zone) {
				cuts = append(cuts, standinfaults.Cut{From: other, To: at})
			}
		}
		f.faultsAt(url, standinfaults.Set{Cuts: cuts})
	}
	f.note(history.FaultInjected, string(zone), "zone-cut")
}

// heal ends every fault of the stand-ins.
func (f *testFleet) heal() {
	f.Helper()
	f.faultsAt(f.platform, standinfaults.Set{})
	for url := range f.backendURLs() {
		f.faultsAt(url, standinfaults.Set{})
	}
	f.note(history.FaultCleared, "all stand-ins", "")
}

// backendURLs has the zone of each back end by its URL.
func (f *testFleet) backendURLs() map[string]fleet.Zone {
	urls := make(map[string]fleet.Zone)
	for _, engine := range f.engines {
		urls["http://"+engine.address] = engine.zone
	}
	for number := range f.services {
		urls["http://"+f.at(servicePort+number)] = zones[number/len(services)]
	}
	return urls
}

// awaitLoading returns the first engine that loads a model.
func (f *testFleet) awaitLoading(engines []*testEngine) *testEngine {
	f.Helper()
	var found *testEngine
	eventually(f.T, "an engine that loads a model", func() bool {
		for _, engine := range engines {
			state, heard := engine.state()
			loading := func(model fleet.LoadedModel) bool { return model.State == fleet.LoadLoading }
			if heard && slices.ContainsFunc(state.Models, loading) {
				found = engine
				return true
			}
		}
		return false
	})
	return found
}

// enginesOf lists the engines of a zone.
func (f *testFleet) enginesOf(zone fleet.Zone) []*testEngine {
	return slices.DeleteFunc(slices.Clone(f.engines), func(engine *testEngine) bool { return engine.zone != zone })
}

// loads counts the loads that the engines left took within a time.
func (f *testFleet) loads(from, to time.Time) int {
	count := 0
	for _, engine := range f.engines {
		var book books.Book
		if !get("http://"+engine.address+"/lab/books", &book) {
			continue
		}
		for _, residency := range book.Residencies {
			if residency.From.After(from) && residency.From.Before(to) {
				count++
			}
		}
	}
	return count
}

// declared copies the examples to a folder that a test may change.
func (f *testFleet) declared(name string) string {
	f.Helper()
	folder := filepath.Join(f.folder, name)
	if err := os.CopyFS(folder, os.DirFS(filepath.Join(projectRoot, "examples", profile))); err != nil {
		f.Fatal(err)
	}
	return folder
}

// redeclare replaces the only place of a text in a declared file.
func (f *testFleet) redeclare(folder, file, before, after string) {
	f.Helper()
	f.rewrite(filepath.Join(folder, file), func(content string) string {
		if strings.Count(content, before) != 1 {
			f.Fatalf("%s does not have %q once", file, before)
		}
		return strings.Replace(content, before, after, 1)
	})
}

var declaredWeight = regexp.MustCompile(`coldStartWeight: [0-9.]+`)

// setWeight changes a declared number that moves no model.
func (f *testFleet) setWeight(folder string, weight float64) {
	f.Helper()
	f.rewrite(filepath.Join(folder, "capacity.yaml"), func(content string) string {
		return declaredWeight.ReplaceAllString(content, fmt.Sprintf("coldStartWeight: %g", weight))
	})
}

func (f *testFleet) rewrite(path string, change func(string) string) {
	f.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		f.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(change(string(content))), 0o600); err != nil {
		f.Fatal(err)
	}
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
