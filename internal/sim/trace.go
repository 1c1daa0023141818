package sim

import (
	"encoding/binary"
	"fmt"
	"io"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Trace hashes the ordered event history of a run and, if it has a writer,
// prints it.
type Trace struct {
	scheduler *Scheduler
	digest    *xxhash.Digest
	buffer    []byte
	writer    io.Writer
	recorded  uint64
}

// NewTrace returns an empty history. The writer may be nil; it does not change
// the hash.
func NewTrace(scheduler *Scheduler, writer io.Writer) *Trace {
	return &Trace{scheduler: scheduler, digest: xxhash.New(), writer: writer}
}

// Record adds one event to the hash: its kind, the process concerned, a second
// name such as the sender, and a number such as a size or a version.
func (t *Trace) Record(kind, subject, other string, number uint64) {
	t.recorded++
	buffer := binary.LittleEndian.AppendUint64(t.buffer[:0], uint64(t.scheduler.Elapsed()))
	buffer = append(append(buffer, kind...), 0)
	buffer = append(append(buffer, subject...), 0)
	buffer = append(append(buffer, other...), 0)
	buffer = binary.LittleEndian.AppendUint64(buffer, number)
	t.buffer = buffer
	_, _ = t.digest.Write(buffer) // a hash.Hash never returns an error
	if t.writer != nil {
		t.print(fmt.Sprintf("%s %s %s %d", kind, subject, other, number))
	}
}

// Note prints a line that is not part of the hash. Without a writer it does not
// format the line.
func (t *Trace) Note(format string, arguments ...any) {
	if t.writer != nil {
		t.print(fmt.Sprintf(format, arguments...))
	}
}

// Printing reports whether the trace has a writer.
func (t *Trace) Printing() bool {
	return t.writer != nil
}

func (t *Trace) print(line string) {
	elapsed := t.scheduler.Elapsed().Round(time.Microsecond)
	_, _ = fmt.Fprintf(t.writer, "%14s %s\n", elapsed, line)
}

// Hash returns the hash of all events recorded so far.
func (t *Trace) Hash() uint64 {
	return t.digest.Sum64()
}

// Recorded returns the number of recorded events.
func (t *Trace) Recorded() uint64 {
	return t.recorded
}
