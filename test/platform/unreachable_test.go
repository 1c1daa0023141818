package platform

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backendconn"
	"github.com/spanlanding/spanlanding/internal/edge"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/retrybudget"
	"github.com/spanlanding/spanlanding/platform"
)

const (
	// contactTime is the time after a disruption from which rules with a time limit apply
	// (contactMs in the settings).
	contactTime = 3 * time.Second
	// Callers of nodes without a path to the servers are to be served at least cutServedShare as
	// often at the first attempt as the others, unless no more than toleratedFailures and
	// toleratedFailureShare of all first attempts fail there.
	cutServedShare        = 2.0 / 3
	toleratedFailures     = 10
	toleratedFailureShare = 1.0 / 50
	// attemptInterval is the time between two requests of a kind to a node.
	attemptInterval = 40 * time.Millisecond
)

// cutKind is what happens to a node's connections to servers.
type cutKind struct {
	name string
	// refuses makes new connections fail at once; otherwise they time out.
	refuses bool
	// resets breaks open connections, and swallows makes them silent; with neither they go on.
	resets, swallows bool
}

var cutKinds = []cutKind{
	{name: "silent", swallows: true},
	{name: "reset and silent", resets: true},
	{name: "reset and refused", refuses: true, resets: true},
	{name: "new connections refused", refuses: true},
}

// serverPath is the network between one node and all servers.
type serverPath struct {
	mu    sync.Mutex
	cut   *cutKind
	conns []*pathConn
}

// pathConn is a connection over a path.
type pathConn struct {
	*net.TCPConn
	path *serverPath
}

// Write implements net.Conn. Bytes to a silent path are lost.
func (c *pathConn) Write(bytes []byte) (int, error) {
	if cut := c.path.current(); cut != nil && cut.swallows {
		return len(bytes), nil
	}
	return c.TCPConn.Write(bytes)
}

func (p *serverPath) current() *cutKind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// set cuts the path, or heals it if kind is nil.
func (p *serverPath) set(kind *cutKind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = kind
	if kind == nil || !kind.resets {
		return
	}
	for _, conn := range p.conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	p.conns = nil
}

// dial implements backendconn.Options.Dial.
func (p *serverPath) dial(ctx context.Context, address string) (net.Conn, error) {
	if cut := p.current(); cut != nil {
		if !cut.refuses {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	conn, err := backendconn.NewDialer(backendconn.DefaultDialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	opened := &pathConn{TCPConn: conn.(*net.TCPConn), path: p}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, opened)
	return opened, nil
}

// embeddedFleet is a fleet whose nodes run in the test's process, so that each has a network of its
// own to the servers.
type embeddedFleet struct {
	*fleet
	paths []*serverPath
}

func newEmbeddedFleet(t *testing.T, count int) *embeddedFleet {
	t.Helper()
	s, address := newStore(t)
	f := &embeddedFleet{fleet: &fleet{t: t, store: s, storeAddress: address}}
	f.drawPorts()
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		stop()
		running.Wait()
		if t.Failed() {
			for _, n := range f.nodes {
				t.Logf("%s:\n%s", n.name, n.log())
			}
		}
	})
	for i := range count {
		n := &node{fleet: f.fleet, name: fmt.Sprintf("node-%d", i+1), ip: fmt.Sprintf("127.0.0.%d", firstSoakIP+i)}
		path := &serverPath{}
		f.nodes, f.paths = append(f.nodes, n), append(f.paths, path)
		embedded := f.newNode(n, path, address)
		running.Go(func() {
			if err := embedded.Run(ctx); err != nil && !errors.Is(err, context.Canceled) {
				t.Errorf("%s ended: %v", n.name, err)
			}
		})
	}
	return f
}

// newNode returns a node with the settings of the processes' template.
func (f *embeddedFleet) newNode(n *node, path *serverPath, storeAddress string) *edge.Node {
	pool := backendconn.New(backendconn.Options{Dial: path.dial})
	store := &platform.Store{Objects: platform.NewObjectClient(storeAddress), OnInvalidEntry: func(string, error) {}}
	embedded := edge.New(edge.Options{
		Name: n.name, Zone: "z",
		FrontendAddress: fmt.Sprintf("%s:%d", n.ip, f.ports[1]), ReadyAddress: fmt.Sprintf("%s:%d", n.ip, f.ports[2]), ReadyPath: platform.ReadyPath,
		PeerAddress: fmt.Sprintf("%s:%d", n.ip, f.ports[0]), Strength: 400,
		Tunables: edge.Tunables{
			GracePeriod: soakGrace, PeerSeeds: []string{fmt.Sprintf("127.0.0.%d:%d", firstSoakIP, f.ports[0])},
			RetryBudget: retrybudget.Options{Ratio: 0.2, Extra: 54, Window: 10 * time.Second},
		},
		LeaseQuietPeriod: 600 * time.Millisecond, ModelLoadWindow: 5 * time.Second, ModelLoadOverage: 1.1, ColdOverage: 1.5, ColdSlack: 5,
		Store: store, Lease: store, Engines: &platform.EngineClient{Pool: pool}, Pool: pool, Dialect: platform.Dialect{},
		Logger: logging.New(n, logging.Levels["info"], logging.Field{Key: "node", Value: n.name}),
	})
	store.Objects.OnCall = embedded.RecordStoreCall
	return embedded
}

