package storelease

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/storepos"
)

// Options set up a Core.
type Options struct {
	// Holder is the machine; a process that restarts there is the same holder.
	Holder string
	// Address is where its peers reach it; it stands in the record.
	Address string
	// Duration is how long a write keeps the lease.
	Duration time.Duration
	// RenewInterval is the time between writes of the holder.
	RenewInterval time.Duration
	// Margin covers clocks that run apart, and writes on their way.
	Margin time.Duration
	// QuietPeriod is the time that passes between the last order of one holder and
	// the first of another.
	QuietPeriod time.Duration
}

// Record is the object as the store has it.
type Record struct {
	Holder string
	// Address is where peers reach the holder.
	Address string
	// QuietPeriod is how long after this write the holder gives its first order; a
	// process that starts anew at the holder goes on to wait for it.
	QuietPeriod time.Duration
	// Loads are the loads from each weight store that the holder began or may
	// begin until its next write, as the times since, when it wrote.
	Loads map[string][]time.Duration
	// LoadsAtOnce are the loads at full speed that holders learned of each
	// weight store.
	LoadsAtOnce map[string]float64
	// Nodes is the number of nodes that the holder knew of.
	Nodes int
	// Barred are the requests that are barred, by the names of their fingerprints, and
	// for how long yet: nodes that all start anew go on to bar them.
	Barred map[string]time.Duration
	// Position is where the store has the object, or, where there is none, the era that it said so in.
	Position storepos.Position
	// Era is the one in which the holder wrote it; 0 where it knew of none. A copy of the store
	// brings records of earlier eras.
	Era int64
	// TokenBase is what fencing tokens of the era have beyond the revision of their write.
	TokenBase int64
}

const (
	// tokenStep is what tokens of an era have beyond those of the era before; revisions stay below it.
	tokenStep = 1 << 40
	// mostSteps bounds the base of tokens, which are whole numbers that all JSON readers tell apart.
	mostSteps = 1<<12 - 1
)

// baseIn is the token base of an era after that in which the base was the given one. One that
// nobody can have written counts as the nearest that somebody can.
func baseIn(era, base, baseEra int64) int64 {
	base = min(mostSteps*tokenStep, max(0, base))
	return base + min(mostSteps, max(0, era-baseEra))*tokenStep
}

// Core follows the lease for one machine. It is not safe for concurrent use.
type Core struct {
	options Options
	record  Record
	// known is false until the object was read or written.
	known bool
	// isRestored is set while the record is not the newest that was ever written, as the store came
	// back from a copy: another machine may hold the lease by what was lost.
	isRestored bool
	// seen is when the newest position was first seen.
	seen time.Time
	// reads counts the reads that showed the newest position unchanged.
	reads int
	// tokenBase is that of the era tokenEra, as far as it is known.
	tokenBase, tokenEra int64
	// term is the fencing token; 0 while another holds the lease.
	term       int64
	validUntil time.Time
	orderFrom  time.Time
	// attemptFrom is the first order after an earlier write of this process
	// that may have taken the lease without an answer.
	attemptFrom time.Time
	// past are the loads of the holders before this term, by the time they may
	// have begun at the latest.
	past map[string][]time.Time
	// pastAtOnce are the loads at full speed that they learned of.
	pastAtOnce map[string]float64
}

// New returns a core that knows nothing of the lease.
func New(options Options) *Core {
	return &Core{options: options}
}

// Observe takes the object as read by a call that was made at asked.
func (c *Core) Observe(asked, now time.Time, record Record) {
	if c.observe(asked, now, record, false) {
		c.learnBase(record, false)
	}
}

// ObserveWrite takes from the holder itself that it wrote the object at the position.
func (c *Core) ObserveWrite(now time.Time, holder string, at storepos.Position) {
	at = at.WithDefaultEra(c.record.Position.Era)
	if c.known && !at.IsAfter(c.record.Position) {
		return
	}
	c.observe(now, now, Record{Holder: holder, Position: at, Era: at.Era}, false)
}

// ObserveAbsent takes that there was no such object in the era, as a call told that was made at asked.
func (c *Core) ObserveAbsent(asked, now time.Time, era int64) {
	record := Record{Position: storepos.At(era, 0)}
	if c.observe(asked, now, record, true) {
		c.learnBase(record, true)
	}
}

// observe reports whether the record was not told late.
func (c *Core) observe(asked, now time.Time, record Record, isAbsent bool) bool {
	isLost := c.known && record.Position.IsBefore(c.record.Position) ||
		c.known && isAbsent && c.record.Position.Revision > 0
	if isLost && record.Position.Era <= c.record.Position.Era && !asked.After(c.seen) {
		return false
	}
	isOfOtherEra := record.Era != record.Position.Era
	if isAbsent && c.known {
		isOfOtherEra = record.Position.Era != c.record.Position.Era
	}
	switch {
	case !c.known || isLost || record.Position != c.record.Position:
		c.isRestored = isLost || isOfOtherEra
		c.seen = now
		c.reads = 0
	default:
		c.isRestored = c.isRestored || isOfOtherEra
		c.reads++
	}
	c.known = true
	c.record = record
	isHolding := c.term != 0 && c.isRestored && now.Before(c.validUntil)
	if (c.isRestored || record.Holder != c.options.Holder) && !isHolding {
		c.term = 0
	}
	return true
}

