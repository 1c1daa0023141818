package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/inventory"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/relay"
	"github.com/spanlanding/spanlanding/internal/storepos"
)

const (
	// snapshotDialTimeout and snapshotTimeout bound one request to a peer. The latter covers a
	// configuration of 100 KB over a busy 10 Mbit/s link.
	snapshotDialTimeout = 300 * time.Millisecond
	snapshotTimeout     = 1500 * time.Millisecond
	// snapshotHeaderTimeout bounds how long a peer may take to send its request.
	snapshotHeaderTimeout = 2 * time.Second
	// peerIdleTimeout is how long a peer's idle connection is kept, longer than peers use one.
	peerIdleTimeout = 30 * time.Second
	// refreshPeriod is the minimum interval between full server lists from peers, which remove
	// entries whose removal was missed. The actual interval is random between one and two
	// periods.
	refreshPeriod = 30 * time.Second
	// snapshotPeers is the number of addresses that a snapshot names.
	snapshotPeers = 12
	// maxPeerBodyBytes bounds what one call of a peer, or the response to one, takes. A list of a thousand
	// servers takes 100 KB.
	maxPeerBodyBytes = 4 << 20
)

// snapshots requests and serves snapshots of the data that nodes have from the store.
type snapshots struct {
	node   *Node
	client *http.Client
	// pending holds a peer with newer data to ask; one entry is enough.
	pending chan wantedSnapshot
	// otherRegionSince is when a peer of another region was first seen with newer data, since
	// when this node leaves the request to other nodes of its own region. It is used only by the
	// goroutine that receives datagrams.
	otherRegionSince time.Time
}

// wantedSnapshot names a peer to ask.
type wantedSnapshot struct {
	address string
	// version is the configuration version wanted, or 0 if the servers are wanted.
	version int64
}

func newSnapshots(node *Node) *snapshots {
	dialer := &net.Dialer{Timeout: snapshotDialTimeout}
	return &snapshots{
		node: node,
		client: &http.Client{
			Timeout: snapshotTimeout,
			Transport: bounded.LimitBodies(&http.Transport{
				DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: bounded.DefaultHeadBytes,
			}, maxPeerBodyBytes),
		},
		pending: make(chan wantedSnapshot, 1),
	}
}

// serve serves peers on the TCP port with the same number as the node's UDP port.
func (s *snapshots) serve(ctx context.Context, listener net.Listener) error {
	calls := http.MaxBytesHandler(peerpb.NewNodesServer(s), maxPeerBodyBytes)
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if relay.IsForwarded(request) {
			s.node.handler.ServePeer(writer, request)
			return
		}
		calls.ServeHTTP(writer, request)
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: snapshotHeaderTimeout, IdleTimeout: peerIdleTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	return serve(server, listener)
}

// enqueue requests a snapshot from the peer unless another request is pending.
func (s *snapshots) enqueue(wanted wantedSnapshot) {
	select {
	case s.pending <- wanted:
	default:
	}
}

const (
	// otherRegionRequesters is the number of nodes of a region that request snapshots from other
	// regions at the same time. The others hear from these, or ask themselves after
	// otherRegionDelay. A list of a thousand servers takes 100 KB.
	otherRegionRequesters = 2
	otherRegionDelay      = 600 * time.Millisecond
)

// mayRequest reports whether a peer with newer data may be asked now.
func (s *snapshots) mayRequest(now time.Time, address string) bool {
	peers := s.node.peers
	if !peers.isInOtherRegion(address) || peers.regionRank(now) < otherRegionRequesters {
		return true
	}
	waited := now.Sub(s.otherRegionSince)
	if waited > 2*otherRegionDelay {
		s.otherRegionSince, waited = now, 0
	}
	return waited > otherRegionDelay
}

// isNeeded reports whether the wanted data has not arrived meanwhile from another peer or the
// store.
func (s *snapshots) isNeeded(wanted wantedSnapshot) bool {
	return wanted.version == 0 || wanted.version > s.node.configVersion()
}

