package fleet

import "fmt"

// Fence orders the leaderships of a zone. A back end rejects every command whose fence is not the
// one it granted last, and grants a claim only if its fence is strictly greater than all it granted
// before.
//
// From the highest bits: the version of the zone's allotment (24 bits), the term of the claim (24
// bits), a hash of the holder (16 bits). The hash only makes ties rare; a tie is safe because a
// back end grants one fence only once.
type Fence uint64

const (
	fenceHolderBits  = 16
	fenceTermBits    = 24
	fenceVersionBits = 24

	// MaxFenceTerm is the largest term a fence can carry.
	MaxFenceTerm = 1<<fenceTermBits - 1
	// MaxFenceAllotmentVersion is the largest allotment version it can carry.
	MaxFenceAllotmentVersion = 1<<fenceVersionBits - 1
)

// NewFence combines the parts. Parts that are too large are capped.
func NewFence(allotmentVersion, term uint64, holder uint16) Fence {
	version := min(allotmentVersion, MaxFenceAllotmentVersion)
	cappedTerm := min(term, MaxFenceTerm)
	return Fence(version<<(fenceTermBits+fenceHolderBits) | cappedTerm<<fenceHolderBits | uint64(holder))
}

// AllotmentVersion returns the version of the zone's allotment known to the holder.
func (f Fence) AllotmentVersion() uint64 {
	return uint64(f) >> (fenceTermBits + fenceHolderBits)
}

// Term returns the claim's term under that allotment version.
func (f Fence) Term() uint64 {
	return uint64(f) >> fenceHolderBits & MaxFenceTerm
}

// Holder returns the hash of the holder's identity.
func (f Fence) Holder() uint16 {
	return uint16(f)
}

// String formats the three parts, for logs and status.
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d.%04x", f.AllotmentVersion(), f.Term(), f.Holder())
}