// learnBase takes what the record tells of the tokens of its era. Of a record that lies there no
// more, and of one whose writer knew of no eras, this process may know more.
func (c *Core) learnBase(record Record, isAbsent bool) {
	era := record.Position.Era
	told := int64(0)
	switch {
	case isAbsent && c.tokenEra == 0:
		told = baseIn(era, 0, storepos.FirstEra)
	case record.Era != 0:
		told = baseIn(era, record.TokenBase, record.Era)
	}
	if c.tokenEra != 0 {
		told = max(told, baseIn(era, c.tokenBase, c.tokenEra))
	}
	c.tokenBase, c.tokenEra = told, era
}

// Record is the object as last seen.
func (c *Core) Record() Record { return c.record }

// IsRestored reports whether the store came back from a copy, and nobody wrote the object since.
func (c *Core) IsRestored() bool { return c.isRestored }

// IsKnown reports whether the object was read, written or heard of.
func (c *Core) IsKnown() bool { return c.known }

// CanAcquire reports whether a write under the condition of the known position
// may take the lease.
func (c *Core) CanAcquire(now time.Time) bool {
	isFree := c.record.Holder == "" || c.record.Holder == c.options.Holder
	switch {
	case !c.known:
		return false
	case isFree && !c.isRestored:
		return true
	default:
		return c.reads > 0 && now.Sub(c.seen) > c.options.Duration+c.options.Margin
	}
}

// Expire ends the term of a holder whose lease ran out before it was written into the store's
// present era: another may have taken it in what the store lost.
func (c *Core) Expire(now time.Time) {
	if c.isRestored && !now.Before(c.validUntil) {
		c.term = 0
	}
}

// NextRecord returns the record to write at now, under the condition of the known
// position.
func (c *Core) NextRecord(now time.Time) Record {
	from := c.orderFrom
	if c.term == 0 {
		from = c.firstOrder(now)
		c.attemptFrom = from
	}
	return Record{
		Holder: c.options.Holder, Address: c.options.Address, QuietPeriod: max(0, from.Sub(now)),
		Position: c.record.Position, Era: c.record.Position.Era, TokenBase: c.tokenBase,
	}
}

// WriteSucceeded takes the answer to a write of this machine that was sent at sent. It reports whether the
// write counts: one that the store did after it had come back from a copy was made under a
// condition of before, which held by chance.
func (c *Core) WriteSucceeded(sent, now time.Time, at storepos.Position) bool {
	if at.Era != c.record.Position.Era {
		return false
	}
	if c.term == 0 {
		c.term = c.tokenBase + at.Revision
		c.orderFrom = c.firstOrder(sent)
		c.past = c.loadsOf(c.record)
		c.pastAtOnce = c.record.LoadsAtOnce
	}
	c.record = Record{Holder: c.options.Holder, Position: at, Era: at.Era, TokenBase: c.tokenBase}
	c.known = true
	c.isRestored = false
	c.seen = now
	c.reads = 0
	c.validUntil = sent.Add(c.options.Duration)
	return true
}

// firstOrder is when the first order of a term may leave: another machine's
// last order left before its lease ended.
func (c *Core) firstOrder(sent time.Time) time.Time {
	from := sent
	switch {
	case c.isRestored:
		from = c.seen.Add(c.options.Duration + c.options.QuietPeriod + c.options.Margin)
	case c.record.Holder == "":
	case c.record.Holder == c.options.Holder:
		from = c.seen.Add(c.record.QuietPeriod)
	default:
		from = c.seen.Add(c.options.Duration + c.options.QuietPeriod + c.options.Margin)
	}
	if c.attemptFrom.After(from) {
		from = c.attemptFrom
	}
	return from
}

// Term is the fencing token, or 0 where this machine does not hold the lease
// by the store's newest word. It rises from holder to holder, also over eras.
func (c *Core) Term() int64 { return c.term }

// MayIssueOrders reports whether an order may leave now.
func (c *Core) MayIssueOrders(now time.Time) bool {
	return c.term != 0 && now.Before(c.validUntil) && !now.Before(c.orderFrom)
}

// FirstOrderAt is when the first order of the term may leave.
func (c *Core) FirstOrderAt() time.Time { return c.orderFrom }

// PastLoads are the loads from each weight store that holders before this term
// may have begun, by the latest time.
func (c *Core) PastLoads() map[string][]time.Time { return c.past }

// PastLoadsAtOnce are the loads at full speed that holders before this term
// learned of each weight store.
func (c *Core) PastLoadsAtOnce() map[string]float64 { return c.pastAtOnce }

// loadsOf dates a record's loads from when it was first seen, which is after it
// was written.
func (c *Core) loadsOf(record Record) map[string][]time.Time {
	loads := make(map[string][]time.Time, len(record.Loads))
	for store, ages := range record.Loads {
		for _, age := range ages {
			loads[store] = append(loads[store], c.seen.Add(-age))
		}
	}
	return loads
}

// RenewAt is when the holder writes next: at once where the store's present era does not have its
// lease.
func (c *Core) RenewAt() time.Time {
	if c.isRestored {
		return c.seen
	}
	return c.validUntil.Add(c.options.RenewInterval - c.options.Duration)
}

// ValidUntil is when the lease ends.
func (c *Core) ValidUntil() time.Time { return c.validUntil }

// ExpiredFor is how long ago the lease ended, or 0 while it is held.
func (c *Core) ExpiredFor(now time.Time) time.Duration {
	return max(0, now.Sub(c.validUntil))
}

// WriteConflicted takes that another write won.
func (c *Core) WriteConflicted() { c.term = 0 }
