package edge

import "github.com/spanlanding/spanlanding/internal/dispatch"

// publishedViews are the leader's views as last told, by their digests. What nodes compare with
// is kept with each change: each datagram of a node that lacks some asks for it, and each of
// the leader's carries it. It is not safe for concurrent use.
type publishedViews struct {
	byServer map[string]uint64
	// digest is the digest of digest of them, and buckets are those of the buckets of servers.
	digest  uint64
	buckets dispatch.ViewDigests
}

func newPublishedViews() *publishedViews { return &publishedViews{byServer: make(map[string]uint64)} }

// has reports whether the server's view was last told with the digest.
func (t *publishedViews) has(serverID string, digest uint64) bool {
	return t.byServer[serverID] == digest
}

// record takes that a server's view is told.
func (t *publishedViews) record(serverID string, digest uint64) {
	t.toggle(serverID, t.byServer[serverID])
	t.toggle(serverID, digest)
	t.byServer[serverID] = digest
}

// prune drops what was told of servers that are not to be kept.
func (t *publishedViews) prune(keep func(serverID string) bool) {
	for id, digest := range t.byServer {
		if !keep(id) {
			t.toggle(id, digest)
			delete(t.byServer, id)
		}
	}
}

// toggle adds a view to the digests, or takes one out that is in them.
func (t *publishedViews) toggle(serverID string, digest uint64) {
	t.digest ^= digest
	t.buckets.Add(serverID, digest)
}
