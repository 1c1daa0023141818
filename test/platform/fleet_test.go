package platform

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
)

// fleet is some nodes on one stand-in platform.
type fleet struct {
	t      *testing.T
	store  *store
	ports  [4]int
	folder string
	nodes  []*node
	// isQuiet leaves the nodes' logs out of what a failed test prints.
	isQuiet bool
}

type node struct {
	fleet    *fleet
	name     string
	ip       string
	settings string
	process  *exec.Cmd
	ended    chan error
	// binary is the program that it runs from its next start on; empty is the one under test.
	binary string
	// arguments are further ones of the command.
	arguments []string
	// toPeers is the way of others to the node, and toStore that of the node to
	// the store; nil without relays.
	toPeers, toStore *way
	mu               sync.Mutex
	output           bytes.Buffer
}

// Write keeps what the node logs.
func (n *node) Write(text []byte) (int, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.output.Write(text)
}

func (n *node) log() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.output.String()
}

const settingsForm = `nodeName = %q
ip = %q
zone = "z"
internalPorts = [%d, %d]
seeds = [%s]
unknownField = { of = "another version" }
[listen]
frontend = "%s:%d"
ready = "%s:%d"
[bounds]
graceS = 4
leaseMs = 600
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 54
ceilingWindowS = 5
originOverage = 1.1
coldOverage = 1.5
coldSlack = 5
[platform]
address = %q
`

func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	return newFleetWithSeeds(t, count, `"127.0.0.1:1", "127.0.0.2:1"`)
}

func newFleetWithSeeds(t *testing.T, count int, seeds string) *fleet {
	t.Helper()
	return newFleetWith(t, fleetOptions{count: count, seeds: seeds})
}

// fleetOptions set up a fleet.
type fleetOptions struct {
	count int
	seeds string
	// firstIP is the last part of the address of the first node; 0 is 1.
	firstIP int
	// isRelayed puts relays between nodes, and between each and the store.
	isRelayed bool
	// zones are those of the nodes, as ZONE=REGION; empty is the same one for all.
	zones []string
	// hasMetrics lets nodes serve their figures behind the first internal port.
	hasMetrics bool
	// bounds are further lines of the settings' bounds.
	bounds string
}

func newFleetWith(t *testing.T, options fleetOptions) *fleet {
	t.Helper()
	s, address := newStore(t)
	f := &fleet{t: t, store: s, folder: t.TempDir()}
	for i := range f.ports {
		f.ports[i] = freePort(t)
	}
	t.Cleanup(f.end)
	for i := range options.count {
		ip := "127.0.0." + strconv.Itoa(max(1, options.firstIP)+i)
		n := &node{fleet: f, name: "node-" + strconv.Itoa(i+1), ip: ip}
		storeAddress := address
		if options.hasMetrics {
			n.arguments = append(n.arguments, "--metrics", fmt.Sprintf("%d/metrics", f.ports[0]+1))
		}
		if options.isRelayed {
			storeAddress = n.relay(t, address)
		}
		n.settings = filepath.Join(f.folder, n.name+".toml")
		text := fmt.Sprintf(settingsForm, n.name, ip, f.ports[0], f.ports[0]+1, options.seeds, ip, f.ports[1], ip, f.ports[2], storeAddress)
		text = strings.Replace(text, "[bounds]\n", "[bounds]\n"+options.bounds, 1)
		if err := os.WriteFile(n.settings, []byte(options.place(text, i)), 0o600); err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, n)
		n.start()
	}
	return f
}

// place puts the node of a number into its zone.
func (o fleetOptions) place(settings string, number int) string {
	if len(o.zones) == 0 {
		return settings
	}
	zone, region, _ := strings.Cut(o.zones[number], "=")
	settings = strings.Replace(settings, `zone = "z"`, fmt.Sprintf("zone = %q\nregion = %q", zone, region), 1) + "[zones]\n"
	for _, named := range slices.Compact(slices.Sorted(slices.Values(o.zones))) {
		zone, region, _ := strings.Cut(named, "=")
		settings += fmt.Sprintf("%s = %q\n", zone, region)
	}
	return settings
}

// relay puts the node behind relays and returns the store's address for it.
func (n *node) relay(t *testing.T, store string) string {
	hidden := fmt.Sprintf("%s:%d", n.ip, n.fleet.ports[3])
	n.arguments = append(n.arguments, "--peers-listen", hidden)
	n.toPeers = newPeerWay(t, fmt.Sprintf("%s:%d", n.ip, n.fleet.ports[0]), hidden)
	n.toStore = newWay(t, "127.0.0.1:0", store)
	return n.toStore.address()
}

// end kills all nodes and shows what they wrote where the test failed.
func (f *fleet) end() {
	for _, n := range f.nodes {
		_ = n.process.Process.Kill()
	}
	if f.t.Failed() && !f.isQuiet {
		for _, n := range f.nodes {
			f.t.Logf("%s:\n%s", n.name, n.log())
		}
	}
}

// Ports of nodes lie below those that the system gives to connections which name
// none: one of these took a node's port before the node had opened it.
const (
	firstPort = 12000
	portCount = 18000
	portTries = 100
)

// freePort is a port that nobody has by TCP or UDP.
func freePort(t *testing.T) int {
	t.Helper()
	for range portTries {
		port := firstPort + rand.IntN(portCount)
		if isFree(port) {
			return port
		}
	}
	t.Fatalf("no free port in %d tries", portTries)
	return 0
}

// isFree looks at all addresses: nodes of another run have others than this one's.
func isFree(port int) bool {
	address := net.JoinHostPort("0.0.0.0", strconv.Itoa(port))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	defer packets.Close()
	return true
}
