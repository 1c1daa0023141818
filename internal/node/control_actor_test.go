package node

import (
	"context"
	"io"
	"log/slog"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/allotment"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/control"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
	"github.com/spanlanding/spanlanding/internal/views"
)

// instantWeights serves every checkpoint at once.
type instantWeights struct{}

func (instantWeights) ReadWeights(context.Context, httpdriver.WeightRead) error { return nil }

// controlNode is a node with only a control shell.
type controlNode struct {
	member fleet.Member
	views  *views.Views
	shell  *Control
}

func startControlNode(t *testing.T, name fleet.NodeName, store RecordStore, facts control.CatalogChanged) *controlNode {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	node := &controlNode{views: &views.Views{}, member: fleet.Member{
		Name: name, Zone: "z", State: fleet.MemberAlive, BootID: 1,
		Addresses: fleet.Addresses{Peer: server.Listener.Addr().String()},
	}}
	engines := backend.NewEngineControl("z")
	node.shell = StartControl(ControlDependencies{
		System: actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
			return slog.New(slog.NewTextHandler(io.Discard, nil))
		})),
		Self:           node.member,
		Views:          node.views,
		Peers:          peer.NewPool(),
		Engines:        engines,
		Store:          store,
		Logger:         &log.Logger{Level: log.FatalLevel},
		Core:           control.Options{Settings: control.DefaultSettings()},
		CatalogMessage: func(*catalog.Snapshot) control.CatalogChanged { return facts },
	})
	server.Config.Handler = peer.NewHandler(peer.Handlers{Control: ControlService{node.shell}})
	server.Start()
	t.Cleanup(func() {
		node.shell.Stop()
		server.CloseClientConnections()
		server.Close()
		engines.Close()
	})
	return node
}

// awaitReady returns once the node's own route table shows the model as ready.
func (n *controlNode) awaitReady(t *testing.T, model fleet.ModelVersion) {
	t.Helper()
	found := make(chan struct{}, 1)
	n.views.RouteTables.Watch(func(tables views.RouteTables) {
		for _, state := range tables["z"].Engines {
			if loaded := state.Find(model); loaded != nil && loaded.State == fleet.LoadReady {
				select {
				case found <- struct{}{}:
				default:
				}
			}
		}
	})
	<-found
}

// sendRecordToNodes passes the stored record to all nodes, as the configuration shell does.
func sendRecordToNodes(ctx context.Context, client *objectstore.Client, nodes []*controlNode) {
	record, err := client.Get(ctx, objectstore.Key{Kind: objectstore.KindAllotments, Name: allotment.ObjectName})
	if err != nil {
		return
	}
	for _, node := range nodes {
		node.shell.ObjectChanged(record)
	}
}

// TestWantAtOneNodeIsServedThroughTheLeader runs two nodes, the platform and an engine over
// HTTP. A want on one node must make the leader write the record, claim the engine and load
// the model, and both nodes' tables must show it.
func TestWantAtOneNodeIsServedThroughTheLeader(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store := httptest.NewServer(httpdriver.NewPlatform(ctx, httpdriver.PlatformOptions{}).Handler())
	defer store.Close()
	engineServer := httptest.NewUnstartedServer(nil)
	address := engineServer.Listener.Addr().String()
	loader := httpdriver.NewEngine(ctx, engine.Options{
		Backend:     fleet.Backend{Name: "e", Zone: "z", Address: address},
		Incarnation: 7,
		Timing:      engine.Timing{RemoteLoad: time.Millisecond},
	}, instantWeights{})
	engineServer.Config.Handler = loader.Handler()
	engineServer.Start()
	defer engineServer.Close()

	model := fleet.ModelVersion{Model: "alarm", Version: "1"}
	facts := control.CatalogChanged{Models: []catalog.ModelInfo{{
		Model: model, MemoryBytes: engine.GiB, CheckpointBytes: engine.GiB, MaxReplicas: 1,
	}}}
	client := objectstore.NewClient(store.URL, "z")
	defer client.Close()
	nodes := []*controlNode{
		startControlNode(t, "n1", recordStore{client: client}, facts),
		startControlNode(t, "n2", recordStore{client: client}, facts),
	}
	machines := objectstore.MachineList{AsOfUnixMilli: 1, Machines: []objectstore.Machine{
		{Role: "engine", Name: "e", Zone: "z", State: objectstore.MachineLive, Address: address},
	}}
	for _, node := range nodes {
		node.views.Members.Set([]fleet.Member{nodes[0].member, nodes[1].member})
		node.views.Machines.Set(machines)
		node.views.Catalog.Set(&catalog.Snapshot{})
	}
	repeat := time.NewTicker(100 * time.Millisecond)
	defer repeat.Stop()
	go func() {
		for {
			select {
			case <-repeat.C:
			case <-ctx.Done():
				return
			}
			nodes[0].shell.Report([]fleet.Want{{Model: model, Node: "n1", Zone: "z", Waiting: 1, Arrivals: 1}})
			sendRecordToNodes(ctx, client, nodes)
		}
	}()
	for _, node := range nodes {
		node.awaitReady(t, model)
	}
	if residencies := loader.Book().Residencies; len(residencies) != 1 {
		t.Errorf("the engine recorded %d loads, want one", len(residencies))
	}
}
