package attempt

import "time"

// handleChunk accepts a chunk only if its request, attempt and sequence number match: late, crossed and
// duplicated chunks are discarded and counted, and a gap ends the connection so that the missing tokens
// are requested again. A run that repeats a token differently is not the one that the caller has the
// beginning of, and is left for another back end.
func (c *Core) handleChunk(now time.Time, chunk *Chunk) {
	c.settleHedge(chunk)
	if c.options.Defects.NoSequenceCheck {
		c.acceptChunk(now, chunk)
		return
	}
	switch {
	case chunk.RequestID != c.options.RequestID:
		c.dropped.Crossed++
	case c.phase != phaseConnected || chunk.Connection != c.connection || chunk.Attempt != c.attempt:
		c.dropped.Late++
	case c.differs(chunk):
		c.resumeOrRetry(now, Failure{Evidence: MaybeSent, NoResume: true, Detail: "a part of the answer came again and differs"})
	case chunk.Sequence < c.nextSequence:
		c.dropped.Duplicated++
	case chunk.Sequence > c.nextSequence:
		c.resumeOrRetry(now, Failure{Evidence: MaybeSent, Detail: "a part of the answer is missing"})
	default:
		c.acceptChunk(now, chunk)
	}
}

// differs reports whether the chunk has another token, or an end, in place of one that the caller has. Nothing
// differs once the answer is whole, nor can tokens that are not kept be compared.
func (c *Core) differs(chunk *Chunk) bool {
	if !c.options.Resumable || c.finishReason != "" || chunk.Sequence >= c.nextSequence {
		return false
	}
	if chunk.Sequence < 0 || chunk.FinishReason != "" {
		return true
	}
	return chunk.Sequence < len(c.keptTokens) && c.keptTokens[chunk.Sequence] != chunk.Text
}

// acceptChunk delivers a token, or remembers the finish reason.
func (c *Core) acceptChunk(now time.Time, chunk *Chunk) {
	if chunk.FinishReason != "" {
		c.finishReason = chunk.FinishReason
		return
	}
	if c.finishReason != "" {
		c.dropped.Duplicated++
		return
	}
	c.nextSequence++
	c.resumes = 0
	c.keepForContinuation(chunk.Text)
	c.wakeAt = now.Add(c.options.StallTimeout)
	c.deliverEffect.Text = chunk.Text
	c.emit(&c.deliverEffect)
}

// keepForContinuation keeps a delivered token, within MaxKeptBytes.
func (c *Core) keepForContinuation(text string) {
	if !c.options.Resumable {
		return
	}
	c.keptBytes += len(text)
	if c.keptBytes <= c.options.MaxKeptBytes {
		c.keptTokens = append(c.keptTokens, text)
	}
}

// handleEnded handles the end of a stream. Only the finish chunk, whose sequence number proves that no
// token is missing, completes the answer.
func (c *Core) handleEnded(now time.Time, ended Ended) {
	if c.handleHedgeFailure(Failure{Connection: ended.Connection, Evidence: MaybeSent, Detail: "the answer ended before it was whole"}) {
		return
	}
	if ended.Connection != c.connection || c.phase != phaseConnected {
		return
	}
	if c.finishReason != "" {
		c.finishOK(c.finishReason)
		return
	}
	if c.options.Defects.PassTruncated {
		c.finishOK("stop")
		return
	}
	c.resumeOrRetry(now, Failure{Evidence: MaybeSent, Detail: "the answer ended before it was whole"})
}

func (c *Core) handleAnswered(answered Answered) {
	if answered.Connection == c.connection && c.phase == phaseConnected {
		c.finishOK("")
	}
}