// run asks the seeds once at startup, and then the peers that are enqueued. A seed that started after
// the store was restored does not spare asking the others.
func (s *snapshots) run(ctx context.Context) {
	for _, seed := range s.node.options.Tunables.PeerSeeds {
		if seed != s.node.options.PeerAddress && s.fetch(ctx, seed, s.node.knownState()) && !s.node.directory.lacksPrior(clock.Now()) {
			break
		}
	}
	s.node.seedsQueried.Store(true)
	refresh := time.NewTimer(refreshPeriod + rand.N(refreshPeriod))
	defer refresh.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case wanted := <-s.pending:
			if s.isNeeded(wanted) {
				s.fetch(ctx, wanted.address, s.node.knownState())
			}
		case <-refresh.C:
			refresh.Reset(refreshPeriod + rand.N(refreshPeriod))
			if address := s.node.peers.randomNearby(clock.Now()); address != "" && !s.node.shouldQueryStore(clock.Now(), &s.node.serversConfirmed) {
				// The request omits the digest to get the full list, which removes stale
				// servers.
				s.fetch(ctx, address, &peerpb.SnapshotRequest{ConfigVersion: s.node.configVersion()})
			}
		}
	}
}

// knownState describes the data that this node has and need not be sent. Servers known only from
// announced changes are not included, because announcements do not amount to a complete list.
func (n *Node) knownState() *peerpb.SnapshotRequest {
	request := &peerpb.SnapshotRequest{ConfigVersion: n.configVersion()}
	if n.hasServers.Load() {
		request.ServersDigest, _ = n.directory.digestAndPosition()
	}
	return request
}

// fetch requests a snapshot from a peer and applies it. It reports whether the node then has the
// state required to serve callers.
func (s *snapshots) fetch(ctx context.Context, address string, request *peerpb.SnapshotRequest) bool {
	node := s.node
	requestedAt := clock.Now()
	response, err := peerpb.NewNodesProtobufClient("http://"+address, s.client).Snapshot(ctx, request)
	if err != nil {
		node.options.Logger.Warn().Str("peer", address).Int64("took_ms", clock.Since(requestedAt).Milliseconds()).
			Str("error", err.Error()).Msg("snapshot_failed")
		return false
	}
	node.peers.addCandidates(requestedAt, response.Peers)
	node.peers.countSnapshot(address, response)
	if len(response.Config) > 0 {
		table, err := node.options.Store.DecodeConfiguration(response.Config)
		if err != nil {
			node.options.Logger.Warn().Str("peer", address).Str("error", err.Error()).Msg("snapshot_unreadable")
			return false
		}
		node.activateTable(table, "peer")
	}
	if response.ConfigVersion <= node.configVersion() {
		node.configConfirmed.receiveAge(requestedAt, response.ConfigAgeMs)
	}
	if response.ServersRevision > 0 {
		node.applyPeerServerList(decodeServerList(requestedAt, response, node.directory.position().Era))
	} else {
		node.directory.confirmPrior(requestedAt, decodePrior(response))
	}
	node.confirmServers(requestedAt, response.ServersDigest, response.ServersAgeMs)
	node.evacuations.receive(requestedAt, address, response.Evacuations)
	node.options.Logger.Info().Str("peer", address).Int64("config", response.ConfigVersion).
		Int("config_bytes", len(response.Config)).Int("servers", len(response.Servers)).
		Int64("revision", response.ServersRevision).Int64("era", response.ServersEra).Int64("took_ms", clock.Since(requestedAt).Milliseconds()).Msg("snapshot_taken")
	return node.hasRequiredState()
}

