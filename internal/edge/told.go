package edge

import "github.com/spanlanding/spanlanding/internal/dispatch"

// toldViews are the leader's views as last told, by their digests. What nodes compare with
// is kept with each change: each datagram of a node that lacks some asks for it, and each of
// the leader's carries it. It is not safe for concurrent use.
type toldViews struct {
	byServer map[string]uint64
	// all is the digest of all of them, and buckets are those of the buckets of servers.
	all     uint64
	buckets dispatch.ViewDigests
}

func newToldViews() *toldViews { return &toldViews{byServer: make(map[string]uint64)} }

// has reports whether the server's view was last told with the digest.
func (t *toldViews) has(serverID string, digest uint64) bool { return t.byServer[serverID] == digest }

// tell takes that a server's view is told.
func (t *toldViews) tell(serverID string, digest uint64) {
	t.change(serverID, t.byServer[serverID])
	t.change(serverID, digest)
	t.byServer[serverID] = digest
}

// forget drops what was told of servers that are not to be kept.
func (t *toldViews) forget(keep func(serverID string) bool) {
	for id, digest := range t.byServer {
		if !keep(id) {
			t.change(id, digest)
			delete(t.byServer, id)
		}
	}
}

// change adds a view to the digests, or takes one out that is in them.
func (t *toldViews) change(serverID string, digest uint64) {
	t.all ^= digest
	t.buckets.Add(serverID, digest)
}
