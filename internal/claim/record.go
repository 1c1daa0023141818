package claim

import (
	"bytes"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// record is what a keeper holds of a key.
type record struct {
	key         string
	slot        int
	fingerprint []byte
	// holders are the attempts that were granted and have not ended. There is
	// more than one only where several older keepers' records were joined.
	holders []string
	// released are attempts that were given up: a late request for one of
	// them must not be granted.
	released []string
	node     fleet.NodeName
	// attemptEnds is when a holder's outcome becomes unknown.
	attemptEnds time.Time
	expires     time.Time
	done        bool
	answer      *Answer
	lost        bool
}

// vote answers an attempt for a key that has a record.
func (r *record) vote(now time.Time, attempt string, fingerprint []byte) GrantReply {
	switch {
	case r.free():
		// Only an attempt that was given up comes here.
		return GrantReply{Vote: VoteInProgress}
	case !r.matches(fingerprint):
		return GrantReply{Vote: VoteMismatch}
	case r.done:
		return GrantReply{Vote: VoteDone, Answer: r.answer}
	case r.unknown(now):
		return GrantReply{Vote: VoteUnknown}
	case len(r.holders) == 1 && r.holders[0] == attempt:
		return GrantReply{Vote: VoteGranted}
	default:
		return GrantReply{Vote: VoteInProgress, Holder: r.firstOther(attempt)}
	}
}

func (r *record) firstOther(attempt string) string {
	for _, holder := range r.holders {
		if holder != attempt {
			return holder
		}
	}
	return ""
}

func (r *record) matches(fingerprint []byte) bool {
	return len(r.fingerprint) == 0 || bytes.Equal(r.fingerprint, fingerprint)
}

func (r *record) free() bool {
	return !r.done && len(r.holders) == 0
}

func (r *record) unknown(now time.Time) bool {
	return !r.done && len(r.holders) > 0 && (r.lost || now.After(r.attemptEnds))
}

// release gives an attempt up.
func (r *record) release(attempt string) {
	r.holders = slices.DeleteFunc(r.holders, func(holder string) bool { return holder == attempt })
	if slices.Contains(r.released, attempt) {
		return
	}
	r.released = append(r.released, attempt)
	if extra := len(r.released) - maxReleased; extra > 0 {
		r.released = slices.Delete(r.released, 0, extra)
	}
}

// join takes what another keeper held of the same key. Every attempt that
// may have had a majority stays a holder.
func (r *record) join(now time.Time, other TransferredRecord) {
	for _, attempt := range other.Released {
		r.release(attempt)
	}
	if len(r.fingerprint) == 0 {
		r.fingerprint = other.Fingerprint
	}
	if other.Done && (!r.done || r.answer == nil) {
		r.done = true
		r.answer = other.Answer
		r.fingerprint = other.Fingerprint
	}
	for _, attempt := range other.Holders {
		if !slices.Contains(r.holders, attempt) && !slices.Contains(r.released, attempt) {
			r.holders = append(r.holders, attempt)
			r.node = other.Node
		}
	}
	slices.Sort(r.holders)
	r.expires = later(r.expires, now.Add(other.ExpiresIn))
	r.attemptEnds = later(r.attemptEnds, now.Add(other.AttemptEndsIn))
}

func (r *record) handed(now time.Time) TransferredRecord {
	return TransferredRecord{
		Key:           r.key,
		Fingerprint:   r.fingerprint,
		Holders:       slices.Clone(r.holders),
		Released:      slices.Clone(r.released),
		Node:          r.node,
		ExpiresIn:     r.expires.Sub(now),
		AttemptEndsIn: max(0, r.attemptEnds.Sub(now)),
		Done:          r.done,
		Answer:        r.answer,
	}
}

func later(first, second time.Time) time.Time {
	if second.After(first) {
		return second
	}
	return first
}
