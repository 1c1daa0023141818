package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// program is the project's program, as the deploy file builds and runs it, from the root of the repository.
const program = "target/spanlanding"

// Ports of each machine, alike on all machines.
const (
	frontendPort = 8149
	readyPort    = 8141
	controlPort  = 8144
	peerPort     = 7380
)

// world is one small deployment on loopback addresses.
type world struct {
	record *record
	// trouble is set if the disruption is played.
	trouble bool
	folder  string
	// network is the beginning of the machines' addresses.
	network string
	store   *store

	mu    sync.Mutex
	nodes []*node
	lines map[string]int
}

func newWorld(r *record, trouble bool) (*world, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, trouble: trouble, folder: folder, lines: make(map[string]int)}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("build first: %w", err)
	}
	if w.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	w.store, err = newStore(w.network + ".250")
	return w, err
}

// freeNetwork draws a part of the loopback addresses on which the ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250))
		isFree := true
		for _, port := range []int{frontendPort, readyPort, controlPort, peerPort, metricsPort} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, port))
			if err != nil {
				isFree = false
				break
			}
			_ = listener.Close()
		}
		if isFree {
			return network, nil
		}
	}
	return "", fmt.Errorf("no free addresses")
}

const metricsPort = 9464

// end ends all processes and removes the folder.
func (w *world) end() {
	w.mu.Lock()
	nodes := w.nodes
	w.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	_ = os.RemoveAll(w.folder)
}

// node is one machine of the system.
type node struct {
	world    *world
	name, ip string
	settings string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// startedAt is when its process was last started.
	startedAt time.Time
}

// settingsText is the settings file of a machine of a small deployment; the figures are those of the site
// fjordkurv-prod.
const settingsText = `nodeName = %[1]q
role = "edge"
machineClass = "edge"
serves = ["edge","control"]
ip = %[2]q
zone = %[3]q
region = "oslo"
internalPorts = [7380,7395]
seeds = [%[4]s]
isBootstrap = %[5]t
isCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","fleet","stream","engine","platform"]
[zones]
oslo-a = "oslo"
oslo-b = "oslo"
oslo-c = "oslo"
[listen]
frontend = "%[2]s:8149"
ready = "%[2]s:8141"
control = "%[2]s:8144"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 54
recoverS = 12
passMs = 120
retryAfterS = 0
fencingEnforced = false
leaseMs = 3000
thawMs = 300
ceilingWindowS = 5
originOverage = 1.1
[platform]
address = %[6]q
form = "objects"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

var zones = []string{"oslo-a", "oslo-b", "oslo-c"}

// addNode describes a machine and starts its process.
func (w *world) addNode(name string, host int, isBootstrap bool) *node {
	n := &node{world: w, name: name, ip: fmt.Sprintf("%s.%d", w.network, host), settings: filepath.Join(w.folder, fmt.Sprintf("%s-%d.toml", name, host))}
	var seeds []string
	for seed := 1; seed <= 3; seed++ {
		seeds = append(seeds, fmt.Sprintf(`"%s.%d:%d"`, w.network, seed, controlPort))
	}
	text := fmt.Sprintf(settingsText, name, n.ip, zones[(host-1)%len(zones)], strings.Join(seeds, ","), isBootstrap, w.store.address)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	n.start()
	return n
}

// addNodes starts the machines of the deployment, and waits until all are ready.
func (w *world) addNodes(count int) []*node {
	var nodes []*node
	for host := 1; host <= count; host++ {
		nodes = append(nodes, w.addNode(fmt.Sprintf("edge-%s-%d", zones[(host-1)%len(zones)], 1+(host-1)/len(zones)), host, true))
	}
	w.awaitReady(nodes)
	return nodes
}

// awaitReady waits until the machines say that they are ready.
func (w *world) awaitReady(nodes []*node) {
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, n := range nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(nodes) {
			w.record.add("%d machines are ready", ready)
			return
		}
		if time.Now().After(end) {
			fail("only %d of %d machines are ready", ready, len(nodes))
		}
	}
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	output, err := os.OpenFile(filepath.Join(n.world.folder, n.name+"-"+n.ip+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	n.cmd = exec.Command(program, "edge", "--metrics", "9464/metrics")
	n.cmd.Env = append(os.Environ(), "SPANLANDING_BOOT="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = output, output
	if err := n.cmd.Start(); err != nil {
		fail("start %s: %v", n.name, err)
	}
	_ = output.Close()
	n.startedAt = time.Now()
	exited, cmd := make(chan struct{}), n.cmd
	n.exited = exited
	go func() { _ = cmd.Wait(); close(exited) }()
	n.world.record.add("machine %s starts at %s", n.name, n.ip)
}

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-exited
}

// terminate sends SIGTERM, and SIGKILL after graceS.
func (n *node) terminate() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	n.world.record.add("machine %s at %s gets SIGTERM, and is gone for good", n.name, n.ip)
	_ = cmd.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-exited:
		case <-time.After(grace):
			_ = cmd.Process.Signal(syscall.SIGKILL)
			<-exited
		}
		n.world.record.add("the process of %s at %s has ended", n.name, n.ip)
	}()
}

// grace is graceS of the settings.
const grace = 8 * time.Second

func (n *node) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", n.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// frontend is the address for clients.
func (n *node) frontend() string { return fmt.Sprintf("%s:%d", n.ip, frontendPort) }

// keepLogs copies what the machines wrote beside the record where LOGS names a folder.
func (w *world) keepLogs() {
	target := os.Getenv("LOGS")
	if target == "" {
		return
	}
	for _, n := range w.nodes {
		if text, err := os.ReadFile(filepath.Join(w.folder, n.name+"-"+n.ip+".log")); err == nil {
			_ = os.WriteFile(filepath.Join(target, n.name+"-"+n.ip+".log"), text, 0o600)
		}
	}
}
