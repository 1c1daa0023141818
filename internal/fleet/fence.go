package fleet

import "fmt"

// Fence orders the leaderships of a zone. A back end refuses every order whose
// fence is not the one it granted last, and grants only a claim whose fence is
// strictly greater than all it has granted before.
//
// From the highest bits: the version of the zone's allotment (24 bits), the
// term of the claim (24 bits), a hash of the holder (16 bits). The hash only
// makes ties rare; a tie is safe since a back end grants one fence once.
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

// NewFence packs the parts. Parts that are too large are cut to their limit.
func NewFence(allotmentVersion, term uint64, holder uint16) Fence {
	version := min(allotmentVersion, MaxFenceAllotmentVersion)
	cappedTerm := min(term, MaxFenceTerm)
	return Fence(version<<(fenceTermBits+fenceHolderBits) | cappedTerm<<fenceHolderBits | uint64(holder))
}

// AllotmentVersion is the version of the zone's allotment known to the holder.
func (f Fence) AllotmentVersion() uint64 {
	return uint64(f) >> (fenceTermBits + fenceHolderBits)
}

// Term is the claim's term under that allotment version.
func (f Fence) Term() uint64 {
	return uint64(f) >> fenceHolderBits & MaxFenceTerm
}

// Holder is the hash of the holder's identity.
func (f Fence) Holder() uint16 {
	return uint16(f)
}

// String shows the three parts, for logs and status.
func (f Fence) String() string {
	return fmt.Sprintf("%d.%d.%04x", f.AllotmentVersion(), f.Term(), f.Holder())
}
