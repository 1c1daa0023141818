package engine

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

type sequenceState int

const (
	sequenceWaiting sequenceState = iota
	sequenceRunning
	sequenceDone
)

// sequence is one request and its answer stream.
type sequence struct {
	request Request
	state   sequenceState
	// total is the number of tokens of the whole answer; generated counts the
	// tokens so far, including those that an earlier attempt delivered.
	total          int
	generated      int
	finish         string
	prefillLeft    int
	executionIndex int
	// reader is the call that receives the chunks, or zero if there is none.
	reader CallID
	// wasBroken is true once a fault has broken or truncated the stream.
	wasBroken bool
}

type streamExpiry struct {
	at       time.Time
	sequence *sequence
}

func (c *Core) submit(now time.Time, message Submit) {
	request := message.Request
	if reason := c.refusalReason(request); reason != "" {
		if reason == RefusedLeaving {
			c.book.TurnedAway = append(c.book.TurnedAway, books.TurnedAway{RequestID: request.ID, At: now})
		}
		c.emit(Refused{Call: message.Call, Reason: reason})
		return
	}
	c.cancel(now, c.requests[request.ID])
	total, finish := AnswerLength(request.MaxTokens)
	next := &sequence{
		request:   request,
		total:     total,
		generated: min(max(request.From, 0), total),
		finish:    finish,
		reader:    message.Call,
	}
	next.prefillLeft = request.PromptTokens + request.From
	c.requests[request.ID] = next
	c.findModel(request.Model).accepted++
	c.enqueue(next)
	c.emit(Accepted{Call: message.Call})
	c.startIteration(now)
	c.recordReport(now)
}

// refusalReason returns why a request cannot be accepted, or "" if it can.
func (c *Core) refusalReason(request Request) RefusalReason {
	if previous := c.requests[request.ID]; previous != nil {
		if request.Attempt < previous.request.Attempt {
			return RefusedSuperseded
		}
		if request.Attempt == previous.request.Attempt {
			return RefusedDuplicate
		}
	}
	model := c.findModel(request.Model)
	switch {
	case c.leaving:
		return RefusedLeaving
	case model == nil || !model.serves(request.Adapter):
		return RefusedNotReady
	case len(c.waiting) >= c.options.MaxWaiting:
		return RefusedOverfull
	}
	return ""
}

// enqueue inserts the request behind the waiting ones of equal or higher
// priority.
func (c *Core) enqueue(next *sequence) {
	index := slices.IndexFunc(c.waiting, func(other *sequence) bool {
		return other.request.Priority < next.request.Priority
	})
	if index < 0 {
		index = len(c.waiting)
	}
	c.waiting = slices.Insert(c.waiting, index, next)
}

// findAttempt returns the request with the ID if its attempt is the wanted one;
// 0 matches any attempt.
func (c *Core) findAttempt(id fleet.RequestID, wanted int) *sequence {
	found := c.requests[id]
	if found != nil && wanted != 0 && found.request.Attempt != wanted {
		return nil
	}
	return found
}

func (c *Core) resume(now time.Time, message Resume) {
	resumed := c.findAttempt(message.Request, message.Attempt)
	if resumed == nil || message.From < 0 {
		c.emit(Refused{Call: message.Call, Reason: RefusedUnknown})
		return
	}
	if resumed.reader != 0 {
		c.emit(Broken{Call: resumed.reader})
	}
	resumed.reader = message.Call
	c.emit(Accepted{Call: message.Call})
	for index := message.From; index < resumed.generated; index++ {
		c.emit(Emit{Call: message.Call, Chunk: c.tokenChunk(resumed, index)})
	}
	if resumed.state == sequenceDone {
		c.emit(Emit{Call: message.Call, Chunk: c.finishChunk(resumed)})
	}
	c.startIteration(now)
}

// deliver sends a chunk to the reader, subject to the active faults.
func (c *Core) deliver(sequence *sequence, chunk backend.Chunk) {
	if sequence.reader == 0 {
		return
	}
	truncated := c.exceedsLimit(sequence, c.faults.TruncateAfterTokens)
	if truncated || c.exceedsLimit(sequence, c.faults.BreakAfterTokens) {
		sequence.wasBroken = true
		c.emit(Broken{Call: sequence.reader, Clean: truncated})
		sequence.reader = 0
		return
	}
	c.emit(Emit{Call: sequence.reader, Chunk: chunk})
	c.emitFaultChunks(sequence, chunk)
	if chunk.Finish != "" {
		sequence.reader = 0
	}
}

// exceedsLimit reports whether a stream that no fault has broken yet has
// generated more tokens than limit in this attempt; 0 means no limit.
func (c *Core) exceedsLimit(sequence *sequence, limit int) bool {
	return limit > 0 && !sequence.wasBroken && sequence.generated-sequence.request.From > limit
}

// emitFaultChunks sends the extra chunks that the active faults add after a chunk.
func (c *Core) emitFaultChunks(sequence *sequence, chunk backend.Chunk) {
	if chunk.Finish != "" {
		return
	}
	if c.faults.DuplicateChunks {
		c.emit(Emit{Call: sequence.reader, Chunk: chunk})
	}
	if c.faults.LateChunks && chunk.Sequence > sequence.request.From {
		c.emit(Emit{Call: sequence.reader, Chunk: c.tokenChunk(sequence, chunk.Sequence-1)})
	}
	if c.faults.CrossChunks {
		crossed := chunk
		crossed.RequestID += "-crossed"
		crossed.Text = " crossed"
		c.emit(Emit{Call: sequence.reader, Chunk: crossed})
	}
}

// cancel ends a request immediately and removes it. It returns false if the
// request was not running or waiting.
func (c *Core) cancel(now time.Time, cancelled *sequence) bool {
	if cancelled == nil {
		return false
	}
	wasActive := cancelled.state != sequenceDone
	if cancelled.state == sequenceRunning {
		c.book.Executions[cancelled.executionIndex].Cancelled = true
	}
	c.stopSequence(now, cancelled)
	if cancelled.reader != 0 {
		c.emit(Broken{Call: cancelled.reader})
	}
	c.removeRequest(cancelled)
	if wasActive {
		c.recordReport(now)
	}
	return wasActive
}

func (c *Core) detach(now time.Time, message Detach) {
	for _, id := range c.sortedRequests() {
		if candidate := c.requests[id]; candidate.reader == message.Call {
			candidate.reader = 0
			c.cancel(now, candidate)
			return
		}
	}
}

func (c *Core) removeRequest(removed *sequence) {
	if c.requests[removed.request.ID] == removed {
		delete(c.requests, removed.request.ID)
	}
	c.expiries = slices.DeleteFunc(c.expiries, func(expiry streamExpiry) bool {
		return expiry.sequence == removed
	})
}

func (c *Core) expireAt(kept *sequence, at time.Time) {
	c.expiries = append(c.expiries, streamExpiry{at: at, sequence: kept})
}

func (c *Core) expireStreams(now time.Time) {
	for len(c.expiries) > 0 && isDue(c.expiries[0].at, now) {
		c.removeRequest(c.expiries[0].sequence)
	}
}

func (c *Core) sortedRequests() []fleet.RequestID {
	ids := make([]fleet.RequestID, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *Core) sortedReaders() []CallID {
	var readers []CallID
	for _, id := range c.sortedRequests() {
		if reader := c.requests[id].reader; reader != 0 {
			readers = append(readers, reader)
		}
	}
	return readers
}
