package claim

import (
	"bytes"
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// record is a keeper's state of one key.
type record struct {
	key         string
	slot        int
	fingerprint []byte
	// holders are the attempts that were granted and have not ended. There is
	// more than one only if records of several older keepers were merged.
	holders []string
	// released are attempts that were given up: a delayed request for one of
	// them must not be granted.
	released []string
	node     fleet.NodeName
	// attemptEndsAt is when a holder's outcome counts as unknown.
	attemptEndsAt time.Time
	expiresAt     time.Time
	done          bool
	answer        *Answer
	outcomeLost   bool
}

// vote returns the answer to an attempt for a key that has a record.
func (r *record) vote(now time.Time, attempt string, fingerprint []byte) GrantReply {
	switch {
	case r.isUnclaimed():
		// An unclaimed record is asked only about a released attempt.
		return GrantReply{Vote: VoteInProgress}
	case !r.matches(fingerprint):
		return GrantReply{Vote: VoteMismatch}
	case r.done:
		return GrantReply{Vote: VoteDone, Answer: r.answer}
	case r.isOutcomeUnknown(now):
		return GrantReply{Vote: VoteUnknown}
	case len(r.holders) == 1 && r.holders[0] == attempt:
		return GrantReply{Vote: VoteGranted}
	default:
		return GrantReply{Vote: VoteInProgress, Holder: r.firstOtherHolder(attempt)}
	}
}

func (r *record) firstOtherHolder(attempt string) string {
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

func (r *record) isUnclaimed() bool {
	return !r.done && len(r.holders) == 0
}

func (r *record) isOutcomeUnknown(now time.Time) bool {
	return !r.done && len(r.holders) > 0 && (r.outcomeLost || now.After(r.attemptEndsAt))
}

// release removes an attempt from the holders and remembers it as released.
func (r *record) release(attempt string) {
	r.holders = slices.DeleteFunc(r.holders, func(holder string) bool { return holder == attempt })
	if slices.Contains(r.released, attempt) {
		return
	}
	r.released = append(r.released, attempt)
	if extra := len(r.released) - maxReleasedAttempts; extra > 0 {
		r.released = slices.Delete(r.released, 0, extra)
	}
}

// merge adds another keeper's record of the same key. Every attempt that may
// have obtained a majority stays a holder.
func (r *record) merge(now time.Time, other TransferredRecord) {
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
	r.expiresAt = later(r.expiresAt, now.Add(other.ExpiresIn))
	r.attemptEndsAt = later(r.attemptEndsAt, now.Add(other.AttemptEndsIn))
}

func (r *record) transferred(now time.Time) TransferredRecord {
	return TransferredRecord{
		Key:           r.key,
		Fingerprint:   r.fingerprint,
		Holders:       slices.Clone(r.holders),
		Released:      slices.Clone(r.released),
		Node:          r.node,
		ExpiresIn:     r.expiresAt.Sub(now),
		AttemptEndsIn: max(0, r.attemptEndsAt.Sub(now)),
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
