package dispatch

import "github.com/cespare/xxhash/v2"

// ViewBuckets is the number of buckets into which servers are hashed by ID. The views of a bucket
// are compared as one: with a thousand servers it has sixteen of them, some 2 KB of views.
const ViewBuckets = 64

// ViewDigests holds one digest of views for each bucket. Two nodes with the same views of a
// bucket's servers have the same digest of it.
type ViewDigests [ViewBuckets]uint32

// ViewBucket returns the bucket of a server.
func ViewBucket(serverID string) int { return int(xxhash.Sum64String(serverID) % ViewBuckets) }

// Add adds the view of a server, by its digest.
func (d *ViewDigests) Add(serverID string, digest uint64) {
	d[ViewBucket(serverID)] ^= uint32(digest) ^ uint32(digest>>32)
}

// Differs reports for each bucket whether its digest differs from the given one. All buckets differ
// if the number of digests is not ViewBuckets.
func (d *ViewDigests) Differs(digests []uint32) (differs [ViewBuckets]bool, count int) {
	for bucket := range d {
		if len(digests) != ViewBuckets || d[bucket] != digests[bucket] {
			differs[bucket] = true
			count++
		}
	}
	return differs, count
}

// ViewDigests returns the digests of the views of the current term.
func (c *Core) ViewDigests() ViewDigests {
	var digests ViewDigests
	for id, s := range c.servers {
		if s.view != nil && s.viewTerm == c.term {
			digests.Add(id, s.view.Digest)
		}
	}
	for id, pending := range c.pendingViews {
		digests.Add(id, pending.view.Digest)
	}
	return digests
}
