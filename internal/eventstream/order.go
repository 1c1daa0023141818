package eventstream

import (
	"errors"
	"hash/maphash"
	"strconv"
)

// Errors of Order.Next.
var (
	// ErrNotRising means that an event's ID does not rise over that of the event before.
	ErrNotRising = errors.New("the ID of an event does not rise")
	// ErrGap means that a run that goes on with a stream does not begin just behind its last event.
	ErrGap = errors.New("a run that goes on leaves events out")
	// ErrOtherEvents means that a run that goes on writes other events in place of those that the caller has.
	ErrOtherEvents = errors.New("a run that goes on differs from the one before")
)

// maxUnidentified bounds the events behind the last ID that are remembered.
const maxUnidentified = 1024

var hashSeed = maphash.MakeSeed()

// Order decides which event may be passed on to a caller next, whichever runs the events come from. The zero
// value is that of a caller that has no event. It is not safe for concurrent use.
type Order struct {
	lastID string
	// unidentified are hashes of the events without an ID behind lastID, which a run that goes on there
	// writes once more.
	unidentified []uint64
	// hasForgotten is set if there were more than maxUnidentified.
	hasForgotten bool
	// isAtJoint is set until a run that goes on has brought an event that the caller does not have, and
	// repeated counts the others.
	isAtJoint bool
	repeated  int
}

// LastID is the ID of the last event that has one.
func (o *Order) LastID() string { return o.lastID }

// Resume begins a run that goes on behind the event with the ID. It may be called for the first run as well,
// for a caller that has the events up to there.
func (o *Order) Resume(lastID string) {
	if lastID != o.lastID {
		*o = Order{lastID: lastID}
	}
	o.isAtJoint, o.repeated = true, 0
}

// CanResume reports whether a run that goes on can be compared with what the caller has.
func (o *Order) CanResume() bool { return !o.hasForgotten }

// IsShort reports whether the current run, which has ended, has brought fewer events than the caller has.
func (o *Order) IsShort() bool { return o.isAtJoint && o.repeated < len(o.unidentified) }

// Next decides on the next event of the current run: whether it is passed on, or dropped as the caller has
// it. After an error nothing more of the run may be passed on. Steps tells whether the run must go on with
// the number that follows the last one.
func (o *Order) Next(event Event, text []byte, steps Steps) (pass bool, err error) {
	switch {
	case !event.HasFields:
		return true, nil
	case o.isAtJoint && o.repeated < len(o.unidentified):
		if event.ID != "" || o.unidentified[o.repeated] != hashFields(text) {
			return false, ErrOtherEvents
		}
		o.repeated++
		return false, nil
	case event.ID == "":
		o.rememberUnidentified(text)
		o.isAtJoint = false
		return true, nil
	}
	if !rises(o.lastID, event.ID) {
		return false, ErrNotRising
	}
	if o.isAtJoint && steps == StepsOfOne && stepBetween(o.lastID, event.ID) > 1 {
		return false, ErrGap
	}
	o.lastID, o.unidentified, o.hasForgotten, o.isAtJoint = event.ID, o.unidentified[:0], false, false
	return true, nil
}

func (o *Order) rememberUnidentified(text []byte) {
	if len(o.unidentified) == maxUnidentified {
		o.hasForgotten = true
		return
	}
	o.unidentified = append(o.unidentified, hashFields(text))
}

// hashFields hashes the fields of an event, whatever comments and line ends it has.
func hashFields(text []byte) uint64 {
	var hash maphash.Hash
	hash.SetSeed(hashSeed)
	for field := range fields(text) {
		_, _ = hash.Write(field)
		_ = hash.WriteByte('\n')
	}
	return hash.Sum64()
}

// Steps says by how much the IDs of a service's events rise.
type Steps int

const (
	// StepsUnknown: too few were seen, or they rise by different amounts.
	StepsUnknown Steps = iota
	// StepsOfOne: each follows the one before.
	StepsOfOne
)

const (
	// minSteps is the number of steps of one after which the next one is expected to be one as well.
	minSteps = 32
	// maxOtherShare is the share of other steps up to which these count as faults of servers.
	maxOtherShare = 0.01
	// maxCounted bounds what is counted: beyond, older steps count half.
	maxCounted = 4096
)

// StepCounter learns the steps of a service's IDs within runs of its servers. The zero value has seen none.
type StepCounter struct{ ones, others int }

// Record records the step between two successive events of one run.
func (c *StepCounter) Record(lastID, id string) {
	switch stepBetween(lastID, id) {
	case 0:
	case 1:
		c.ones++
	default:
		c.others++
	}
}

// Add adds what another counter has seen later.
func (c *StepCounter) Add(later StepCounter) {
	if c.ones+c.others > maxCounted {
		c.ones, c.others = c.ones/2, c.others/2
	}
	c.ones += later.ones
	c.others += later.others
}

// Steps is what the counter has learned.
func (c *StepCounter) Steps() Steps {
	if c.ones < minSteps || float64(c.others) > maxOtherShare*float64(c.ones) {
		return StepsUnknown
	}
	return StepsOfOne
}

// rises reports whether the ID may follow the last one. IDs that are no numbers can only be compared for
// equality.
func rises(lastID, id string) bool {
	last, lastErr := strconv.ParseUint(lastID, 10, 64)
	number, err := strconv.ParseUint(id, 10, 64)
	if lastErr != nil || err != nil {
		return id != lastID
	}
	return number > last
}

// stepBetween is the difference of two IDs; 0 if it does not rise or is not known.
func stepBetween(lastID, id string) uint64 {
	last, lastErr := strconv.ParseUint(lastID, 10, 64)
	number, err := strconv.ParseUint(id, 10, 64)
	if lastErr != nil || err != nil || number <= last {
		return 0
	}
	return number - last
}
