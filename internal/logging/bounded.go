package logging

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriterOptions configures a BoundedWriter.
type BoundedWriterOptions struct {
	Out io.Writer
	// BufferedLines is the number of lines that can wait to be written; further
	// lines are dropped.
	BufferedLines int
	// EventLinesPerSecond limits the lines per second of each event.
	EventLinesPerSecond int
	// UnlimitedEvents are exempt from EventLinesPerSecond; their lines are
	// dropped only if the buffer is full.
	UnlimitedEvents map[string]bool
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Defaults of BoundedWriterOptions.
const (
	DefaultBufferedLines       = 512
	DefaultEventLinesPerSecond = 100
)

// BoundedWriter is a writer of log lines that never blocks. A goroutine writes the
// lines from a bounded buffer; lines beyond the limit of their event or of the
// buffer are dropped and counted, and a log line reports how many.
type BoundedWriter struct {
	options BoundedWriterOptions
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	mu             sync.Mutex
	currentSecond  int64
	lineCounts     map[string]int
	droppedByEvent map[string]int
	closed         bool
}

// NewBoundedWriter returns a BoundedWriter and starts its goroutine; Close stops
// it.
func NewBoundedWriter(options BoundedWriterOptions) *BoundedWriter {
	if options.BufferedLines == 0 {
		options.BufferedLines = DefaultBufferedLines
	}
	if options.EventLinesPerSecond == 0 {
		options.EventLinesPerSecond = DefaultEventLinesPerSecond
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	b := &BoundedWriter{
		options:        options,
		lines:          make(chan []byte, options.BufferedLines),
		done:           make(chan struct{}),
		lineCounts:     make(map[string]int),
		droppedByEvent: make(map[string]int),
	}
	go b.run()
	return b
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	for line := range b.lines {
		_, _ = b.options.Out.Write(line)
	}
}

// Dropped returns the number of lines dropped so far.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Write accepts one line. It never blocks and never returns an error.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	event := eventName(line)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return len(line), nil
	}
	b.startSecond()
	b.lineCounts[event]++
	if b.lineCounts[event] > b.options.EventLinesPerSecond && !b.options.UnlimitedEvents[event] {
		b.recordDrop(event)
		return len(line), nil
	}
	if !b.enqueue(bytes.Clone(line)) {
		b.recordDrop(event)
	}
	return len(line), nil
}

// startSecond resets the limits when a new second starts, and enqueues a line for
// each event of which lines were dropped before. A count that cannot be enqueued
// is kept for the next second.
func (b *BoundedWriter) startSecond() {
	second := b.options.Now().Unix()
	if second == b.currentSecond {
		return
	}
	b.currentSecond = second
	clear(b.lineCounts)
	for event, count := range b.droppedByEvent {
		if b.enqueue([]byte("level=warn event=log_lines_dropped of=" + event + " count=" + strconv.Itoa(count) + "\n")) {
			delete(b.droppedByEvent, event)
		}
	}
}

func (b *BoundedWriter) enqueue(line []byte) bool {
	select {
	case b.lines <- line:
		return true
	default:
		return false
	}
}

func (b *BoundedWriter) recordDrop(event string) {
	b.droppedByEvent[event]++
	b.dropped.Add(1)
}

// Close writes the buffered lines and stops the goroutine. Lines written after
// Close are discarded.
func (b *BoundedWriter) Close() {
	b.mu.Lock()
	if !b.closed {
		b.closed = true
		close(b.lines)
	}
	b.mu.Unlock()
	<-b.done
}

var eventKey = []byte("event=")

// eventName returns the event of a line, or "" if it has none.
func eventName(line []byte) string {
	start := bytes.Index(line, eventKey)
	if start < 0 {
		return ""
	}
	rest := line[start+len(eventKey):]
	if end := bytes.IndexAny(rest, " \n"); end >= 0 {
		rest = rest[:end]
	}
	return string(rest)
}
