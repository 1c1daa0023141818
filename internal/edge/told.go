package edge

import "github.com/spanlanding/spanlanding/internal/dispatch"

// publishedViews holds the digests of the leader's views as last published. The digests that
// other nodes compare with are updated on every change, because each request for missing views
// and each of the leader's datagrams needs them. It is not safe for concurrent use.
type publishedViews struct {
	byServer map[string]uint64
	// digest covers all views, and buckets holds the digest of each bucket of servers.
	digest  uint64
	buckets dispatch.ViewDigests
}

func newPublishedViews() *publishedViews { return &publishedViews{byServer: make(map[string]uint64)} }

// has reports whether the server's view was last published with the digest.
func (t *publishedViews) has(serverID string, digest uint64) bool {
	return t.byServer[serverID] == digest
}

// record stores the digest of a published view.
func (t *publishedViews) record(serverID string, digest uint64) {
	t.toggle(serverID, t.byServer[serverID])
	t.toggle(serverID, digest)
	t.byServer[serverID] = digest
}

// prune drops the servers for which keep returns false.
func (t *publishedViews) prune(keep func(serverID string) bool) {
	for id, digest := range t.byServer {
		if !keep(id) {
			t.toggle(id, digest)
			delete(t.byServer, id)
		}
	}
}

// toggle adds a view to the digests, or removes one that they contain.
func (t *publishedViews) toggle(serverID string, digest uint64) {
	t.digest ^= digest
	t.buckets.Add(serverID, digest)
}
