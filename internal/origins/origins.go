package origins

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

// Key identifies a stream by its caller and the caller's attempt that received its first event. It is
// truncated from a SHA-256 digest, so that callers who choose the same request ID do not share a stream.
type Key [16]byte

// NewKey returns the key of a stream. caller is the caller's API key, empty where none is needed.
func NewKey(caller, requestID string) Key {
	digest := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(caller)))
	digest.Write(length[:])
	digest.Write([]byte(caller))
	digest.Write([]byte(requestID))
	var sum [sha256.Size]byte
	return Key(digest.Sum(sum[:0])[:len(Key{})])
}

// DecodeKey decodes a key in the form that nodes send; ok is false if it has the wrong length.
func DecodeKey(encoded []byte) (key Key, ok bool) {
	if len(encoded) != len(key) {
		return key, false
	}
	return Key(encoded), true
}

// Origin is where a stream began.
type Origin struct {
	Service string
	// SoftwareVersion is empty if it is unknown which version began the stream.
	SoftwareVersion string
}

const (
	// MaxLifetime bounds how long an origin is kept: callers resume streams within their deadline.
	MaxLifetime = 2 * time.Minute
	// MaxTextBytes bounds each text of an origin.
	MaxTextBytes = 256
	// maxEntries bounds the origins that a node keeps: four times those of a fleet of 800 nodes with
	// 11,000 streams a second that are kept for 20 s at four nodes each.
	maxEntries = 4800
)

// Entry is an origin with its stream and expiry.
type Entry struct {
	Key    Key
	Origin Origin
	// Server is the start of the server that the first events were asked from; zero if unknown.
	Server inventory.Start
	// RecordedAt is when the request was sent to the server.
	RecordedAt time.Time
	// IsCertain is set once the server said, after its first event, that it is still that start.
	IsCertain bool
	// ExpiresAt is when callers no longer resume the stream.
	ExpiresAt time.Time
}

// Table holds the origins that one node knows. It is not safe for concurrent use.
type Table struct {
	entries map[Key]Entry
	// order lists the keys from the oldest to the newest; it may hold keys that are gone.
	order []Key
	// forgotten holds where streams began that were dropped.
	forgotten map[Origin]bool
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: make(map[Key]Entry), forgotten: make(map[Origin]bool)}
}

// Put records an origin, or merges it with the known one. When the table is full the oldest one is dropped.
func (t *Table) Put(now time.Time, entry Entry) {
	if limit := now.Add(MaxLifetime); entry.ExpiresAt.After(limit) {
		entry.ExpiresAt = limit
	}
	if !entry.ExpiresAt.After(now) {
		t.forgotten[entry.Origin] = true
		return
	}
	known, isKnown := t.entries[entry.Key]
	if isKnown {
		entry = Merge(known, entry)
	}
	t.entries[entry.Key] = entry
	if isKnown {
		return
	}
	t.order = append(t.order, entry.Key)
	for len(t.entries) > maxEntries {
		t.drop(t.order[0])
		t.order = t.order[1:]
	}
}

// Find returns the origin of a stream; ok is false if it is not known here.
func (t *Table) Find(now time.Time, key Key) (entry Entry, ok bool) {
	entry, ok = t.entries[key]
	return entry, ok && entry.ExpiresAt.After(now)
}

// Size returns the number of origins.
func (t *Table) Size() int { return len(t.entries) }

// All returns the origins that have not expired, the oldest first.
func (t *Table) All(now time.Time) []Entry {
	var entries []Entry
	for _, key := range t.order {
		if entry, ok := t.Find(now, key); ok {
			entries = append(entries, entry)
		}
	}
	return entries
}

// Sweep drops expired origins.
func (t *Table) Sweep(now time.Time) {
	t.order = slices.DeleteFunc(t.order, func(key Key) bool {
		if _, ok := t.Find(now, key); ok {
			return false
		}
		t.drop(key)
		return true
	})
}

func (t *Table) drop(key Key) {
	if entry, ok := t.entries[key]; ok {
		t.forgotten[entry.Origin] = true
		delete(t.entries, key)
	}
}

// HasForgottenOther reports whether a stream was dropped that began in the service at another software version
// than this one, or at an unknown one.
func (t *Table) HasForgottenOther(now time.Time, origin Origin) bool {
	for forgotten := range t.forgotten {
		if forgotten.Service == origin.Service && forgotten != origin {
			return true
		}
	}
	for _, entry := range t.entries {
		if entry.Origin.Service == origin.Service && entry.Origin != origin && !entry.ExpiresAt.After(now) {
			return true
		}
	}
	return false
}

// ForgetDropped clears what HasForgottenOther reports of streams that were dropped before.
func (t *Table) ForgetDropped() { clear(t.forgotten) }

// Member is a node that may keep origins.
type Member struct {
	Address string
	Zone    string
	// Incarnation differs between the processes of one address.
	Incarnation uint64
	// IsLeaving is set while the node is stopping.
	IsLeaving bool
}

// Copies is the number of other nodes that keep the origin of a stream.
const Copies = 3

// Keepers returns the addresses of the nodes that keep the origin of a stream, by rendezvous hashing:
// any node finds them by the key alone, and a change of the members moves few streams. The first of
// each zone come before the others, so that the loss of a zone leaves a copy.
func Keepers(key Key, members []Member, count int) []string {
	weightOf := rendezvousWeights(key)
	firsts := firstOfZones(weightOf, members)
	keepers := sortedAddresses(weightOf, firsts)
	if len(keepers) < min(count, len(members)) {
		others := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return slices.Contains(keepers, m.Address) })
		keepers = append(keepers, sortedAddresses(weightOf, others)...)
	}
	return keepers[:min(count, len(keepers))]
}

// firstOfZones returns the member with the highest weight of each zone.
func firstOfZones(weightOf func(address string) uint64, members []Member) (firsts []Member) {
	var weights []uint64
	for _, member := range members {
		weight := weightOf(member.Address)
		at := slices.IndexFunc(firsts, func(first Member) bool { return first.Zone == member.Zone })
		switch {
		case at < 0:
			firsts, weights = append(firsts, member), append(weights, weight)
		case weight > weights[at]:
			firsts[at], weights[at] = member, weight
		}
	}
	return firsts
}

// sortedAddresses returns the addresses of the members, the highest weight first.
func sortedAddresses(weightOf func(address string) uint64, members []Member) []string {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, member.Address)
	}
	slices.SortFunc(addresses, func(a, b string) int {
		return cmp.Or(-cmp.Compare(weightOf(a), weightOf(b)), cmp.Compare(a, b))
	})
	return addresses
}

// rendezvousWeights returns the weights of addresses for a key. They mix a hash of the address with the
// key by the finalizer of MurmurHash3.
func rendezvousWeights(key Key) func(address string) uint64 {
	seed := binary.BigEndian.Uint64(key[:8])
	return func(address string) uint64 {
		weight := xxhash.Sum64String(address) ^ seed
		weight = (weight ^ weight>>33) * 0xff51afd7ed558ccd
		weight = (weight ^ weight>>33) * 0xc4ceb9fe1a85ec53
		return weight ^ weight>>33
	}
}
