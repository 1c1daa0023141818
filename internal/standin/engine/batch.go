package engine

import (
	"slices"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// prefillChunkTokens is the maximum number of prompt tokens that one sequence
// prefills per iteration.
const prefillChunkTokens = 2048

// startIteration admits waiting requests and starts an iteration, unless one is
// already running.
func (c *Core) startIteration(now time.Time) {
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

// admit moves waiting requests into the batch while their KV cache fits. An
// empty batch always admits the first one, so that no request waits forever.
func (c *Core) admit(now time.Time) {
	for len(c.waiting) > 0 && len(c.running) < c.options.MaxRunning {
		next := c.waiting[0]
		if len(c.running) > 0 && c.usedKVBytes()+c.kvBytesNeeded(next) > c.options.KVReserveBytes {
			return
		}
		c.waiting = slices.Delete(c.waiting, 0, 1)
		c.startSequence(now, next)
	}
}

func (c *Core) startSequence(now time.Time, next *sequence) {
	request := next.request
	next.prefillLeft = request.PromptTokens + request.From
	cached := c.prefixes.access(now, request)
	next.prefillLeft = max(next.prefillLeft-cached, 0)
	next.executionIndex = len(c.book.Executions)
	c.book.Executions = append(c.book.Executions, books.Execution{
		RequestID: request.ID,
		Attempt:   request.Attempt,
		Key:       request.Key,
		Model:     request.Model,
		Started:   now,
	})
	next.state = sequenceRunning
	c.running = append(c.running, next)
	c.findModel(request.Model).startRunning(now)
}

// kvBytesNeeded returns the size of a request's KV cache once it has generated
// all its tokens.
func (c *Core) kvBytesNeeded(sequence *sequence) int64 {
	return int64(sequence.request.PromptTokens+sequence.total) * c.options.KVBytesPerToken
}

func (c *Core) usedKVBytes() int64 {
	var used int64
	for _, sequence := range c.running {
		used += c.kvBytesNeeded(sequence)
	}
	return used
}

// endIteration advances every running request by one prefill chunk or one token
// and starts the next iteration.
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
			c.emitToken(sequence)
		}
		if sequence.generated >= sequence.total {
			c.finishSequence(now, sequence)
		}
	}
	c.meter.add(now, produced)
	c.startIteration(now)
	c.recordReport(now)
}

func (c *Core) emitToken(sequence *sequence) {
	index := sequence.generated
	sequence.generated++
	c.book.Executions[sequence.executionIndex].Tokens++
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

// finishSequence ends a request that has generated all its tokens.
func (c *Core) finishSequence(now time.Time, sequence *sequence) {
	c.stopSequence(now, sequence)
	sequence.state = sequenceDone
	c.deliver(sequence, c.finishChunk(sequence))
	c.expireAt(sequence, now.Add(c.options.Timing.KeepStreams))
}

func (c *Core) finishChunk(sequence *sequence) backend.Chunk {
	return backend.Chunk{
		RequestID: sequence.request.ID,
		Attempt:   sequence.request.Attempt,
		Sequence:  sequence.total,
		Finish:    sequence.finish,
	}
}

// stopSequence removes a request from the batch or the waiting queue.
func (c *Core) stopSequence(now time.Time, stopped *sequence) {
	model := c.findModel(stopped.request.Model)
	isStopped := func(sequence *sequence) bool { return sequence == stopped }
	switch stopped.state {
	case sequenceRunning:
		c.running = slices.DeleteFunc(c.running, isStopped)
		c.book.Executions[stopped.executionIndex].Ended = now
		model.stopRunning(now, &c.book.Residencies[model.residencyIndex])
	case sequenceWaiting:
		c.waiting = slices.DeleteFunc(c.waiting, isStopped)
	case sequenceDone:
		return
	}
	model.accepted--
	c.unloadWhenIdle(now, model)
}

// tokenMeter measures the token rate over consecutive windows of at least
// meterWindow.
type tokenMeter struct {
	since  time.Time
	tokens int
	rate   float64
}

const meterWindow = 500 * time.Millisecond

func (t *tokenMeter) add(now time.Time, tokens int) {
	if t.since.IsZero() || now.Sub(t.since) > 4*meterWindow {
		*t = tokenMeter{since: now, tokens: 0, rate: t.rate}
	}
	t.tokens += tokens
	if span := now.Sub(t.since); span >= meterWindow {
		*t = tokenMeter{since: now, rate: float64(t.tokens) / span.Seconds()}
	}
}

const (
	reportInterval = 50 * time.Millisecond
	maxKeptReports = 64
)

// recordReport records a load report, which readers see after the report lag.
func (c *Core) recordReport(now time.Time) {
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
		KVUsedBytes:     c.usedKVBytes(),
	}
	if c.Idle() {
		report.TokensPerSecond = 0
	}
	for _, sequence := range slices.Concat(c.running, c.waiting) {
		report.QueuedTokens += int64(sequence.prefillLeft + sequence.total - sequence.generated)
	}
	c.reports = append(c.reports, report)
	if len(c.reports) > maxKeptReports {
		c.reports = slices.Delete(c.reports, 0, len(c.reports)-maxKeptReports)
	}
}

// report returns the newest report that is at least as old as the lag.
func (c *Core) report(now time.Time) fleet.LoadReport {
	asOf := now.Add(-c.options.Timing.ReportLag)
	for index := len(c.reports) - 1; index >= 0; index-- {
		if c.reports[index].AsOf.After(asOf) {
			continue
		}
		report := c.reports[index]
		if index == len(c.reports)-1 && !c.faults.FreezeReport {
			report.AsOf = asOf
		}
		return report
	}
	return fleet.LoadReport{AsOf: asOf}
}
