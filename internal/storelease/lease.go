package storelease

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Options configure a Core.
type Options struct {
	// Holder names the node, and Address is where peers reach it. A process that restarts on the node is the
	// same holder. Another node may have its name, at another address.
	Holder  string
	Address string
	// Duration is how long the lease lasts after a write.
	Duration time.Duration
	// RenewInterval is the time between the holder's writes.
	RenewInterval time.Duration
	// Margin covers differences in clock rate and writes in flight.
	Margin time.Duration
	// QuietPeriod is the minimum time between the last order of one holder and
	// the first order of the next.
	QuietPeriod time.Duration
}

// Record is the lease object as stored.
type Record struct {
	Holder string
	// Address is where peers reach the holder.
	Address string
	// QuietPeriod is how long after this write the holder issues its first order; a
	// process that restarts on the holder's node waits for the rest of it.
	QuietPeriod time.Duration
	// Loads are the loads from each weight store that the holder has started, or may
	// start before its next write, each as its age at the time of this write.
	Loads map[string][]time.Duration
	// LoadsAtOnce is how many concurrent loads at full speed each weight store
	// sustains, as observed by the holders.
	LoadsAtOnce map[string]float64
	// Nodes is the number of nodes known to the holder.
	Nodes int
	// Barred maps the fingerprint names of barred requests to the remaining time, so
	// that they stay barred when all nodes restart.
	Barred map[string]time.Duration
	// Position is the object's position in the store. If the object does not exist, only its
	// era is set: the one in which the store reported that.
	Position storepos.Position
	// Era is the era in which the holder wrote the record; 0 if the holder knew no era. A store
	// that was restored from a backup returns records of earlier eras.
	Era int64
	// TokenBase is added to the revision of the acquiring write to form the fencing tokens of the era.
	TokenBase int64
}

const (
	// tokensPerEra is the difference between the token bases of consecutive eras; revisions stay below it.
	tokensPerEra = 1 << 40
	// maxEraSteps limits the token base, so that tokens stay integers that every JSON reader
	// represents exactly.
	maxEraSteps = 1<<12 - 1
)

// tokenBaseForEra returns the token base of era, given the base of the earlier baseEra. A base
// that no holder can have written is clamped to the valid range.
func tokenBaseForEra(era, base, baseEra int64) int64 {
	base = min(maxEraSteps*tokensPerEra, max(0, base))
	return base + min(maxEraSteps, max(0, era-baseEra))*tokensPerEra
}

// Core tracks the lease for one node. It is not safe for concurrent use.
type Core struct {
	options Options
	record  Record
	// known is false until the object has been read or written, or a peer has reported a write.
	known bool
	// isRestored is set while the record may not be the newest ever written because the store was
	// restored from a backup: another node may hold the lease by a write that was lost.
	isRestored bool
	// positionSeenAt is when the newest position was first seen.
	positionSeenAt time.Time
	// unchangedReads counts the reads that showed the newest position unchanged.
	unchangedReads int
	// tokenBase is the token base of tokenEra, as far as it is known.
	tokenBase, tokenEra int64
	// term is the fencing token; 0 while this node does not hold the lease.
	term         int64
	validUntil   time.Time
	firstOrderAt time.Time
	// attemptFirstOrderAt is the time of the first order after an earlier write of this
	// process that may have acquired the lease although its answer was lost.
	attemptFirstOrderAt time.Time
	// pastLoads are the loads by the holders before this term, each as the latest
	// time at which it may have started.
	pastLoads map[string][]time.Time
	// pastLoadsAtOnce is LoadsAtOnce as recorded by those holders.
	pastLoadsAtOnce map[string]float64
}

// New returns a Core that has no information about the lease yet.
func New(options Options) *Core {
	return &Core{options: options}
}

// Observe handles the object as read by a call that was made at requestedAt.
func (c *Core) Observe(requestedAt, now time.Time, record Record) {
	if c.observe(requestedAt, now, record, false) {
		c.updateTokenBase(record, false)
	}
}

// ObserveWrite handles the report of another node that it wrote the object at the position.
func (c *Core) ObserveWrite(now time.Time, holder, address string, at storepos.Position) {
	at = at.WithDefaultEra(c.record.Position.Era)
	if c.known && !at.IsAfter(c.record.Position) {
		return
	}
	c.observe(now, now, Record{Holder: holder, Address: address, Position: at, Era: at.Era}, false)
}

