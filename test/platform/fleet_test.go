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
	"syscall"
	"testing"
	"time"
)

// fleet is a set of node processes that share one fake platform.
type fleet struct {
	t     *testing.T
	store *store
	// storeAddress is where nodes reach the store.
	storeAddress string
	ports        [4]int
	dir          string
	nodes        []*node
	// hidesLogs omits the nodes' logs from the output of a failed test.
	hidesLogs bool
}

type node struct {
	fleet        *fleet
	name         string
	ip           string
	settingsPath string
	// processMu guards cmd and exited, which are set together once a process has started.
	processMu sync.Mutex
	cmd       *exec.Cmd
	exited    chan error
	// binary is the program to run from the next start on; empty means the build under test.
	binary string
	// arguments are additional command-line arguments.
	arguments []string
	// peerProxy forwards other nodes' traffic to this node, and storeProxy this node's traffic
	// to the store; both are nil without proxies.
	peerProxy, storeProxy *proxy
	mu                    sync.Mutex
	output                bytes.Buffer
}

// Write appends process output to the captured log.
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

const settingsTemplate = `nodeName = %q
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
	return newFleetWithOptions(t, fleetOptions{count: count, seeds: seeds})
}

// fleetOptions configures a fleet.
type fleetOptions struct {
	count int
	seeds string
	// firstIP is the last octet of the first node's address; 0 means 1.
	firstIP int
	// hasProxies puts proxies between the nodes and between each node and the store.
	hasProxies bool
	// zones lists each node's zone as ZONE=REGION; empty puts all nodes in one zone.
	zones []string
	// hasMetrics makes nodes serve metrics on the port after the first internal port.
	hasMetrics bool
	// bounds holds additional lines of the [bounds] section.
	bounds string
	// grace replaces the grace period of the template; zero leaves it.
	grace time.Duration
	// memoryMb is the memory of each machine; 0 leaves it out of the settings.
	memoryMb int
}

func newFleetWithOptions(t *testing.T, options fleetOptions) *fleet {
	t.Helper()
	s, address := newStore(t)
	f := &fleet{t: t, store: s, storeAddress: address, dir: t.TempDir()}
	f.drawPorts()
	t.Cleanup(f.cleanup)
	for i := range options.count {
		ip := "127.0.0." + strconv.Itoa(max(1, options.firstIP)+i)
		n := &node{fleet: f, name: "node-" + strconv.Itoa(i+1), ip: ip}
		storeAddress := address
		if options.hasMetrics {
			n.arguments = append(n.arguments, "--metrics", fmt.Sprintf("%d/metrics", f.ports[0]+1))
		}
		if options.hasProxies {
			storeAddress = n.addProxies(t, address)
		}
		n.settingsPath = filepath.Join(f.dir, n.name+".toml")
		text := fmt.Sprintf(settingsTemplate, n.name, ip, f.ports[0], f.ports[0]+1, options.seeds, ip, f.ports[1], ip, f.ports[2], storeAddress)
		text = strings.Replace(text, "[bounds]\n", "[bounds]\n"+options.bounds, 1)
		if options.grace > 0 {
			text = strings.Replace(text, "graceS = 4\n", fmt.Sprintf("graceS = %g\n", options.grace.Seconds()), 1)
		}
		if options.memoryMb > 0 {
			text += fmt.Sprintf("[limits]\nmemoryMb = %d\n", options.memoryMb)
		}
		if err := os.WriteFile(n.settingsPath, []byte(options.setZone(text, i)), 0o600); err != nil {
			t.Fatal(err)
		}
		f.nodes = append(f.nodes, n)
		n.start()
	}
	return f
}

// setZone writes the zone of the node with this index into its settings.
func (o fleetOptions) setZone(settings string, number int) string {
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

// addProxies puts proxies in front of the node and its store connection, and returns the
// store address that the node has to use.
func (n *node) addProxies(t *testing.T, store string) string {
	directAddress := fmt.Sprintf("%s:%d", n.ip, n.fleet.ports[3])
	n.arguments = append(n.arguments, "--peers-listen", directAddress)
	n.peerProxy = newPeerProxy(t, fmt.Sprintf("%s:%d", n.ip, n.fleet.ports[0]), directAddress)
	n.storeProxy = newProxy(t, "127.0.0.1:0", store)
	return n.storeProxy.address()
}

// cleanup kills all nodes and prints their logs if the test failed.
func (f *fleet) cleanup() {
	for _, n := range f.nodes {
		_ = n.cmd.Process.Kill()
	}
	if f.t.Failed() && !f.hidesLogs {
		for _, n := range f.nodes {
			f.t.Logf("%s:\n%s", n.name, n.log())
		}
	}
}

// Node ports lie below the ephemeral port range: an outgoing connection could otherwise take
// a node's port before the node opens it.
const (
	firstPort    = 12000
	portCount    = 18000
	portAttempts = 100
)

// drawPorts draws the fleet's ports, none of which is another one or that of the metrics.
func (f *fleet) drawPorts() {
	taken := make(map[int]bool)
	for i := range f.ports {
		port := freePort(f.t)
		for taken[port] || i == 0 && !isPortFree(port+1) {
			port = freePort(f.t)
		}
		f.ports[i], taken[port] = port, true
		if i == 0 {
			taken[port+1] = true
		}
	}
}

// freePort returns a port that is free for both TCP and UDP.
func freePort(t *testing.T) int {
	t.Helper()
	for range portAttempts {
		port := firstPort + rand.IntN(portCount)
		if isPortFree(port) {
			return port
		}
	}
	t.Fatalf("no free port in %d tries", portAttempts)
	return 0
}

// isPortFree checks all addresses, since nodes of another test run use other addresses than
// this run. A process that is started meanwhile would hold the port until it has run its program.
func isPortFree(port int) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
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

// Guards against nodes that cannot start, since one of their ports is drawn twice.
func TestPortsOfAFleetDiffer(t *testing.T) {
	for range 200 {
		f := &fleet{t: t}
		f.drawPorts()
		taken := map[int]bool{f.ports[0] + 1: true}
		for _, port := range f.ports {
			if taken[port] {
				t.Fatalf("port %d is drawn twice: %v", port, f.ports)
			}
			taken[port] = true
		}
	}
}
