package node

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/views"
)

// fakePlatform serves a growing set of objects.
type fakePlatform struct {
	mutex   sync.Mutex
	objects []objectstore.Object
	changed chan struct{}
}

func (f *fakePlatform) add(name string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	raw, _ := json.Marshal(spec.Model{Versions: []spec.ModelVersion{{Name: "v1"}}})
	f.objects = append(f.objects, objectstore.Object{
		Kind: string(spec.KindModel), Name: name, Version: uint64(len(f.objects) + 1), Spec: raw,
	})
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakePlatform) state() ([]objectstore.Object, chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.objects, f.changed
}

func (f *fakePlatform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	objects, changed := f.state()
	encoder := json.NewEncoder(writer)
	switch request.URL.Path {
	case "/v1/objects":
		_ = encoder.Encode(objectstore.ObjectList{Version: uint64(len(objects)), Objects: objects})
	case "/v1/machines":
		_ = encoder.Encode(objectstore.MachineList{AsOfUnixMilli: 1, Machines: []objectstore.Machine{{Role: "node", Name: "n"}}})
	case "/v1/watch":
		var since uint64
		_ = json.Unmarshal([]byte(request.URL.Query().Get("since")), &since)
		for {
			for ; since < uint64(len(objects)); since++ {
				_ = encoder.Encode(objectstore.WatchEvent{Version: since + 1, Object: &objects[since]})
			}
			_ = http.NewResponseController(writer).Flush()
			select {
			case <-changed:
				objects, changed = f.state()
			case <-request.Context().Done():
				return
			}
		}
	}
}

// testConfigNode is a node with only a configuration shell.
type testConfigNode struct {
	member fleet.Member
	views  *views.Views
}

func startConfigNode(t *testing.T, name string, platformAddress string) *testConfigNode {
	t.Helper()
	quiet := actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	})
	system := actor.NewActorSystem(quiet)
	server := httptest.NewUnstartedServer(nil)
	node := &testConfigNode{views: &views.Views{}, member: fleet.Member{
		Name: fleet.NodeName(name), Zone: "z", State: fleet.MemberAlive,
		Addresses: fleet.Addresses{Peer: server.Listener.Addr().String()},
	}}
	client := objectstore.NewClient(platformAddress, "z")
	process, service := spawnConfig(system, configDependencies{
		Self:     node.member,
		Platform: client,
		Peers:    peer.NewPool(),
		Views:    node.views,
		Logger:   &log.Logger{Level: log.FatalLevel},
	})
	server.Config.Handler = peer.NewHandler(peer.Handlers{Config: service})
	server.Start()
	t.Cleanup(func() {
		if err := system.Root.StopFuture(process).Wait(); err != nil {
			t.Error(err)
		}
		server.CloseClientConnections()
		server.Close()
		client.Close()
	})
	return node
}

func (n *testConfigNode) awaitModel(t *testing.T, model fleet.ModelVersion) {
	t.Helper()
	found := make(chan struct{}, 1)
	n.views.Catalog.Watch(func(snapshot *catalog.Snapshot) {
		if _, known := snapshot.Model(model); known {
			select {
			case found <- struct{}{}:
			default:
			}
		}
	})
	<-found
}

func TestConfigReachesNodesThatCannotReadTheStore(t *testing.T) {
	store := &fakePlatform{changed: make(chan struct{})}
	store.add("first")
	server := httptest.NewServer(store)
	defer server.Close()
	defer server.CloseClientConnections()

	reader := startConfigNode(t, "reader", server.URL)
	reader.views.Members.Set([]fleet.Member{reader.member})
	reader.awaitModel(t, fleet.ModelVersion{Model: "first", Version: "v1"})

	cutOff := startConfigNode(t, "cut-off", "127.0.0.1:1")
	members := []fleet.Member{reader.member, cutOff.member}
	cutOff.views.Members.Set(members)
	reader.views.Members.Set(members)
	cutOff.awaitModel(t, fleet.ModelVersion{Model: "first", Version: "v1"})

	store.add("second")
	cutOff.awaitModel(t, fleet.ModelVersion{Model: "second", Version: "v1"})
	if list, found := cutOff.views.Machines.Get(); found && len(list.Machines) != 1 {
		t.Errorf("machines: %v", list)
	}
}
