package logging

import (
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter is a writer that blocks until open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text strings.Builder
}

func (g *blockingWriter) Write(line []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(line)
}

func (g *blockingWriter) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

func TestBoundedNeverBlocksAndCountsWhatItDrops(t *testing.T) {
	out := &blockingWriter{open: make(chan struct{})}
	bounded := NewBoundedWriter(BoundedWriterOptions{Out: out, BufferedLines: 10, EventLinesPerSecond: 1000})
	for range 100 {
		_, _ = bounded.Write([]byte("event=a x=1\n"))
	}
	if dropped := bounded.Dropped(); dropped < 85 || dropped > 90 {
		t.Errorf("%d of 100 lines dropped with a buffer of 10, want 85 to 90", dropped)
	}
	close(out.open)
	bounded.Close()
	if written := strings.Count(out.String(), "event=a"); int64(written)+bounded.Dropped() != 100 {
		t.Errorf("%d lines written and %d dropped, want a sum of 100", written, bounded.Dropped())
	}
}

func TestBoundedKeepsRareEventsBesideFrequentOnes(t *testing.T) {
	now := time.Unix(100, 0)
	out := &blockingWriter{open: make(chan struct{})}
	close(out.open)
	bounded := NewBoundedWriter(BoundedWriterOptions{
		Out: out, EventLinesPerSecond: 5, Now: func() time.Time { return now }, UnlimitedEvents: map[string]bool{"failed": true},
	})
	for range 50 {
		_, _ = bounded.Write([]byte("level=info event=answered\n"))
	}
	for range 20 {
		_, _ = bounded.Write([]byte("level=warn event=failed id=1\n"))
	}
	now = now.Add(time.Second)
	_, _ = bounded.Write([]byte("level=info event=answered\n"))
	bounded.Close()
	text := out.String()
	if got := strings.Count(text, "event=answered"); got != 6 {
		t.Errorf("%d lines of the frequent event, want 5 in the first second and 1 in the next", got)
	}
	if got := strings.Count(text, "event=failed"); got != 20 {
		t.Errorf("%d lines of the unlimited event, want all 20", got)
	}
	if !strings.Contains(text, "event=log_lines_dropped of=answered count=45") {
		t.Errorf("no line reports the 45 dropped lines: %s", text)
	}
}
