package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// world is everything that a case runs against.
type world struct {
	program string
	trouble bool
	record  *record
	dir     string
	store   *store
	// network is the beginning of the nodes' loopback addresses.
	network string
	ports   ports
	nodes   []*node
	once    sync.Once
}

// ports are those of all nodes.
type ports struct{ internal, frontend, ready, control int }

func newWorld(program, recordPath string, trouble bool) (*world, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{program: program, trouble: trouble, record: &record{file: file, started: time.Now()}, dir: dir}
	w.network = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
	w.ports = ports{internal: freePort(w.network + "1"), frontend: freePort(w.network + "1"), ready: freePort(w.network + "1"), control: freePort(w.network + "1")}
	if w.store, err = newStore(); err != nil {
		return nil, err
	}
	return w, nil
}

// close ends all processes that the case started and removes its folder.
func (w *world) close() {
	w.once.Do(func() {
		for _, n := range w.nodes {
			n.kill()
			// REVIEW_LOGS names a folder for what the processes log; empty keeps none.
			if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
				_ = os.WriteFile(filepath.Join(dir, n.name+".log"), []byte(n.log()), 0o600)
			}
		}
		_ = os.RemoveAll(w.dir)
	})
}

// freePort returns a port below those of outgoing connections that nobody listens at.
func freePort(ip string) int {
	for {
		port := 12000 + rand.IntN(18000)
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		return port
	}
}

// node is one process of the project.
type node struct {
	world    *world
	name, ip string
	settings string
	mu       sync.Mutex
	command  *exec.Cmd
	output   bytes.Buffer
}

// Write collects what the process logs.
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

const settingsText = `nodeName = "edge-oslo-a-%[1]d"
role = "edge"
machineClass = "edge"
serves = ["edge", "control"]
ip = "%[2]s"
zone = "oslo-a"
region = "oslo"
internalPorts = [%[3]d, %[4]d]
seeds = [%[5]s]
isBootstrap = true
isCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine", "platform"]
[zones]
oslo-a = "oslo"
[listen]
frontend = "%[2]s:%[6]d"
ready = "%[2]s:%[7]d"
control = "%[2]s:%[8]d"
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
address = "%[9]s"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
historyS = 20
value_bytes = 1048576
ttl_min_ms = 1000
`

// startNodes starts the nodes with the command of the deploy file.
func (w *world) startNodes(count int) error {
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf(`"%s%d:%d"`, w.network, i+1, w.ports.control))
	}
	for i := range count {
		n := &node{world: w, name: fmt.Sprintf("edge-oslo-a-%d", i+1), ip: fmt.Sprintf("%s%d", w.network, i+1)}
		n.settings = filepath.Join(w.dir, n.name+".toml")
		text := fmt.Sprintf(settingsText, i+1, n.ip, w.ports.internal, w.ports.internal+15, strings.Join(seeds, ", "),
			w.ports.frontend, w.ports.ready, w.ports.control, w.store.address)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		w.nodes = append(w.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

func (n *node) start() error {
	command := exec.Command(n.world.program, "edge", "--metrics", "9464/metrics")
	command.Env = append(os.Environ(), "SPANLANDING_BOOT="+n.settings)
	command.Stdout, command.Stderr = n, n
	if err := command.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.command = command
	n.mu.Unlock()
	return nil
}

func (n *node) kill() {
	n.mu.Lock()
	command := n.command
	n.command = nil
	n.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
}

func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d/api/readyz", n.ip, n.world.ports.ready))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes say that they are ready.
func (w *world) awaitReady() error {
	for _, n := range w.nodes {
		if !eventually(20*time.Second, n.isReady) {
			return fmt.Errorf("%w: %s is not ready:\n%s", errNotRun, n.name, n.log())
		}
	}
	w.record.add("%d nodes are ready", len(w.nodes))
	return nil
}

// eventually waits until the condition holds, for the limit at most.
func eventually(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
