package edge

import (
	"context"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/checkpoint"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/placer"
)

// reportingEngines gives all servers the same report.
type reportingEngines struct {
	EngineClient
	sequence    int64
	startedAtMs int64
	err         error
}

func (e *reportingEngines) FetchReport(context.Context, placer.ReportRequest) (placer.Report, error) {
	return placer.Report{Sequence: e.sequence, StartedAtMs: e.startedAtMs}, e.err
}

// lostFleet is two nodes that started after all others were lost, beside a server of v1 and one of v2.
type lostFleet struct {
	nodes   []*Node
	store   *fakeCheckpoints
	engines *reportingEngines
}

func (f *lostFleet) putServer(node *Node, id, version string, start int64) {
	held := []inventory.HeldModel{{Name: "m"}}
	node.dispatch.Do(func(core *dispatch.Core) {
		core.SetServers([]inventory.Change{{Server: inventory.Server{ID: id, Service: "s", Zone: "z", SoftwareVersion: version, Models: held, StartedAtMs: start}}})
	})
}

// newLostFleet returns a fleet whose second node has known the servers for a while.
func newLostFleet(t *testing.T, secondObserved time.Duration) *lostFleet {
	t.Helper()
	f := &lostFleet{nodes: newConnectedNodes(t, 2), store: newFakeCheckpoints(), engines: &reportingEngines{startedAtMs: 1}}
	f.store.putVersions(t, checkpoint.VersionRecord{"s": {"v1"}})
	for i, node := range f.nodes {
		node.options.Checkpoints, node.options.Engines = f.store, f.engines
		node.started = clock.Now().Add(-historyStartDelay)
		f.putServer(node, "a", "v1", 1)
		f.putServer(node, "b", "v2", 1)
		node.history.observe(clock.Now().Add(-secondObserved * time.Duration(i)))
	}
	return f
}

// TestLostStreamsGoOnAtTheOneVersionThatServed guards against refusing streams of the one version that served before
// all nodes were lost, and against taking it for the only one where another may have begun streams.
func TestLostStreamsGoOnAtTheOneVersionThatServed(t *testing.T) {
	other := origins.Entry{Key: origins.NewKey("", "other"), Origin: origins.Origin{Service: "s", SoftwareVersion: "v2"}}
	cases := map[string]struct {
		secondObserved time.Duration
		change         func(t *testing.T, f *lostFleet)
		isKept         bool
	}{
		"all nodes started after the loss":         {isKept: true},
		"the peer cannot tell":                     {isKept: true, change: func(_ *testing.T, f *lostFleet) { f.nodes[1].history.witness.recordRead(nil) }},
		"the record names both versions":           {change: func(t *testing.T, f *lostFleet) { f.store.putVersions(t, checkpoint.VersionRecord{"s": {"v1", "v2"}}) }},
		"the record is damaged":                    {change: func(_ *testing.T, f *lostFleet) { f.store.putData(checkpoint.VersionsName, []byte{0x0a}) }},
		"there is no record":                       {change: func(_ *testing.T, f *lostFleet) { delete(f.store.objects, checkpoint.VersionsName) }},
		"the store is away":                        {change: func(_ *testing.T, f *lostFleet) { f.store.fails = true }},
		"the peer's build does not tell":           {change: func(_ *testing.T, f *lostFleet) { f.nodes[1].options.Checkpoints = nil }},
		"the peer saw a version join":              {change: func(_ *testing.T, f *lostFleet) { f.putServer(f.nodes[1], "c", "v3", 1) }},
		"the peer has run for long":                {secondObserved: dispatch.FormerVersionRetention},
		"a server of the other version was loaded": {change: func(_ *testing.T, f *lostFleet) { f.engines.sequence = 1 }},
		"a server of it has started again":         {change: func(_ *testing.T, f *lostFleet) { f.engines.startedAtMs = 2 }},
		"a server of it does not answer":           {change: func(_ *testing.T, f *lostFleet) { f.engines.err = errFakeStore }},
		"a server of it is gone": {change: func(_ *testing.T, f *lostFleet) {
			f.putServer(f.nodes[0], "c", "v2", 1)
			f.nodes[0].dispatch.Do(func(core *dispatch.Core) {
				core.SetServers([]inventory.Change{{Server: inventory.Server{ID: "c"}, Gone: true}})
			})
		}},
		"the peer forgot a stream of it": {change: func(_ *testing.T, f *lostFleet) { f.nodes[1].origins.Record(other) }},
		"more nodes are lost than keep a stream": {change: func(_ *testing.T, f *lostFleet) {
			for life := range uint64(origins.Copies + 1) {
				f.nodes[1].history.witness.peers[peerProcess{"lost:1", life}] = false
			}
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newLostFleet(t, c.secondObserved)
			if c.change != nil {
				c.change(t, f)
			}
			for _, node := range f.nodes {
				node.history.recall(context.Background(), "s")
			}
			got := f.nodes[0].origins.Find(context.Background(), origins.NewKey("", "lost"), "s")
			version, ok := got.Lost.Version()
			if isKept := ok && version == "v1" && !got.IsPartial; isKept != c.isKept || got.IsKnown {
				t.Errorf("got %+v, want the stream to go on: %v", got, c.isKept)
			}
		})
	}
}

// TestStartedNodeHearsItsPeersBeforeItGivesStreamsUp guards against refusing streams for good at a node that does not
// know yet whom to ask.
func TestStartedNodeHearsItsPeersBeforeItGivesStreamsUp(t *testing.T) {
	f := newLostFleet(t, 0)
	known := newOrigin("known", "v2")
	f.nodes[1].origins.Record(known)
	started := newConnectedNodes(t, 1)[0]
	started.options.Checkpoints, started.options.Engines = f.store, f.engines
	f.putServer(started, "a", "v1", 1)
	f.putServer(started, "b", "v2", 1)
	started.history.observe(clock.Now())
	started.started = clock.Now()
	time.AfterFunc(historyStartDelay/4, func() {
		started.observe(&peerpb.NodeState{Node: "n", Address: f.nodes[1].peers.address, Life: 1, Sequence: 1})
	})
	if got := started.origins.Find(context.Background(), known.Key, "s"); !got.IsKnown || got.Entry.Origin != known.Origin {
		t.Errorf("got %+v, want the origin from the peer", got)
	}
}

// TestStartedNodeDoesNotBelieveItsOwnRecord guards against streams that wait for peers until this node has written a
// record where none was, and then go on at the one version that it names.
func TestStartedNodeDoesNotBelieveItsOwnRecord(t *testing.T) {
	store := newFakeCheckpoints()
	node := newVersionedNodes(t, 1, "v2")[0]
	node.options.Checkpoints = store
	node.history.observe(clock.Now())
	node.started = clock.Now()
	written := make(chan error, 1)
	time.AfterFunc(historyStartDelay/4, func() { written <- node.history.update(context.Background()) })
	got := node.origins.Find(context.Background(), origins.NewKey("", "lost"), "s")
	if got.IsKnown || got.HasOneVersion() {
		t.Errorf("got %+v, want a stream of unknown version", got)
	}
	if err := <-written; err != nil {
		t.Fatal(err)
	}
}
