package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
	"github.com/spanlanding/spanlanding/internal/standin/machines"
)

const realDeclarations = `
kind: Model
metadata: {name: notes}
spec:
  versions: [{name: v1, memory: 1GiB, checkpoint: 1GiB}]
  contextTokens: 512
  replicas: {max: 1}
---
kind: Deployment
metadata: {name: notes-all, labels: {use: notes}}
spec:
  model: notes
  versions: [{name: v1, weight: 1}]
---
kind: Selector
metadata: {name: notes}
spec:
  match: {matchLabels: {job: notes}}
  deployments: {matchLabels: {use: notes}}
  deadline: 20s
`

// realFleet is one node, an engine and the platform, connected over real sockets.
type realFleet struct {
	node     *Node
	engine   *httpdriver.Engine
	settings Settings
}

// hosts numbers the fleets: each gets a loopback address of its own, so that concurrent runs
// do not share ports.
var hosts atomic.Int32

func startRealFleet(t *testing.T) *realFleet {
	t.Helper()
	ctx := t.Context()
	platform := httpdriver.NewPlatform(ctx, httpdriver.PlatformOptions{Machines: machines.Options{Lag: 100 * time.Millisecond}})
	platformServer := httptest.NewServer(platform.Handler())
	t.Cleanup(platformServer.Close)
	client := httpdriver.PlatformClient{URL: platformServer.URL, HTTP: platformServer.Client()}
	created := &realFleet{}
	created.startEngine(t, client)
	announcer := &httpdriver.Announcer{Client: client, Machines: func() []objectstore.Machine {
		return []objectstore.Machine{created.engine.Machine()}
	}}
	go announcer.Run(ctx)
	declare(t, platformServer.URL, realDeclarations)
	host := fmt.Sprintf("127.%d.%d.%d", 201+os.Getpid()%50, os.Getpid()/50%250, hosts.Add(1))
	settings, err := Settings{
		Name: "real-1", Zone: "real", Platform: platformServer.URL, LogLevel: "error",
		Listen: ListenSettings{Caller: host + ":7101", Operator: host + ":7102", Peer: host + ":7103", Gossip: host + ":7104"},
	}.Complete()
	if err != nil {
		t.Fatal(err)
	}
	created.settings = settings
	created.node, err = Start(settings, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(created.node.Stop)
	return created
}

func (r *realFleet) startEngine(t *testing.T, weights httpdriver.WeightReader) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.engine = httpdriver.NewEngine(t.Context(), engine.Options{
		Backend: fleet.Backend{Name: "engine-1", Kind: fleet.KindEngine, Zone: "real", Address: listener.Addr().String()},
		// The engine is started only once in this process.
		Incarnation: 1, MemoryBytes: 8 * engine.GiB, KVReserveBytes: engine.GiB,
		Timing: engine.Timing{IterationBase: 10 * time.Millisecond, RemoteLoad: time.Second},
	}, weights)
	server := &http.Server{Handler: r.engine.Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
}

// declare writes declarations as the apply command does.
func declare(t *testing.T, url, text string) {
	t.Helper()
	set, findings := spec.Options{}.Parse("real.yaml", []byte(text))
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	store := objectstore.NewClient(url, "")
	defer store.Close()
	plan, err := operator.NewPlan(set.Objects(), nil, operator.PlanOptions{Owner: "real"})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := operator.Apply(t.Context(), store, plan, operator.Writer{By: "test", RunID: "1"}); err != nil {
		t.Fatal(err)
	}
}

// eventually polls until the condition holds. The timeout only ends a test that has failed.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	limit, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	for !holds() {
		select {
		case <-limit.Done():
			t.Fatal("not reached: " + what)
		case <-time.After(10 * time.Millisecond):
		}
	}
}