// ObserveAbsent handles the answer to a call made at requestedAt that the object does not exist in the era.
func (c *Core) ObserveAbsent(requestedAt, now time.Time, era int64) {
	record := Record{Position: storepos.At(era, 0)}
	if c.observe(requestedAt, now, record, true) {
		c.updateTokenBase(record, true)
	}
}

// observe updates the state from a record. It returns false if the record is outdated and was
// ignored.
func (c *Core) observe(requestedAt, now time.Time, record Record, isAbsent bool) bool {
	wentBack := c.known && record.Position.IsBefore(c.record.Position) ||
		c.known && isAbsent && c.record.Position.Revision > 0
	if wentBack && record.Position.Era <= c.record.Position.Era && !requestedAt.After(c.positionSeenAt) {
		return false
	}
	isFromOtherEra := record.Era != record.Position.Era
	if isAbsent && c.known {
		isFromOtherEra = record.Position.Era != c.record.Position.Era
	}
	switch {
	case !c.known || wentBack || record.Position != c.record.Position:
		c.isRestored = wentBack || isFromOtherEra
		c.positionSeenAt = now
		c.unchangedReads = 0
	default:
		c.isRestored = c.isRestored || isFromOtherEra
		c.unchangedReads++
	}
	c.known = true
	c.record = record
	isHolding := c.term != 0 && c.isRestored && now.Before(c.validUntil)
	if (c.isRestored || !c.isOwn(record)) && !isHolding {
		c.term = 0
	}
	return true
}

// isOwn reports whether a process of this node wrote the record. One without an address is told by its name.
func (c *Core) isOwn(record Record) bool {
	return record.Holder == c.options.Holder && (record.Address == "" || record.Address == c.options.Address)
}

// IsOwn reports whether the lease, as last seen, names this node.
func (c *Core) IsOwn() bool { return c.isOwn(c.record) }

// updateTokenBase derives the token base of the record's era. Without a record every era that the store
// may have had counts, whichever number it began with. Where the record is gone or its writer knew no
// eras, the base that this process remembers may be higher.
func (c *Core) updateTokenBase(record Record, isAbsent bool) {
	era := record.Position.Era
	base := int64(0)
	switch {
	case isAbsent:
		base = tokenBaseForEra(era, 0, storepos.EarliestEra)
	case record.Era != 0:
		base = tokenBaseForEra(era, record.TokenBase, record.Era)
	}
	if c.tokenEra != 0 {
		base = max(base, tokenBaseForEra(era, c.tokenBase, c.tokenEra))
	}
	c.tokenBase, c.tokenEra = base, era
}

// Record returns the object as last seen.
func (c *Core) Record() Record { return c.record }

// RecordAge returns the time since the object was first seen as Record returns it. It was written before.
func (c *Core) RecordAge(now time.Time) time.Duration { return max(0, now.Sub(c.positionSeenAt)) }

// IsRestored reports whether the store was restored from a backup and the object has not been
// written since.
func (c *Core) IsRestored() bool { return c.isRestored }

// IsKnown reports whether the object was read or written, or a peer reported a write.
func (c *Core) IsKnown() bool { return c.known }

// CanAcquire reports whether this node may try to acquire the lease by a write
// conditional on the known position.
func (c *Core) CanAcquire(now time.Time) bool {
	isFree := c.record.Holder == "" || c.isOwn(c.record)
	switch {
	case !c.known:
		return false
	case isFree && !c.isRestored:
		return true
	default:
		return c.unchangedReads > 0 && now.Sub(c.positionSeenAt) > c.options.Duration+c.options.Margin
	}
}

// Expire ends the term of a holder whose lease expired before it was written in the store's
// current era: another node may have acquired it by a write that the store lost.
func (c *Core) Expire(now time.Time) {
	if c.isRestored && !now.Before(c.validUntil) {
		c.term = 0
	}
}