// Snapshot serves a peer the data that this node has.
func (s *snapshots) Snapshot(_ context.Context, request *peerpb.SnapshotRequest) (*peerpb.SnapshotResponse, error) {
	now := clock.Now()
	node := s.node
	response := &peerpb.SnapshotResponse{Peers: node.peers.sampleAddresses(now, snapshotPeers), Evacuations: node.evacuations.encodeFull(now)}
	if table := node.handler.Table(); table != nil {
		response.ConfigVersion = table.Version
		response.ConfigAgeMs = node.configConfirmed.encodedAge(now)
		if table.Version > request.ConfigVersion {
			response.Config = table.Source
		}
	}
	if node.hasServers.Load() {
		response.ServersDigest, _ = node.directory.digestAndPosition()
		response.ServersAgeMs = node.serversConfirmed.encodedAge(now)
		prior := node.directory.prior(now)
		response.PriorEra, response.PriorRevision = prior.Era, prior.Revision
		if response.ServersDigest != request.ServersDigest {
			// Most peers have the list already. Building it for each request caused half of the
			// allocations of a leader with 300 nodes and 3,000 servers, 120 MB a second.
			servers, at, digest := node.directory.listAvailable()
			response.Servers, response.ServersDigest = encodeEntries(node.admissions.withColdState(now, servers)), digest
			response.ServersEra, response.ServersRevision = at.Era, at.Revision
			if age, ok := node.directory.eraAge(now); ok {
				response.EraAgeMs = encodeAge(age)
			}
		}
	}
	return response, nil
}

func decodePrior(response *peerpb.SnapshotResponse) storepos.Position {
	return storepos.At(response.PriorEra, response.PriorRevision)
}

// decodeServerList decodes a peer's list. A list without an era gets the given one.
func decodeServerList(requestedAt time.Time, response *peerpb.SnapshotResponse, era int64) inventory.PeerList {
	at := storepos.At(response.ServersEra, response.ServersRevision).WithDefaultEra(era)
	list := inventory.PeerList{Servers: decodeEntries(response.Servers, at.Era), Position: at, Prior: decodePrior(response)}
	if response.EraAgeMs > 0 {
		list.EraSince = requestedAt.Add(-time.Duration(response.EraAgeMs-1) * time.Millisecond)
	}
	return list
}

// decodeEntries decodes the servers of a peer's list. Entries without an era get the given one.
func decodeEntries(wire []*peerpb.ServerEntry, era int64) []inventory.Server {
	servers := make([]inventory.Server, 0, len(wire))
	for _, entry := range wire {
		server := inventory.Server{
			ID: entry.Server, StartedAtMs: entry.Born, Service: entry.Service, Address: entry.Address, Zone: entry.Zone,
			Slots: int(entry.Slots), Draining: entry.Draining, Position: storepos.At(entry.Era, entry.Revision).WithDefaultEra(era),
			SoftwareVersion: entry.SoftwareVersion,
		}
		if !isUsable(server) {
			continue
		}
		server.ColdRemaining, server.ReportsCold = decodeColdRemaining(entry.ColdLeftMs)
		for _, model := range entry.Held {
			server.Models = append(server.Models, inventory.HeldModel{Name: model.Model, Adapters: model.Adapters})
		}
		servers = append(servers, server)
	}
	return servers
}

// isUsable reports whether a server received from a peer is complete and valid. A peer running
// another build may have accepted an entry that this one cannot use.
func isUsable(server inventory.Server) bool {
	if server.ID == "" || server.StartedAtMs < 0 || server.Position.IsBefore(storepos.Position{}) || server.Position.Revision < 0 {
		return false
	}
	if server.Draining {
		return true
	}
	_, err := netip.ParseAddrPort(server.Address)
	return err == nil && server.Service != "" && server.Zone != ""
}

func encodeEntries(servers []inventory.Server) []*peerpb.ServerEntry {
	encoded := make([]*peerpb.ServerEntry, 0, len(servers))
	for _, server := range servers {
		entry := &peerpb.ServerEntry{
			Server: server.ID, Born: server.StartedAtMs, Service: server.Service, Address: server.Address, Zone: server.Zone,
			Slots: uint32(server.Slots), Draining: server.Draining, Revision: server.Position.Revision, Era: server.Position.Era,
			ColdLeftMs: encodeColdRemaining(server.ColdRemaining, server.ReportsCold), SoftwareVersion: server.SoftwareVersion,
		}
		for _, model := range server.Models {
			entry.Held = append(entry.Held, &peerpb.HeldModel{Model: model.Name, Adapters: model.Adapters})
		}
		encoded = append(encoded, entry)
	}
	return encoded
}
