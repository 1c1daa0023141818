package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/joomcode/errorx"
	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/claim"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/peer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/views"
)

// memoryStore is an in-memory object store with compare-and-set.
type memoryStore struct {
	mutex  sync.Mutex
	object objectstore.Object
}

func (s *memoryStore) Get(context.Context, objectstore.Key) (objectstore.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.object.Version == 0 {
		return objectstore.Object{}, errorx.NewType(errorx.NewNamespace("test"), "not_found", errorx.NotFound()).New("none")
	}
	return s.object, nil
}

func (s *memoryStore) Put(_ context.Context, object objectstore.Object, expected uint64) (objectstore.Object, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.object.Version != expected {
		return s.object, errorx.IllegalState.New("conflict")
	}
	object.Version = expected + 1
	s.object = object
	return object, nil
}

// claimNode is one node's claim shell behind a real listener.
type claimNode struct {
	member fleet.Member
	claims *Claims
	views  *views.Views
	server *http.Server
}

func (n *claimNode) stop() {
	_ = n.server.Close()
	n.claims.Stop()
}

func startClaimNode(t *testing.T, system *actor.ActorSystem, store KeeperStore, name, zone string) *claimNode {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	node := &claimNode{views: &views.Views{}, member: fleet.Member{
		Name: fleet.NodeName(name), Zone: fleet.Zone(zone), State: fleet.MemberAlive, BootID: 1,
		Addresses: fleet.Addresses{Peer: listener.Addr().String()},
	}}
	node.claims = StartClaims(ClaimDependencies{
		System: system,
		Self:   node.member,
		Pool:   peer.NewPool(),
		Views:  node.views,
		Store:  store,
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	server := peerpb.NewClaimsServer(node.claims.Server())
	node.server = &http.Server{Handler: server}
	go func() { _ = node.server.Serve(listener) }()
	return node
}

func publishMembers(nodes []*claimNode) {
	var members []fleet.Member
	for _, node := range nodes {
		members = append(members, node.member)
	}
	for _, node := range nodes {
		node.views.Members.Set(members)
	}
}

// acquire retries until the verdict is not NoMajority.
func acquire(t *testing.T, claims *Claims, key string) claim.Decision {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for ctx.Err() == nil {
		decision := claims.Acquire(ctx, claim.Request{Key: key, Fingerprint: []byte("body"), Window: 10 * time.Minute})
		if decision.Verdict != claim.NoMajority {
			return decision
		}
	}
	t.Fatal("no majority within a minute")
	return claim.Decision{}
}

func TestClaimsOverLoopback(t *testing.T) {
	system := actor.NewActorSystem()
	store := &memoryStore{}
	var nodes []*claimNode
	for _, place := range [][2]string{{"n1", "east"}, {"n2", "west"}, {"n3", "north"}, {"n4", "north"}} {
		nodes = append(nodes, startClaimNode(t, system, store, place[0], place[1]))
	}
	publishMembers(nodes)
	decision := acquire(t, nodes[0].claims, "stop-17")
	if decision.Verdict != claim.Granted {
		t.Fatalf("first call: %+v", decision)
	}
	if repeated := acquire(t, nodes[1].claims, "stop-17"); repeated.Verdict != claim.InProgress {
		t.Fatalf("call while the first one runs: %+v", repeated)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	answer := &claim.Answer{Status: 200, ContentType: "text/plain", Body: []byte("stopped")}
	nodes[0].claims.Complete(ctx, "stop-17", decision.Attempt, claim.Ran, answer)
	if done := acquire(t, nodes[2].claims, "stop-17"); done.Verdict != claim.Done || string(done.Answer.Body) != "stopped" {
		t.Fatalf("call after the first one: %+v", done)
	}

	// One node drains: the other keepers must take over its records.
	nodes[0].member.Draining = true
	publishMembers(nodes)
	if err := nodes[0].claims.Drain(ctx); err != nil {
		t.Fatalf("drain: %v", err)
	}
	nodes[0].stop()
	if done := acquire(t, nodes[3].claims, "stop-17"); done.Verdict != claim.Done {
		t.Fatalf("after a planned stop: %+v", done)
	}
	for _, node := range nodes[1:] {
		node.stop()
	}
}
