package eventstream

import (
	"errors"
	"hash/maphash"
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

const (
	// maxUnidentified bounds the events behind the last ID that are remembered.
	maxUnidentified = 1024
	// maxNames bounds the IDs that are remembered since they have no order. A run that starts again writes the
	// first ones again.
	maxNames = 1024
)

var hashSeed = maphash.MakeSeed()

// Order decides which event may be passed on to a caller next, whichever runs the events come from. The zero
// value is that of a caller that has no event. It is not safe for concurrent use.
type Order struct {
	lastID string
	// names are hashes of the IDs so far that could not be compared with the one before.
	names map[uint64]bool
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
	if !o.rises(event.ID) {
		return false, ErrNotRising
	}
	if o.isAtJoint && steps != StepsUnknown && stepBetween(o.lastID, event.ID) > uint64(steps) {
		return false, ErrGap
	}
	o.lastID, o.unidentified, o.hasForgotten, o.isAtJoint = event.ID, o.unidentified[:0], false, false
	return true, nil
}

// rises reports whether the ID may follow the last one. IDs that have no order may not come twice.
func (o *Order) rises(id string) bool {
	if order, ok := compareIDs(o.lastID, id); ok {
		return order < 0
	}
	name := maphash.String(hashSeed, id)
	if o.names[name] {
		return false
	}
	if len(o.names) < maxNames {
		if o.names == nil {
			o.names = make(map[uint64]bool)
		}
		o.names[name] = true
	}
	return true
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
