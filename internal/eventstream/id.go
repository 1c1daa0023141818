package eventstream

import (
	"cmp"
	"math/big"
	"strconv"
	"strings"
)

// splitID splits an ID into a number at its end, of any length and without leading zeros, and what comes before.
func splitID(id string) (prefix, number string) {
	prefix = strings.TrimRight(id, "0123456789")
	number = strings.TrimLeft(id[len(prefix):], "0")
	if number == "" && len(prefix) < len(id) {
		number = "0"
	}
	return prefix, number
}

// compareIDs compares IDs that differ in their numbers alone, or not at all. ok is false for others: these have
// no order.
func compareIDs(a, b string) (order int, ok bool) {
	aPrefix, aNumber := splitID(a)
	bPrefix, bNumber := splitID(b)
	if a != b && (aPrefix != bPrefix || aNumber == "" || bNumber == "") {
		return 0, false
	}
	return cmp.Or(cmp.Compare(len(aNumber), len(bNumber)), strings.Compare(aNumber, bNumber)), true
}

// stepBetween is the difference of the numbers of two IDs; 0 if it does not rise, is not known, has more than 64
// bits, or is that of numbers of more than maxDigits.
func stepBetween(lastID, id string) uint64 {
	if order, ok := compareIDs(lastID, id); !ok || order >= 0 {
		return 0
	}
	_, last := splitID(lastID)
	_, number := splitID(id)
	from, fromErr := strconv.ParseUint(last, 10, 64)
	to, toErr := strconv.ParseUint(number, 10, 64)
	if fromErr == nil && toErr == nil {
		return to - from
	}
	return wideStep(last, number)
}

// maxDigits bounds the numbers that are subtracted: an ID may be as long as an event.
const maxDigits = 128

// wideStep is stepBetween for numbers of more than 64 bits.
func wideStep(last, number string) uint64 {
	if len(number) > maxDigits {
		return 0
	}
	from, fromOK := new(big.Int).SetString(last, 10)
	to, toOK := new(big.Int).SetString(number, 10)
	if !fromOK || !toOK {
		return 0
	}
	step := to.Sub(to, from)
	if !step.IsUint64() {
		return 0
	}
	return step.Uint64()
}

// Steps is the amount by which the IDs of a service's events rise.
type Steps uint64

const (
	// StepsUnknown: too few were seen, or they rise by different amounts.
	StepsUnknown Steps = 0
	// StepsOfOne: each follows the one before.
	StepsOfOne Steps = 1
)

const (
	// minSteps is the number of equal steps after which the next one is expected to be as large.
	minSteps = 32
	// maxOtherShare is the share of other steps up to which these count as faults of servers.
	maxOtherShare = 0.01
	// maxCounted bounds what is counted: beyond, older steps count half.
	maxCounted = 4096
)

// countedSizes is the number of sizes of steps that are told apart.
const countedSizes = 4

// StepCounter learns the steps of a service's IDs within runs of its servers. The zero value has seen none.
type StepCounter struct {
	// sizes counts the first sizes that were seen, and others the steps of any other one.
	sizes  [countedSizes]sizeCount
	others int
}

type sizeCount struct {
	size  uint64
	count int
}

// Record records the step between two successive events of one run.
func (c *StepCounter) Record(lastID, id string) {
	if step := stepBetween(lastID, id); step > 0 {
		c.add(sizeCount{step, 1})
	}
}

// Add adds what another counter has seen later.
func (c *StepCounter) Add(later StepCounter) {
	if c.total() > maxCounted {
		c.halve()
	}
	for _, counted := range later.sizes {
		c.add(counted)
	}
	c.others += later.others
}

// halve makes room for what comes: a size that is no longer seen gives its place to another one.
func (c *StepCounter) halve() {
	var halved StepCounter
	for _, counted := range c.sizes {
		if counted.count > 1 {
			halved.add(sizeCount{counted.size, counted.count / 2})
		}
	}
	halved.others = c.others / 2
	*c = halved
}

func (c *StepCounter) total() int {
	total := c.others
	for _, counted := range c.sizes {
		total += counted.count
	}
	return total
}

func (c *StepCounter) add(counted sizeCount) {
	if counted.count == 0 {
		return
	}
	for i, known := range c.sizes {
		if known.count == 0 || known.size == counted.size {
			c.sizes[i] = sizeCount{counted.size, known.count + counted.count}
			return
		}
	}
	c.others += counted.count
}

// Steps is what the counter has learned.
func (c *StepCounter) Steps() Steps {
	most, total := sizeCount{}, c.total()
	for _, counted := range c.sizes {
		if counted.count > most.count {
			most = counted
		}
	}
	if most.count < minSteps || float64(total-most.count) > maxOtherShare*float64(most.count) {
		return StepsUnknown
	}
	return Steps(most.size)
}
