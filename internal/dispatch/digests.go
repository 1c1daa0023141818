package dispatch

import "github.com/cespare/xxhash/v2"

// ViewBuckets is the number of buckets of servers, by their names, whose views are
// compared as one: with a thousand servers a bucket has sixteen, some 2 KB of views.
const ViewBuckets = 64

// ViewDigests are digests of views, one for each bucket. Two nodes that have the same
// views of a bucket's servers have the same digest of it.
type ViewDigests [ViewBuckets]uint32

// ViewBucket is the bucket of a server.
func ViewBucket(serverID string) int { return int(xxhash.Sum64String(serverID) % ViewBuckets) }

// Add takes the view of a server with the digest.
func (d *ViewDigests) Add(serverID string, digest uint64) {
	d[ViewBucket(serverID)] ^= uint32(digest) ^ uint32(digest>>32)
}

// Differs tells for each bucket whether it is another than that of the digests; all are
// where these are not of as many buckets.
func (d *ViewDigests) Differs(digests []uint32) (differs [ViewBuckets]bool, count int) {
	for bucket := range d {
		if len(digests) != ViewBuckets || d[bucket] != digests[bucket] {
			differs[bucket] = true
			count++
		}
	}
	return differs, count
}

// ViewDigests are those of the views of the newest term.
func (c *Core) ViewDigests() ViewDigests {
	var digests ViewDigests
	for id, s := range c.servers {
		if s.view != nil && s.viewTerm == c.term {
			digests.Add(id, s.view.Digest)
		}
	}
	for id, early := range c.early {
		digests.Add(id, early.view.Digest)
	}
	return digests
}