// NextRecord returns the record to write at now, on the condition that the position
// is still the known one.
func (c *Core) NextRecord(now time.Time) Record {
	firstOrderAt := c.firstOrderAt
	if c.term == 0 {
		firstOrderAt = c.earliestOrder(now)
		c.attemptFirstOrderAt = firstOrderAt
	}
	return Record{
		Holder: c.options.Holder, Address: c.options.Address, QuietPeriod: max(0, firstOrderAt.Sub(now)),
		Position: c.record.Position, Era: c.record.Position.Era, TokenBase: c.tokenBase,
	}
}

// WriteSucceeded handles the success of a write that this node sent at sentAt. It reports whether
// the write is valid: if the store was restored from a backup before it applied the write, the
// condition was on a revision of the earlier era and held by chance.
func (c *Core) WriteSucceeded(sentAt, now time.Time, at storepos.Position) bool {
	if at.Era != c.record.Position.Era {
		return false
	}
	if c.term == 0 {
		c.term = c.tokenBase + at.Revision
		c.firstOrderAt = c.earliestOrder(sentAt)
		c.pastLoads = c.loadStartTimes(c.record)
		c.pastLoadsAtOnce = c.record.LoadsAtOnce
	}
	c.record = Record{Holder: c.options.Holder, Address: c.options.Address, Position: at, Era: at.Era, TokenBase: c.tokenBase}
	c.known = true
	c.isRestored = false
	c.positionSeenAt = now
	c.unchangedReads = 0
	c.validUntil = sentAt.Add(c.options.Duration)
	return true
}

// earliestOrder returns when the first order of a term may be sent. Another node's
// last order was sent before that node's lease ended.
func (c *Core) earliestOrder(sentAt time.Time) time.Time {
	earliest := sentAt
	switch {
	case c.isRestored:
		earliest = c.positionSeenAt.Add(c.options.Duration + c.options.QuietPeriod + c.options.Margin)
	case c.record.Holder == "":
	case c.isOwn(c.record):
		earliest = c.positionSeenAt.Add(c.record.QuietPeriod)
	default:
		earliest = c.positionSeenAt.Add(c.options.Duration + c.options.QuietPeriod + c.options.Margin)
	}
	if c.attemptFirstOrderAt.After(earliest) {
		earliest = c.attemptFirstOrderAt
	}
	return earliest
}

// Term returns the fencing token, or 0 if this node does not hold the lease according
// to the newest known record. It increases from holder to holder, also across eras.
func (c *Core) Term() int64 { return c.term }

// MayIssueOrders reports whether an order may be sent now.
func (c *Core) MayIssueOrders(now time.Time) bool {
	return c.term != 0 && now.Before(c.validUntil) && !now.Before(c.firstOrderAt)
}

// FirstOrderAt returns when the first order of the term may be sent.
func (c *Core) FirstOrderAt() time.Time { return c.firstOrderAt }

// PastLoads returns, for each weight store, the loads that holders before this term
// may have started, each as its latest possible start time.
func (c *Core) PastLoads() map[string][]time.Time { return c.pastLoads }

// PastLoadsAtOnce returns how many concurrent loads at full speed each weight store
// sustains, as observed by holders before this term.
func (c *Core) PastLoadsAtOnce() map[string]float64 { return c.pastLoadsAtOnce }

// loadStartTimes converts the ages of a record's loads to start times, counted from when
// the record was first seen, which is after it was written.
func (c *Core) loadStartTimes(record Record) map[string][]time.Time {
	starts := make(map[string][]time.Time, len(record.Loads))
	for store, ages := range record.Loads {
		for _, age := range ages {
			starts[store] = append(starts[store], c.positionSeenAt.Add(-age))
		}
	}
	return starts
}

// RenewAt returns when the holder writes next: at once if its lease has not been written in the
// store's current era.
func (c *Core) RenewAt() time.Time {
	if c.isRestored {
		return c.positionSeenAt
	}
	return c.validUntil.Add(c.options.RenewInterval - c.options.Duration)
}

// ValidUntil returns when the lease ends.
func (c *Core) ValidUntil() time.Time { return c.validUntil }

// ExpiredFor returns how long ago the lease ended, or 0 while it is held.
func (c *Core) ExpiredFor(now time.Time) time.Duration {
	return max(0, now.Sub(c.validUntil))
}

// WriteConflicted handles the failure of a write because another write came first.
func (c *Core) WriteConflicted() { c.term = 0 }
