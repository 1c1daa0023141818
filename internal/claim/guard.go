package claim

import (
	"context"
	"time"
)

// Verdict is the result of asking a key's keepers.
type Verdict int

// The verdicts. Only Granted allows the call to be sent.
const (
	// NoMajority means that too few keepers granted the attempt; nothing was sent.
	NoMajority Verdict = iota
	// Granted means that this attempt, and no other, may run the call.
	Granted
	// InProgress means that another attempt holds the key.
	InProgress
	// Done means that the call has run; the stored answer is returned.
	Done
	// Mismatch means that the key was used with a different request.
	Mismatch
	// Unknown means that an attempt was granted and its outcome is not known.
	Unknown
)

// Answer is the back end's answer as stored for a key.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// BodyOmitted is set if the body was too large to store.
	BodyOmitted bool
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	// Ran means that the back end answered.
	Ran Outcome = iota + 1
	// NotRun means that the call certainly did not run: it was never sent, or it was
	// refused before it ran.
	NotRun
	// Uncertain covers all other cases.
	Uncertain
)

// Request is a call with an idempotency key.
type Request struct {
	Key string
	// Fingerprint hashes method, path and body.
	Fingerprint []byte
	// Window is how long the key is remembered.
	Window time.Duration
}

// Decision is the result of Guard.Acquire.
type Decision struct {
	Verdict Verdict
	// Attempt names the granted attempt, for Complete.
	Attempt string
	// Answer is set for Done.
	Answer *Answer
	// RetryAfter is how long to wait before a retry, for NoMajority and InProgress.
	RetryAfter time.Duration
}

// Guard is the gateway's interface to the keepers.
type Guard interface {
	// Acquire asks the key's keepers; it returns by the context's deadline.
	Acquire(ctx context.Context, request Request) Decision
	// Complete reports to the keepers how the granted attempt ended.
	Complete(ctx context.Context, key string, attempt string, outcome Outcome, answer *Answer)
}
