package claim

import (
	"context"
	"time"
)

// Verdict is what a majority of keepers said of a key.
type Verdict int

// The verdicts. Only Granted allows the call to be sent.
const (
	// NoMajority means that too few keepers vouched; nothing was sent.
	NoMajority Verdict = iota
	// Granted means that this attempt is the only one.
	Granted
	// InProgress means that another attempt holds the key.
	InProgress
	// Done means that the call ran; the answer is the stored one.
	Done
	// Mismatch means that the key was used with another request.
	Mismatch
	// Unknown means that an attempt was made and its outcome is not known.
	Unknown
)

// Answer is a stored answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted is set where the body was too large to keep.
	BodyOmitted bool
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Ran means that the back end answered.
	Ran Outcome = iota + 1
	// NotRun is proved: never sent, or refused before running.
	NotRun
	// Uncertain is everything else.
	Uncertain
)

// Request is a call that wants its key.
type Request struct {
	Key string
	// Fingerprint hashes method, path and body.
	Fingerprint []byte
	// Window is how long the key is remembered.
	Window time.Duration
}

// Decision answers an Acquire.
type Decision struct {
	Verdict Verdict
	// Attempt names the granted attempt, for Complete.
	Attempt string
	// Answer is set for Done.
	Answer *Answer
	// RetryAfter is when to ask again, for NoMajority and InProgress.
	RetryAfter time.Duration
}

// Guard is what the gateway needs of the keepers.
type Guard interface {
	// Acquire asks the key's keepers; it returns by the context's deadline.
	Acquire(ctx context.Context, request Request) Decision
	// Complete tells the keepers how the granted attempt ended.
	Complete(ctx context.Context, key string, attempt string, outcome Outcome, answer *Answer)
}
