package attempt

import "time"

// chunk takes a chunk only where request, attempt and sequence fit: a late,
// crossed or duplicated one is dropped and counted, and a gap breaks the
// connection so that what is missing is asked for again.
func (c *Core) chunk(now time.Time, chunk *Chunk) {
	c.settle(chunk)
	if c.options.Defects.NoSequenceCheck {
		c.take(now, chunk)
		return
	}
	switch {
	case chunk.RequestID != c.options.RequestID:
		c.dropped.Crossed++
	case c.phase != phaseConnected || chunk.Connection != c.connection || chunk.Attempt != c.attempt:
		c.dropped.Late++
	case chunk.Sequence < c.next:
		c.dropped.Duplicated++
	case chunk.Sequence > c.next:
		c.lost(now, Failure{Evidence: MaybeSent, Detail: "a part of the answer is missing"})
	default:
		c.take(now, chunk)
	}
}

func (c *Core) take(now time.Time, chunk *Chunk) {
	if chunk.FinishReason != "" {
		c.finish = chunk.FinishReason
		return
	}
	if c.finish != "" {
		c.dropped.Duplicated++
		return
	}
	c.next++
	c.resumes = 0
	c.keep(chunk.Text)
	c.wake = now.Add(c.options.StallTimeout)
	c.deliver.Text = chunk.Text
	c.emit(&c.deliver)
}

// keep remembers a delivered token for a continuation, within the bound.
func (c *Core) keep(text string) {
	if !c.options.Resumable {
		return
	}
	c.keptBytes += len(text)
	if c.keptBytes <= c.options.MaxKeptBytes {
		c.kept = append(c.kept, text)
	}
}

// ended takes the end of a stream. Only the finish chunk, whose sequence
// number proves that no token is missing, makes the answer whole.
func (c *Core) ended(now time.Time, ended Ended) {
	if c.lostSide(Failure{Connection: ended.Connection, Evidence: MaybeSent, Detail: "the answer ended before it was whole"}) {
		return
	}
	if ended.Connection != c.connection || c.phase != phaseConnected {
		return
	}
	if c.finish != "" {
		c.succeed(c.finish)
		return
	}
	if c.options.Defects.PassTruncated {
		c.succeed("stop")
		return
	}
	c.lost(now, Failure{Evidence: MaybeSent, Detail: "the answer ended before it was whole"})
}

func (c *Core) answered(answered Answered) {
	if answered.Connection == c.connection && c.phase == phaseConnected {
		c.succeed("")
	}
}
