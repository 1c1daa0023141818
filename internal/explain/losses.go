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

// Losses sums up, over the logs of all nodes of a day, the requests that were not
// served in time, each under the one reason that a decision on it logged. It keeps
// counts alone, so that a day of hundreds of nodes can be read.
type Losses struct {
	counts map[lossKey]int
	asked  map[string]int
	from   time.Time
	// unknown counts final lines whose event or figures could not be read.
	unknown int
}

// lossKey is what losses are counted by: the kind of request, the second of the
// logs and the reason.
type lossKey struct {
	kind   string
	second int
	reason string
}

// NewLosses returns the losses of no lines.
func NewLosses() *Losses {
	return &Losses{counts: make(map[lossKey]int), asked: make(map[string]int)}
}

// Take adds one line; lines that end no request are left out. Lines come in the
// order of their times.
func (l *Losses) Take(entry Entry) {
	if l.from.IsZero() && !entry.Time.IsZero() {
		l.from = entry.Time
	}
	if !endsRequest(entry.Event) {
		return
	}
	kind := kindOf(entry)
	l.asked[kind]++
	reason, isLost := lossReason(entry)
	if !isLost {
		return
	}
	if reason == "" {
		l.unknown++
		return
	}
	// A clock that was set back tells a time before the first line.
	second := max(0, int(entry.Time.Sub(l.from).Seconds()))
	l.counts[lossKey{kind: kind, second: second, reason: reason}]++
}

// endsRequest reports whether the event is a request's final answer. Requests that
// no route allows are owed nothing.
func endsRequest(event string) bool {
	switch event {
	case "request_answered", "request_refused", "request_failed", "request_cut", "request_left":
		return true
	default:
		return false
	}
}

// kindOf is the service and the objective of a request: routes have many names.
func kindOf(entry Entry) string {
	return cmp.Or(entry.Get("service"), "none") + " " + cmp.Or(entry.Get("goal_ms"), "-") + " ms"
}

// lossReason is why the request was not served in time; isLost is false where it
// was.
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
	return lateness(entry)
}

// lateness is why an answer came late: most of its time went by waiting for a
// server, over several sends, or at the server.
func lateness(entry Entry) (reason string, isLate bool) {
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
	figure, err := strconv.ParseFloat(entry.Get(key), 64)
	if err != nil {
		return 0
	}
	return figure
}

// spanSeconds is the width of a column of the table over the day.
const spanSeconds = 5

// Print writes the requests lost by kind and reason, the most first, with when in
// the logs they were.
func (l *Losses) Print(to io.Writer) error {
	type row struct {
		kind, reason string
		total        int
		spans        map[int]int
	}
	rows := make(map[string]*row)
	last := 0
	for key, count := range l.counts {
		known, ok := rows[key.kind+key.reason]
		if !ok {
			known = &row{kind: key.kind, reason: key.reason, spans: make(map[int]int)}
			rows[key.kind+key.reason] = known
		}
		known.total += count
		known.spans[key.second/spanSeconds] += count
		last = max(last, key.second/spanSeconds)
	}
	sorted := slices.SortedFunc(maps.Values(rows), func(a, b *row) int {
		return cmp.Or(-cmp.Compare(a.total, b.total), strings.Compare(a.kind+a.reason, b.kind+b.reason))
	})
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprint(table, "kind\tasked\treason\tlost")
	for span := range last + 1 {
		fmt.Fprintf(table, "\t%d s", span*spanSeconds)
	}
	fmt.Fprintln(table)
	for _, each := range sorted {
		fmt.Fprintf(table, "%s\t%d\t%s\t%d", each.kind, l.asked[each.kind], each.reason, each.total)
		for span := range last + 1 {
			fmt.Fprintf(table, "\t%d", each.spans[span])
		}
		fmt.Fprintln(table)
	}
	if l.unknown > 0 {
		fmt.Fprintf(table, "lines without a reason\t%d\n", l.unknown)
	}
	return table.Flush()
}
