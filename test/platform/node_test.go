package platform

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// binary is the path of the program under test, built once by TestMain.
var binary string

func TestMain(m *testing.M) {
	if settings := os.Getenv(streamServerVariable); settings != "" {
		fmt.Fprintln(os.Stderr, runStreamServer(settings))
		os.Exit(1)
	}
	dir, err := os.MkdirTemp("", "spanlanding-platform")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binary = filepath.Join(dir, "spanlanding")
	if output, err := exec.Command("go", "build", "-o", binary, "../../cmd/spanlanding").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func (n *node) start() {
	process, ended := exec.Command(cmp.Or(n.binary, binary), append([]string{"edge"}, n.arguments...)...), make(chan error, 1)
	process.Env = append(os.Environ(), "SPANLANDING_BOOT="+n.settingsPath)
	process.Stdout, process.Stderr = n, n
	if err := process.Start(); err != nil {
		n.fleet.t.Fatal(err)
	}
	n.processMu.Lock()
	n.cmd, n.exited = process, ended
	n.processMu.Unlock()
	go func() { ended <- process.Wait() }()
}

// process returns the node's last process, for callers beside the one that starts and stops it.
func (n *node) process() *exec.Cmd {
	n.processMu.Lock()
	defer n.processMu.Unlock()
	return n.cmd
}

func (n *node) kill() {
	_ = n.cmd.Process.Kill()
	<-n.exited
}

func (n *node) signal(signal os.Signal) { _ = n.cmd.Process.Signal(signal) }

func (n *node) isReady() bool {
	response, err := http.Get(fmt.Sprintf("http://%s:%d/api/readyz", n.ip, n.fleet.ports[2]))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

var requestNumber int

type reply struct {
	status     int
	body       string
	retryAfter string
	err        error
}

func (n *node) send(path, model string) reply {
	requestNumber++
	return n.sendRequest(callerRequest{id: "r" + strconv.Itoa(requestNumber), path: path, model: model, body: "body", deadline: 8 * time.Second})
}

// callerRequest is a request as a caller sends it; model is empty for commands.
type callerRequest struct {
	id, path, model, body string
	deadline              time.Duration
	// prefix lists the prompt's parts; empty means two fixed ones.
	prefix string
	// newConn is set to open a connection for this request alone.
	newConn bool
}

func (n *node) sendRequest(r callerRequest) reply {
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", n.ip, n.fleet.ports[1], r.path), strings.NewReader(r.body))
	if err != nil {
		return reply{err: err}
	}
	request.Host, request.Close = "host.example", r.newConn
	request.Header.Set("Request-Id", r.id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(r.deadline.Milliseconds(), 10))
	if r.model != "" {
		request.Header.Set("Model", r.model)
		request.Header.Set("Token-Count", "100,20")
		request.Header.Set("Prefix-Hash", cmp.Or(r.prefix, "a1:60,b2:40"))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, body: string(text), retryAfter: response.Header.Get("Retry-After"), err: err}
}

// eventually waits until the condition holds. The 10 s limit is far longer than any
// condition takes.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met within 10 s: %s", what)
}

func newConfig(version int, extra ...map[string]any) map[string]any {
	routes := []map[string]any{
		{"name": "command", "host": "host.example", "pathPrefix": "/command/", "type": "unsafe", "service": "commands", "maxAttempts": 1},
		{"name": "chat", "host": "host.example", "pathPrefix": "/chat/", "type": "streaming", "service": "models", "goalMs": 5000, "timeoutMs": 8000, "maxAttempts": 1, "sticky": true},
		{"name": "of another version", "host": "", "pathPrefix": "/x/", "type": "telepathic"},
	}
	return map[string]any{
		"version": version,
		"routes":  append(routes, extra...),
		"services": []map[string]any{
			{"name": "commands", "healthPath": "/healthz"},
			{"name": "models", "engine": map[string]any{
				"slots": 8, "kvCapacity": 10000, "weightsMb": 100, "adapterSlots": 2, "loadsPerS": 4,
				"models": []map[string]any{
					{"name": "m1", "weightsMb": 60, "loadS": 0.2, "adapters": 2, "adapterSizeMb": 1},
					{"name": "m2", "weightsMb": 60, "loadS": 0.2},
				},
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4096},
	}
}

func (f *fleet) awaitReady() {
	for _, n := range f.nodes {
		eventually(f.t, n.name+" is ready", n.isReady)
	}
}

// TestNodesServeLoadAndStop covers the main path with real processes: not ready without a
// configuration, commands, loading a model and its adapter on demand, a configuration change
// that watches miss, a settings reload, and a graceful stop.
func TestNodesServeLoadAndStop(t *testing.T) {
	f := newFleet(t, 2)
	commands := newServer(t, f.store, "i-commands", "commands", 0)
	models := newServer(t, f.store, "i-models", "models", 200*time.Millisecond)
	eventually(t, "a node without a configuration answers 503", func() bool { return f.nodes[0].send("/command/x", "").status == http.StatusServiceUnavailable })
	if f.nodes[0].isReady() {
		t.Error("the node is ready without a configuration")
	}
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	for _, n := range f.nodes {
		if got := n.send("/command/x", ""); got.status != http.StatusOK || got.body != "done by i-commands" {
			t.Errorf("%s: %+v", n.name, got)
		}
		if got := n.send("/unknown/x", ""); got.status != http.StatusNotFound {
			t.Errorf("%s: status %d without a route, want 404", n.name, got.status)
		}
	}
	eventually(t, "a cold model and its adapter are loaded and answer", func() bool {
		got := f.nodes[1].send("/chat/x", "m1/a2")
		return got.status == http.StatusOK && got.err == nil && strings.Count(got.body, "id: ") == 5
	})
	f.changeConfiguration()
	f.nodes[0].signal(syscall.SIGHUP)
	eventually(t, "settings are reloaded", func() bool { return strings.Contains(f.nodes[0].log(), "event=settings_reloaded") })
	f.stopWhileStreaming(models)
	if got := commands.runCount(); got != 2 {
		t.Errorf("commands ran %d times, want 2", got)
	}
}

// changeConfiguration changes the configuration while watches deliver nothing, and then
// drops the store's history.
func (f *fleet) changeConfiguration() {
	f.store.set(func() { f.store.muteWatches = true })
	added := map[string]any{"name": "new", "host": "host.example", "pathPrefix": "/new/", "type": "safe", "service": "commands"}
	f.store.put("config", "main", newConfig(5, added))
	f.store.compact()
	f.store.set(func() { f.store.muteWatches = false })
	for _, n := range f.nodes {
		eventually(f.t, "version 5 is in force at "+n.name, func() bool { return strings.Contains(n.log(), "event=config_in_force node="+n.name+" version=5") })
	}
	f.store.put("config", "main", newConfig(4))
}

// stopWhileStreaming stops the first node gracefully in the middle of a response.
func (f *fleet) stopWhileStreaming(models *modelServer) {
	models.mu.Lock()
	models.streamPause = 100 * time.Millisecond
	models.mu.Unlock()
	before := models.runCount()
	answered := make(chan reply, 1)
	go func() { answered <- f.nodes[0].send("/chat/x", "m1") }()
	eventually(f.t, "the stream runs", func() bool { return models.runCount() > before })
	f.nodes[0].signal(syscall.SIGTERM)
	if got := <-answered; got.err != nil || strings.Count(got.body, "id: ") != 5 {
		f.t.Errorf("a graceful stop interrupted the response: %+v", got)
	}
	eventually(f.t, "the node is not ready", func() bool { return !f.nodes[0].isReady() })
	if err := <-f.nodes[0].exited; err != nil {
		f.t.Errorf("a graceful stop ended with %v", err)
	}
	if strings.Contains(f.nodes[1].log(), "version=4") {
		f.t.Error("a node went back to an older version of the configuration")
	}
}

// TestOrdersHaveOneHolder kills the leader and drops store responses, then checks at the
// server that fencing tokens never go back and that no two holders overlap.
func TestOrdersHaveOneHolder(t *testing.T) {
	f := newFleet(t, 3)
	models := newServer(t, f.store, "i-models", "models", 50*time.Millisecond)
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	isServed := func(model string) func() bool {
		return func() bool { return f.nodes[2].send("/chat/x", model).status == http.StatusOK }
	}
	eventually(t, "m1 answers", isServed("m1"))
	holder := f.leader()
	holder.kill()
	f.store.set(func() { f.store.dropResponses = true })
	time.Sleep(300 * time.Millisecond)
	f.store.set(func() { f.store.dropResponses = false })
	holder.start()
	eventually(t, "m2 answers under some leader", isServed("m2"))
	eventually(t, "m1 answers again", isServed("m1"))
	checkOrders(t, models.ordersTaken())
}

// TestEachRenewalRaisesTheRevision: the store does not raise the revision for a write that
// changes nothing, so a renewal with equal content would be invisible and a successor would
// take the lease too early.
func TestEachRenewalRaisesTheRevision(t *testing.T) {
	f := newFleet(t, 1)
	newServer(t, f.store, "i-models", "models", 50*time.Millisecond)
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	revision := func() int64 {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		return f.store.objects["leases"]["leader"].Metadata.Revision
	}
	eventually(t, "the lease is taken", func() bool { return revision() > 0 })
	for range 3 {
		before := revision()
		eventually(t, "the lease is renewed", func() bool { return revision() > before })
	}
}

// TestHangupDoesNotEndAStoppingNode: a stopping node no longer handled SIGHUP, so a settings
// reload during the stop killed the process along with its requests.
func TestHangupDoesNotEndAStoppingNode(t *testing.T) {
	f := newFleet(t, 1)
	newServer(t, f.store, "i-commands", "commands", 0)
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	n := f.nodes[0]
	n.signal(syscall.SIGTERM)
	eventually(t, "the node is not ready", func() bool { return !n.isReady() })
	eventually(t, "it is draining", func() bool { return strings.Contains(n.log(), "event=node_draining") })
	n.signal(syscall.SIGHUP)
	if got := n.send("/command/x", ""); got.status != http.StatusOK {
		t.Errorf("status %d (%v) from a stopping node after SIGHUP, want 200", got.status, got.err)
	}
	if err := <-n.exited; err != nil {
		t.Errorf("a graceful stop ended with %v", err)
	}
}

// TestNodesFindEachOtherWithoutSeeds: without usable seeds, nodes discover each other
// through the holder of the lease.
func TestNodesFindEachOtherWithoutSeeds(t *testing.T) {
	f := newFleetWithSeeds(t, 3, `"127.0.0.99:1"`)
	newServer(t, f.store, "i-commands", "commands", 0)
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			eventually(t, n.name+" discovers "+other.name, func() bool {
				return n == other || strings.Contains(n.log(), "event=peer_alive node="+n.name+" peer="+other.name)
			})
		}
	}
}

func (f *fleet) leader() *node {
	for _, n := range f.nodes {
		if strings.Contains(n.log(), "event=lease_taken") {
			return n
		}
	}
	f.t.Fatal("no leader")
	return nil
}

func checkOrders(t *testing.T, orders []order) {
	t.Helper()
	if len(orders) < 3 {
		t.Errorf("%d orders, want at least 3", len(orders))
	}
	for i := 1; i < len(orders); i++ {
		before, after := orders[i-1], orders[i]
		switch {
		case after.FencingToken < before.FencingToken:
			t.Errorf("order %d: fencing token %d after %d", i, after.FencingToken, before.FencingToken)
		case after.Holder != before.Holder && after.FencingToken == before.FencingToken:
			t.Errorf("order %d: %s and %s share a fencing token", i, before.Holder, after.Holder)
		case after.Holder != before.Holder && after.at.Sub(before.at) < 600*time.Millisecond:
			t.Errorf("order %d: %s ordered within the lease of %s", i, after.Holder, before.Holder)
		}
	}
}

// TestBadEntriesAreReportedAndPassedOver: unreadable entries are logged and ignored, and
// everything else keeps working.
func TestBadEntriesAreReportedAndPassedOver(t *testing.T) {
	f := newFleet(t, 1)
	newServer(t, f.store, "i-commands", "commands", 0)
	f.store.put("servers", "i-nowhere", map[string]any{"service": "commands", "state": "ready"})
	f.store.put("servers", "i-nonsense", "text")
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	n := f.nodes[0]
	for _, place := range []string{"servers/i-nowhere", "servers/i-nonsense", "config/main"} {
		eventually(t, place+" is reported", func() bool { return strings.Contains(n.log(), "place="+place) })
	}
	f.store.put("config", "main", "nonsense")
	f.store.put("servers", "i-more", "nonsense")
	for range 5 {
		if got := n.send("/command/x", ""); got.status != http.StatusOK {
			t.Errorf("status %d, want 200 under the last good configuration", got.status)
		}
	}
	f.refuseBadSettings()
}

// refuseBadSettings writes invalid settings for a running node and for a newly started one.
func (f *fleet) refuseBadSettings() {
	n := f.nodes[0]
	if err := os.WriteFile(n.settingsPath, []byte("nodeName = [\n"), 0o600); err != nil {
		f.t.Fatal(err)
	}
	n.signal(syscall.SIGHUP)
	eventually(f.t, "invalid settings are refused", func() bool { return strings.Contains(n.log(), "event=settings_refused") })
	if got := n.send("/command/x", ""); got.status != http.StatusOK {
		f.t.Errorf("status %d, want 200 under the last good settings", got.status)
	}
	if err := os.WriteFile(n.settingsPath, []byte("nodeName = \"x\"\nip = \"here\"\n"), 0o600); err != nil {
		f.t.Fatal(err)
	}
	fresh := exec.Command(binary, "edge")
	fresh.Env = append(os.Environ(), "SPANLANDING_BOOT="+n.settingsPath)
	output, err := fresh.CombinedOutput()
	for _, finding := range []string{"zone: missing", "ip:", "listen.frontend", "internalPorts", "bounds.graceS"} {
		if err == nil || !strings.Contains(string(output), finding) {
			f.t.Errorf("a newly started node does not report %q: %s", finding, output)
		}
	}
}
