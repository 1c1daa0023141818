package engine

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// prefillChunkTokens bounds the prompt tokens of one sequence in an iteration.
const prefillChunkTokens = 2048

// startBatch admits what waits and begins an iteration, unless one runs.
func (c *Core) startBatch(now time.Time) {
	if !c.iterationEnd.IsZero() {
		return
	}
	c.admit(now)
	if len(c.running) == 0 {
		return
	}
	timing := c.options.Timing
	length := timing.IterationBase + time.Duration(len(c.running))*timing.IterationPerSequence
	for _, sequence := range c.running {
		length += time.Duration(min(sequence.prefillLeft, prefillChunkTokens)) * timing.IterationPerPrefillToken
	}
	if c.faults.SlowFactor > 1 {
		length = time.Duration(float64(length) * c.faults.SlowFactor)
	}
	c.iterationEnd = now.Add(max(length, time.Microsecond))
}

// admit moves waiting requests into the batch while their KV cache fits. The
// first always enters an empty batch, so that none waits for ever.
func (c *Core) admit(now time.Time) {
	for len(c.waiting) > 0 && len(c.running) < c.options.MaxRunning {
		next := c.waiting[0]
		if len(c.running) > 0 && c.kvBytes()+c.kvNeed(next) > c.options.KVReserveBytes {
			return
		}
		c.waiting = slices.Delete(c.waiting, 0, 1)
		c.begin(now, next)
	}
}

func (c *Core) begin(now time.Time, next *sequence) {
	request := next.request
	next.prefillLeft = request.PromptTokens + request.From
	cached := c.prefixes.use(now, request)
	next.prefillLeft = max(next.prefillLeft-cached, 0)
	next.execution = len(c.book.Executions)
	c.book.Executions = append(c.book.Executions, books.Execution{
		RequestID: request.ID,
		Attempt:   request.Attempt,
		Key:       request.Key,
		Model:     request.Model,
		Started:   now,
	})
	next.state = sequenceRunning
	c.running = append(c.running, next)
	c.find(request.Model).startRunning(now)
}

// kvNeed is the KV cache that a request holds at its end.
func (c *Core) kvNeed(sequence *sequence) int64 {
	return int64(sequence.request.PromptTokens+sequence.total) * c.options.KVBytesPerToken
}

func (c *Core) kvBytes() int64 {
	var used int64
	for _, sequence := range c.running {
		used += c.kvNeed(sequence)
	}
	return used
}

func (c *Core) endIteration(now time.Time) {
	c.iterationEnd = time.Time{}
	produced := 0
	for _, sequence := range slices.Clone(c.running) {
		if sequence.prefillLeft > prefillChunkTokens {
			sequence.prefillLeft -= prefillChunkTokens
			continue
		}
		sequence.prefillLeft = 0
		if sequence.generated < sequence.total {
			produced++
			c.produce(sequence)
		}
		if sequence.generated >= sequence.total {
			c.finish(now, sequence)
		}
	}
	c.meter.add(now, produced)
	c.startBatch(now)
	c.noteReport(now)
}

func (c *Core) produce(sequence *sequence) {
	index := sequence.generated
	sequence.generated++
	c.book.Executions[sequence.execution].Tokens++
	c.deliver(sequence, c.tokenChunk(sequence, index))
}

func (c *Core) tokenChunk(sequence *sequence, index int) backend.Chunk {
	request := sequence.request
	return backend.Chunk{
		RequestID: request.ID,
		Attempt:   request.Attempt,
		Sequence:  index,
		Text:      TokenText(request.PromptHash, request.Model, request.Adapter, index),
	}
}

// finish ends a request whose tokens are all there.
func (c *Core) finish(now time.Time, sequence *sequence) {
	c.stop(now, sequence)
	sequence.state = sequenceDone
	c.deliver(sequence, c.finishChunk(sequence))
	c.keepUntil(sequence, now.Add(c.options.Timing.KeepStreams))
}

func (c *Core) finishChunk(sequence *sequence) backend.Chunk {
	return backend.Chunk{
		RequestID: sequence.request.ID,
		Attempt:   sequence.request.Attempt,
		Sequence:  sequence.total,
		Finish:    sequence.finish,
	}
}

// stop takes a request out of the batch or the line behind it.
func (c *Core) stop(now time.Time, stopped *sequence) {
	model := c.find(stopped.request.Model)
	isStopped := func(sequence *sequence) bool { return sequence == stopped }
	switch stopped.state {
	case sequenceRunning:
		c.running = slices.DeleteFunc(c.running, isStopped)
		c.book.Executions[stopped.execution].Ended = now
		model.stopRunning(now, &c.book.Residencies[model.residency])
	case sequenceWaiting:
		c.waiting = slices.DeleteFunc(c.waiting, isStopped)
	case sequenceDone:
		return
	}
	model.accepted--
	c.releaseWhenIdle(now, model)
}

// tokenMeter counts tokens over a sliding span of about a second.
type tokenMeter struct {
	since  time.Time
	tokens int
	rate   float64
}

const meterSpan = 500 * time.Millisecond

func (t *tokenMeter) add(now time.Time, tokens int) {
	if t.since.IsZero() || now.Sub(t.since) > 4*meterSpan {
		*t = tokenMeter{since: now, tokens: 0, rate: t.rate}
	}
	t.tokens += tokens
	if span := now.Sub(t.since); span >= meterSpan {
		*t = tokenMeter{since: now, rate: float64(t.tokens) / span.Seconds()}
	}
}

const (
	reportInterval = 50 * time.Millisecond
	keptReports    = 64
)

// noteReport records what a later reader is shown after the report's lag.
func (c *Core) noteReport(now time.Time) {
	last := len(c.reports) - 1
	if last >= 0 && now.Sub(c.reports[last].AsOf) < reportInterval && !c.Idle() {
		return
	}
	if c.faults.FreezeReport {
		return
	}
	report := fleet.LoadReport{
		AsOf:            now,
		Running:         len(c.running),
		Waiting:         len(c.waiting),
		TokensPerSecond: c.meter.rate,
		KVUsedBytes:     c.kvBytes(),
	}
	if c.Idle() {
		report.TokensPerSecond = 0
	}
	for _, sequence := range slices.Concat(c.running, c.waiting) {
		report.QueuedTokens += int64(sequence.prefillLeft + sequence.total - sequence.generated)
	}
	c.reports = append(c.reports, report)
	if len(c.reports) > keptReports {
		c.reports = slices.Delete(c.reports, 0, len(c.reports)-keptReports)
	}
}

// report is the newest one that is at least as old as the lag.
func (c *Core) report(now time.Time) fleet.LoadReport {
	shown := now.Add(-c.options.Timing.ReportLag)
	for index := len(c.reports) - 1; index >= 0; index-- {
		if c.reports[index].AsOf.After(shown) {
			continue
		}
		report := c.reports[index]
		if index == len(c.reports)-1 && !c.faults.FreezeReport {
			report.AsOf = shown
		}
		return report
	}
	return fleet.LoadReport{AsOf: shown}
}