// sentCommand is a command with its reply.
type sentCommand struct {
	id   string
	got  reply
	took time.Duration
}

// TestDrawnCutsKeepPromises cuts and heals the paths of nodes at random, several at once: a refusal
// that says "not run" is true, commands run at most once, and nobody is held beyond the deadline.
func TestDrawnCutsKeepPromises(t *testing.T) {
	t.Parallel()
	const (
		deadline  = 1500 * time.Millisecond
		drawnTime = 8 * time.Second
	)
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 0xc07))
			f := newEmbeddedFleet(t, 4)
			servers := f.addServers(3)
			f.store.put("config", "main", newConfig(1))
			f.awaitReady()
			var mu sync.Mutex
			var sent []sentCommand
			var callers sync.WaitGroup
			begin := time.Now()
			for number := 0; time.Since(begin) < drawnTime; number++ {
				if number%8 == 0 {
					path, kind := f.paths[random.IntN(len(f.paths))], &cutKinds[random.IntN(len(cutKinds))]
					if random.IntN(2) == 0 {
						kind = nil
					}
					path.set(kind)
				}
				for _, n := range f.nodes {
					id := fmt.Sprintf("%s-%d-%d", n.name, number, begin.UnixNano())
					callers.Go(func() {
						at := time.Now()
						got := n.sendRequest(callerRequest{id: id, path: "/command/x", body: "body", deadline: deadline})
						mu.Lock()
						defer mu.Unlock()
						sent = append(sent, sentCommand{id, got, time.Since(at)})
					})
				}
				time.Sleep(attemptInterval)
			}
			callers.Wait()
			for _, path := range f.paths {
				path.set(nil)
			}
			checkCommands(t, servers, sent, deadline)
			time.Sleep(contactTime)
			if after := countFirstAttempts(f.nodes, time.Second); after.failed > after.total()/10 {
				t.Errorf("after the cuts: %+v", after)
			}
		})
	}
}

func checkCommands(t *testing.T, servers []*modelServer, sent []sentCommand, deadline time.Duration) {
	t.Helper()
	served := 0
	for _, command := range sent {
		runs := 0
		for _, m := range servers {
			m.mu.Lock()
			runs += m.runs[command.id]
			m.mu.Unlock()
		}
		switch {
		case runs > 1:
			t.Errorf("%s ran %d times", command.id, runs)
		case command.got.status == http.StatusServiceUnavailable && runs > 0:
			t.Errorf("%s was refused although it ran", command.id)
		case command.got.status == http.StatusOK && (runs == 0 || !strings.HasPrefix(command.got.body, "done by ")):
			t.Errorf("%s got %q after %d runs", command.id, command.got.body, runs)
		case command.took > deadline+500*time.Millisecond:
			t.Errorf("%s was held for %v", command.id, command.took)
		}
		if command.got.status == http.StatusOK {
			served++
		}
	}
	t.Logf("%d of %d commands served", served, len(sent))
}

// firstAttempts counts first attempts by their outcome.
type firstAttempts struct{ served, failed int }

func (a firstAttempts) total() int { return a.served + a.failed }

func (a firstAttempts) share() float64 { return float64(a.served) / float64(max(1, a.total())) }

// countFirstAttempts sends commands and chats to each of the nodes until the time is over, without
// waiting for answers.
func countFirstAttempts(nodes []*node, duration time.Duration) firstAttempts {
	return countFirstAttemptsOver(nodes, duration, false)
}

// countFirstAttemptsOver is countFirstAttempts, if newConns is set with a new connection each.
func countFirstAttemptsOver(nodes []*node, duration time.Duration, newConns bool) firstAttempts {
	var mu sync.Mutex
	var counted firstAttempts
	var callers sync.WaitGroup
	begin := time.Now()
	for number := 0; time.Since(begin) < duration; number++ {
		for _, n := range nodes {
			for _, request := range []callerRequest{
				{path: "/command/x", deadline: 1500 * time.Millisecond},
				{path: "/chat/x", model: "m1", deadline: 5 * time.Second},
			} {
				request.id, request.body = fmt.Sprintf("%s-%s%d-%d", n.name, request.model, number, begin.UnixNano()), "body"
				request.newConn = newConns
				callers.Go(func() {
					got := n.sendRequest(request)
					mu.Lock()
					defer mu.Unlock()
					if got.status == http.StatusOK && got.err == nil {
						counted.served++
					} else {
						counted.failed++
					}
				})
			}
		}
		time.Sleep(attemptInterval)
	}
	callers.Wait()
	return counted
}

