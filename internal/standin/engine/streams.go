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

// sequence is one request and the stream of its answer.
type sequence struct {
	request Request
	state   sequenceState
	// total counts the tokens of the whole answer, generated those that are
	// there, with those that an earlier attempt delivered.
	total       int
	generated   int
	finish      string
	prefillLeft int
	execution   int
	// reader takes the chunks; zero while there is none.
	reader CallID
	// wasBroken is set once a fault has broken the stream.
	wasBroken bool
}

type streamExpiry struct {
	at       time.Time
	sequence *sequence
}

func (c *Core) submit(now time.Time, message Submit) {
	request := message.Request
	if reason := c.refusal(request); reason != "" {
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
	c.find(request.Model).accepted++
	c.enqueue(next)
	c.emit(Accepted{Call: message.Call})
	c.startBatch(now)
	c.noteReport(now)
}

func (c *Core) refusal(request Request) RefusalReason {
	if former := c.requests[request.ID]; former != nil {
		if request.Attempt < former.request.Attempt {
			return RefusedSuperseded
		}
		if request.Attempt == former.request.Attempt {
			return RefusedDuplicate
		}
	}
	model := c.find(request.Model)
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

// enqueue puts the request behind those of its priority.
func (c *Core) enqueue(next *sequence) {
	index := slices.IndexFunc(c.waiting, func(other *sequence) bool {
		return other.request.Priority < next.request.Priority
	})
	if index < 0 {
		index = len(c.waiting)
	}
	c.waiting = slices.Insert(c.waiting, index, next)
}

// attempt returns the request if its attempt is the wanted one; 0 is any.
func (c *Core) attempt(id fleet.RequestID, wanted int) *sequence {
	found := c.requests[id]
	if found != nil && wanted != 0 && found.request.Attempt != wanted {
		return nil
	}
	return found
}

func (c *Core) resume(now time.Time, message Resume) {
	kept := c.attempt(message.Request, message.Attempt)
	if kept == nil || message.From < 0 {
		c.emit(Refused{Call: message.Call, Reason: RefusedUnknown})
		return
	}
	if kept.reader != 0 {
		c.emit(Broken{Call: kept.reader})
	}
	kept.reader = message.Call
	c.emit(Accepted{Call: message.Call})
	for index := message.From; index < kept.generated; index++ {
		c.emit(Emit{Call: message.Call, Chunk: c.tokenChunk(kept, index)})
	}
	if kept.state == sequenceDone {
		c.emit(Emit{Call: message.Call, Chunk: c.finishChunk(kept)})
	}
	c.startBatch(now)
}

// deliver hands a chunk to the reader, through the faults in force.
func (c *Core) deliver(sequence *sequence, chunk backend.Chunk) {
	if sequence.reader == 0 {
		return
	}
	truncated := c.passes(sequence, c.faults.TruncateAfterTokens)
	if truncated || c.passes(sequence, c.faults.BreakAfterTokens) {
		sequence.wasBroken = true
		c.emit(Broken{Call: sequence.reader, Clean: truncated})
		sequence.reader = 0
		return
	}
	c.emit(Emit{Call: sequence.reader, Chunk: chunk})
	c.deliverFaults(sequence, chunk)
	if chunk.Finish != "" {
		sequence.reader = 0
	}
}

// passes reports whether the stream, not yet broken, goes beyond the limit.
func (c *Core) passes(sequence *sequence, limit int) bool {
	return limit > 0 && !sequence.wasBroken && sequence.generated-sequence.request.From > limit
}

func (c *Core) deliverFaults(sequence *sequence, chunk backend.Chunk) {
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

// cancel ends a request at once and forgets it.
func (c *Core) cancel(now time.Time, cancelled *sequence) bool {
	if cancelled == nil {
		return false
	}
	wasActive := cancelled.state != sequenceDone
	if cancelled.state == sequenceRunning {
		c.book.Executions[cancelled.execution].Cancelled = true
	}
	c.stop(now, cancelled)
	if cancelled.reader != 0 {
		c.emit(Broken{Call: cancelled.reader})
	}
	c.forget(cancelled)
	if wasActive {
		c.noteReport(now)
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

func (c *Core) forget(forgotten *sequence) {
	if c.requests[forgotten.request.ID] == forgotten {
		delete(c.requests, forgotten.request.ID)
	}
	c.expiries = slices.DeleteFunc(c.expiries, func(expiry streamExpiry) bool {
		return expiry.sequence == forgotten
	})
}

func (c *Core) keepUntil(kept *sequence, at time.Time) {
	c.expiries = append(c.expiries, streamExpiry{at: at, sequence: kept})
}

func (c *Core) expireStreams(now time.Time) {
	for len(c.expiries) > 0 && due(c.expiries[0].at, now) {
		c.forget(c.expiries[0].sequence)
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
