package edge

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/spanlanding/spanlanding/internal/checkpoint"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/origins"
	"github.com/spanlanding/spanlanding/internal/placer"
)

// lossWitness tells at which version the streams began that no node knows any more. After the loss of all nodes
// those are the streams that began before it, at a version that the record names. A node that was there when
// another version joined, or since when the streams of some nodes may have been lost, says that they may have
// begun at any. It is safe for concurrent use.
type lossWitness struct {
	node *Node

	mu sync.Mutex
	// prior is the record as this node first read it.
	prior  checkpoint.VersionRecord
	isRead bool
	// peers holds the processes seen since this node started, with whether each was leaving, and lost counts
	// those that are gone without having left.
	peers map[peerProcess]bool
	lost  int
	// provenServices are those of which all servers at other versions than the prior one told that none of them
	// began a stream before, and askedAt is when they were last asked.
	provenServices map[string]bool
	askedAt        map[string]time.Time
	// proofs makes requests that wait for a proof share one.
	proofs singleflight.Group
}

const (
	// maxProofServers bounds the servers that are asked for a proof.
	maxProofServers = 32
	// proofTimeout bounds the question to each of them, and proofPeriod is the least time between two proofs
	// for a service.
	proofTimeout = 200 * time.Millisecond
	proofPeriod  = 500 * time.Millisecond
)

// peerProcess is one process of a node.
type peerProcess struct {
	address     string
	incarnation uint64
}

func newLossWitness(node *Node) *lossWitness {
	return &lossWitness{node: node, peers: make(map[peerProcess]bool), provenServices: make(map[string]bool), askedAt: make(map[string]time.Time)}
}

// recordRead takes what the first reading of the record brought; nil if it is missing or damaged.
func (w *lossWitness) recordRead(record checkpoint.VersionRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.isRead {
		w.prior, w.isRead = record, true
	}
}

func (w *lossWitness) hasRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.isRead
}

// observePeers records which nodes live.
func (w *lossWitness) observePeers(now time.Time) {
	members := w.node.peers.livingMembers(now)
	w.mu.Lock()
	defer w.mu.Unlock()
	living := make(map[peerProcess]bool, len(members))
	for _, member := range members {
		process := peerProcess{member.Address, member.Incarnation}
		living[process] = true
		w.peers[process] = member.IsLeaving
	}
	for process, wasLeaving := range w.peers {
		if living[process] {
			continue
		}
		delete(w.peers, process)
		if !wasLeaving {
			w.lost++
		}
	}
}

// word is what this node says of the lost streams of a service.
func (w *lossWitness) word(now time.Time, service string) origins.LostStreams {
	observedSince, isObserved := w.node.history.observationBegan()
	switch {
	case w.node.options.Checkpoints == nil:
		return origins.LostStreams{}
	case !isObserved:
		return origins.LostAtUnknownVersion()
	case now.Sub(observedSince) >= dispatch.FormerVersionRetention || w.hasVersionJoined(now, service, observedSince):
		return origins.LostStreams{}
	}
	w.observePeers(now)
	w.mu.Lock()
	lost, isProven := w.lost, w.provenServices[service]
	w.mu.Unlock()
	version, ok := w.priorVersion(service)
	switch {
	case lost > origins.Copies:
		return origins.LostStreams{}
	case !ok:
		return origins.LostAtUnknownVersion()
	case w.node.origins.hasForgottenOther(now, origins.Origin{Service: service, SoftwareVersion: version}):
		return origins.LostStreams{}
	case !isProven:
		return origins.LostAtUnknownVersion()
	default:
		return origins.LostAtVersion(version)
	}
}

// priorVersion returns the one version of the service that the record named when this node started; ok is false
// if it named several, or none.
func (w *lossWitness) priorVersion(service string) (version string, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if versions := w.prior[service]; len(versions) == 1 {
		return versions[0], versions[0] != ""
	}
	return "", false
}

// prove finds out whether servers of other versions than the prior one may have begun streams before this node
// started, when nobody may have known of them yet. It reports whether that they have not is known since this call.
func (w *lossWitness) prove(ctx context.Context, service string) bool {
	version, ok := w.priorVersion(service)
	if !ok || !w.isProofDue(clock.Now(), service) {
		return false
	}
	proof := w.proofs.DoChan(service, func() (any, error) {
		isProven := w.areUntouched(service, version)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.provenServices[service], w.askedAt[service] = isProven, clock.Now()
		return isProven, nil
	})
	select {
	case result := <-proof:
		isProven, _ := result.Val.(bool)
		return isProven
	case <-ctx.Done():
		return false
	}
}

func (w *lossWitness) isProofDue(now time.Time, service string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.provenServices[service] && now.Sub(w.askedAt[service]) >= proofPeriod
}

// proveAll does so for all services of which that matters.
func (w *lossWitness) proveAll(ctx context.Context, now time.Time) {
	for service, versions := range w.node.history.recentVersions(now) {
		if len(versions) > 1 && !w.hasVersionJoinedSinceStart(now, service) {
			w.prove(ctx, service)
		}
	}
}

// areUntouched asks the service's servers of other versions whether any has taken an order since it started.
// Servers start empty, and one that was never ordered to load a model has begun no stream.
func (w *lossWitness) areUntouched(service, version string) bool {
	var servers []inventory.Server
	var ok bool
	w.node.dispatch.Do(func(core *dispatch.Core) { servers, ok = core.ServersBeside(clock.Now(), service, version) })
	if !ok || len(servers) > maxProofServers {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), proofTimeout)
	defer cancel()
	answers := make(chan bool, len(servers))
	for _, server := range servers {
		go func() { answers <- w.isUntouched(ctx, server) }()
	}
	areUntouched := true
	for range servers {
		areUntouched = <-answers && areUntouched
	}
	w.node.options.Logger.Info().Str("service", service).Str("version", version).Int("servers", len(servers)).Bool("untouched", areUntouched).Msg("lost_streams_checked")
	return areUntouched
}

func (w *lossWitness) isUntouched(ctx context.Context, server inventory.Server) bool {
	call := placer.ReportRequest{ServerID: server.ID, StartedAtMs: server.StartedAtMs, Address: server.Address}
	admitted := w.node.admissions.AdmitInternalCall(ctx, call.Start(), internalCall)
	report, err := w.node.leader.askForReport(ctx, call, admitted)
	return err == nil && report.Sequence == 0 && report.StartedAtMs == server.StartedAtMs
}

func (w *lossWitness) hasVersionJoinedSinceStart(now time.Time, service string) bool {
	since, _ := w.node.history.observationBegan()
	return w.hasVersionJoined(now, service, since)
}

func (w *lossWitness) hasVersionJoined(now time.Time, service string, since time.Time) (hasJoined bool) {
	w.node.dispatch.Do(func(core *dispatch.Core) { hasJoined = core.HasVersionJoined(now, service, since) })
	return hasJoined
}

// awaitPeers waits until this node has listened to its peers for a while. It is false if it had already.
func (h *versionHistory) awaitPeers(ctx context.Context) bool {
	left := historyStartDelay - clock.Since(h.node.started)
	if h.node.options.Checkpoints == nil || left <= 0 {
		return false
	}
	sleep(ctx, left)
	return true
}

// observationBegan returns since when this node knows all servers.
func (h *versionHistory) observationBegan() (since time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.observedSince, !h.observedSince.IsZero()
}

// hasForgottenOther reports whether this node dropped a stream that began elsewhere than at the origin.
func (o *streamOrigins) hasForgottenOther(now time.Time, origin origins.Origin) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.HasForgottenOther(now, origin)
}
