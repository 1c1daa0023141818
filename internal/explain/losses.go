package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Losses counts the requests that were not served in time, over the logs of all
// nodes of a day. Each request counts under one reason, taken from its final log
// line. Only counts are kept, so that a day of logs from hundreds of nodes can be
// processed.
type Losses struct {
	counts map[lossKey]int
	totals map[string]int
	start  time.Time
	// unreadable counts final lines without a usable reason.
	unreadable int
}

// lossKey is the key by which losses are counted: the kind of request, the second
// since the start of the logs, and the reason.
type lossKey struct {
	kind   string
	second int
	reason string
}

// NewLosses returns an empty Losses.
func NewLosses() *Losses {
	return &Losses{counts: make(map[lossKey]int), totals: make(map[string]int)}
}

// Take adds one line. Lines that do not end a request are ignored. Lines must be
// passed in order of time.
func (l *Losses) Take(entry Entry) {
	if l.start.IsZero() && !entry.Time.IsZero() {
		l.start = entry.Time
	}
	if !endsRequest(entry.Event) {
		return
	}
	kind := requestKind(entry)
	l.totals[kind]++
	reason, isLost := lossReason(entry)
	if !isLost {
		return
	}
	if reason == "" {
		l.unreadable++
		return
	}
	// If a clock was set back, the time may be before that of the first line.
	second := max(0, int(entry.Time.Sub(l.start).Seconds()))
	l.counts[lossKey{kind: kind, second: second, reason: reason}]++
}

// endsRequest reports whether the event is the end of a request. Requests that no
// route allows do not count.
func endsRequest(event string) bool {
	switch event {
	case "request_answered", "request_refused", "request_failed", "request_cut", "request_left":
		return true
	default:
		return false
	}
}

// requestKind returns the service and the latency objective of a request. Routes
// are not used because there are too many of them.
func requestKind(entry Entry) string {
	return cmp.Or(entry.Get("service"), "none") + " " + cmp.Or(entry.Get("goal_ms"), "-") + " ms"
}

// lossReason returns why the request was not served in time; isLost is false if it
// was served in time.
func lossReason(entry Entry) (reason string, isLost bool) {
	switch entry.Event {
	case "request_refused":
		if entry.Get("returned") == "true" {
			return "refused again: " + entry.Get("reason"), true
		}
		return "refused: " + entry.Get("reason"), true
	case "request_failed", "request_cut":
		return strings.TrimPrefix(entry.Event, "request_") + ": " + entry.Get("reason"), true
	case "request_left":
		return "the caller left", true
	}
	if status, err := strconv.Atoi(entry.Get("status")); err != nil || status >= 500 {
		return "the server answered " + entry.Get("status"), true
	}
	return lateReason(entry)
}

// lateReason returns why a response was late: more than half of its time was spent
// waiting for a server, it was sent more than once, the server was slow, or the
// pause between two events was too long.
func lateReason(entry Entry) (reason string, isLate bool) {
	goal, gap := millis(entry, "goal_ms"), millis(entry, "gap_goal_ms")
	took := millis(entry, "took_ms")
	if first := millis(entry, "first_ms"); first > 0 {
		took = first
	}
	switch {
	case goal > 0 && took > goal && millis(entry, "waited_ms") > took/2:
		return "late: waited for a server with the model", true
	case goal > 0 && took > goal && strings.Contains(entry.Get("sent"), ","):
		return "late: sent more than once", true
	case goal > 0 && took > goal:
		return "late: slow at the server", true
	case gap > 0 && millis(entry, "pause_ms") > gap:
		return "late: a pause between events", true
	default:
		return "", false
	}
}

func millis(entry Entry, key string) float64 {
	value, err := strconv.ParseFloat(entry.Get(key), 64)
	if err != nil {
		return 0
	}
	return value
}

// bucketSeconds is the time span that one column of the table covers.
const bucketSeconds = 5

// Print writes a table of the lost requests by kind and reason, largest first, with
// their distribution over time.
func (l *Losses) Print(out io.Writer) error {
	type row struct {
		kind, reason string
		total        int
		buckets      map[int]int
	}
	rows := make(map[string]*row)
	lastBucket := 0
	for key, count := range l.counts {
		current, ok := rows[key.kind+key.reason]
		if !ok {
			current = &row{kind: key.kind, reason: key.reason, buckets: make(map[int]int)}
			rows[key.kind+key.reason] = current
		}
		current.total += count
		current.buckets[key.second/bucketSeconds] += count
		lastBucket = max(lastBucket, key.second/bucketSeconds)
	}
	sorted := slices.SortedFunc(maps.Values(rows), func(a, b *row) int {
		return cmp.Or(-cmp.Compare(a.total, b.total), strings.Compare(a.kind+a.reason, b.kind+b.reason))
	})
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "kind\tasked\treason\tlost")
	for bucket := range lastBucket + 1 {
		fmt.Fprintf(table, "\t%d s", bucket*bucketSeconds)
	}
	fmt.Fprintln(table)
	for _, each := range sorted {
		fmt.Fprintf(table, "%s\t%d\t%s\t%d", each.kind, l.totals[each.kind], each.reason, each.total)
		for bucket := range lastBucket + 1 {
			fmt.Fprintf(table, "\t%d", each.buckets[bucket])
		}
		fmt.Fprintln(table)
	}
	if l.unreadable > 0 {
		fmt.Fprintf(table, "lines without a reason\t%d\n", l.unreadable)
	}
	return table.Flush()
}
