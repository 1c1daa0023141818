package logging

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// BoundedWriterOptions set up a Bounded writer.
type BoundedWriterOptions struct {
	Out io.Writer
	// BufferedLines is the number of lines that wait to be written; more are dropped.
	BufferedLines int
	// EventLinesPerSecond bounds the lines of one event in a second.
	EventLinesPerSecond int
	// UnlimitedEvents are events of which every line is kept while there is room.
	UnlimitedEvents map[string]bool
	// Now is the clock; nil is the time of day's.
	Now func() time.Time
}

// Defaults of BoundedOptions.
const (
	DefaultBufferedLines       = 512
	DefaultEventLinesPerSecond = 100
)

// BoundedWriter is a writer of log lines that never blocks: lines wait in a bounded
// buffer for a goroutine of their own, and those over the bound of their event
// or of the buffer are dropped and counted. A line says how many were.
type BoundedWriter struct {
	options BoundedWriterOptions
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	second int64
	counts map[string]int
	missed map[string]int
	closed bool
}

// NewBoundedWriter starts the writer's goroutine; Close ends it.
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
		options: options,
		lines:   make(chan []byte, options.BufferedLines),
		done:    make(chan struct{}),
		counts:  make(map[string]int),
		missed:  make(map[string]int),
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

// Dropped is the number of lines dropped so far.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Write takes one line. It never blocks and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	event := eventOf(line)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return len(line), nil
	}
	b.turn()
	b.counts[event]++
	if b.counts[event] > b.options.EventLinesPerSecond && !b.options.UnlimitedEvents[event] {
		b.miss(event)
		return len(line), nil
	}
	if !b.offer(bytes.Clone(line)) {
		b.miss(event)
	}
	return len(line), nil
}

// turn begins a new second, and tells what was dropped in the one before.
func (b *BoundedWriter) turn() {
	second := b.options.Now().Unix()
	if second == b.second {
		return
	}
	b.second = second
	clear(b.counts)
	for event, count := range b.missed {
		if b.offer([]byte("level=warn event=log_lines_dropped of=" + event + " count=" + strconv.Itoa(count) + "\n")) {
			delete(b.missed, event)
		}
	}
}

func (b *BoundedWriter) offer(line []byte) bool {
	select {
	case b.lines <- line:
		return true
	default:
		return false
	}
}

func (b *BoundedWriter) miss(event string) {
	b.missed[event]++
	b.dropped.Add(1)
}

// Close writes what waits and ends the goroutine.
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

// eventOf is the event of a line.
func eventOf(line []byte) string {
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