// TestCallersOfNodesWithoutServersAreServed guards against callers being refused by nodes that
// reach no server while other nodes reach all of them.
func TestCallersOfNodesWithoutServersAreServed(t *testing.T) {
	t.Parallel()
	for _, kind := range cutKinds {
		t.Run(kind.name, func(t *testing.T) {
			t.Parallel()
			f := newEmbeddedFleet(t, 4)
			servers := f.addServers(3)
			f.store.put("config", "main", newConfig(1))
			f.awaitReady()
			if before := countFirstAttempts(f.nodes, time.Second); before.failed > before.total()/10 {
				t.Fatalf("without a fault: %+v", before)
			}
			for _, path := range f.paths[:2] {
				path.set(&kind)
			}
			time.Sleep(contactTime)
			var atCut, atOthers firstAttempts
			var both sync.WaitGroup
			both.Go(func() { atCut = countFirstAttempts(f.nodes[:2], 4*time.Second) })
			both.Go(func() { atOthers = countFirstAttempts(f.nodes[2:], 4*time.Second) })
			both.Wait()
			t.Logf("nodes without servers: %+v, others: %+v", atCut, atOthers)
			tolerated := toleratedFailures + int(toleratedFailureShare*float64(atCut.total()+atOthers.total()))
			if atCut.share() < cutServedShare*atOthers.share() && atCut.failed > tolerated {
				t.Errorf("nodes without servers serve %d of %d first attempts, the others %d of %d", atCut.served, atCut.total(), atOthers.served, atOthers.total())
			}
			for _, m := range servers {
				m.checkRunsOnce(t)
			}
		})
	}
}

// addServers starts as many servers of each service.
func (f *embeddedFleet) addServers(count int) (servers []*modelServer) {
	for i := range count {
		servers = append(servers, newServer(f.t, f.store, fmt.Sprintf("i-commands-%d", i), "commands", 0),
			newServerIn(f.t, f.store, "z", fmt.Sprintf("i-models-%d", i), "models", 200*time.Millisecond, "m1"))
	}
	return servers
}

// checkRunsOnce reports commands that ran more than once.
func (m *modelServer) checkRunsOnce(t *testing.T) {
	t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, runs := range m.runs {
		if m.service == "commands" && runs > 1 {
			t.Errorf("%s ran %s %d times", m.id, id, runs)
		}
	}
}

// TestModelsAreLoadedWhileTheLeaderReachesNoServer guards against a leader that keeps its lease
// while none of its orders reaches a server, so that no model is loaded for anybody.
func TestModelsAreLoadedWhileTheLeaderReachesNoServer(t *testing.T) {
	t.Parallel()
	f := newEmbeddedFleet(t, 3)
	servers := f.addServers(3)
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	leader := 0
	eventually(t, "a node leads", func() bool {
		leader = slices.IndexFunc(f.nodes, func(n *node) bool { return strings.Contains(n.log(), "event=lease_taken") })
		return leader >= 0
	})
	f.paths[leader].set(&cutKinds[0])
	other := f.nodes[(leader+1)%len(f.nodes)]
	eventually(t, "a model that stands nowhere is loaded and serves", func() bool { return other.send("/chat/x", "m2").status == http.StatusOK })
	f.paths[leader].set(nil)
	eventually(t, "the former leader serves its callers itself", func() bool {
		return strings.Contains(f.nodes[leader].log(), "event=service_reachable")
	})
	if got := f.nodes[leader].send("/chat/x", "m2"); got.status != http.StatusOK {
		t.Errorf("after the cut: %+v", got)
	}
	checkHolders(t, servers)
}

// checkHolders reports orders of two holders that overlap or go back.
func checkHolders(t *testing.T, servers []*modelServer) {
	t.Helper()
	for _, m := range servers {
		m.mu.Lock()
		for i := 1; i < len(m.orders); i++ {
			before, after := m.orders[i-1], m.orders[i]
			if after.FencingToken < before.FencingToken || after.Holder != before.Holder && after.FencingToken == before.FencingToken {
				t.Errorf("%s: order of %s at %d follows %s at %d", m.id, after.Holder, after.FencingToken, before.Holder, before.FencingToken)
			}
		}
		m.mu.Unlock()
	}
}

// TestNodeThatGetsMostConnectionsServes guards against a node that serves less of what it reads while
// most new connections of the fleet come to it, and callers open twice as many.
func TestNodeThatGetsMostConnectionsServes(t *testing.T) {
	const servedShare = 3.0 / 4
	f := newFleet(t, 4)
	for i := range 6 {
		newServer(t, f.store, fmt.Sprintf("i-c%d", i), "commands", 0)
		newServerIn(t, f.store, "z", fmt.Sprintf("i-m%d", i), "models", 200*time.Millisecond, "m1")
	}
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	countFirstAttempts(f.nodes, time.Second)
	before := countFirstAttempts(f.nodes, 2*time.Second)
	var most []*node
	for range 2 * len(f.nodes) {
		most = append(most, f.nodes[0])
	}
	countFirstAttemptsOver(most, contactTime, true)
	during := countFirstAttemptsOver(most, 3*time.Second, true)
	t.Logf("before %+v, while most connections come to one node %+v", before, during)
	if during.share() < servedShare*before.share() {
		t.Errorf("%.2f of %d first attempts were served, %.2f of %d before", during.share(), during.total(), before.share(), before.total())
	}
}
