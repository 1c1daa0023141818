package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Explain writes the entries that concern an ID, which is that of a request or of
// a server, and for a request the cause of its outcome. It returns false if no
// entry has the ID. It sorts entries by time.
func Explain(out io.Writer, id string, entries []Entry) bool {
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	var related []Entry
	for _, entry := range entries {
		if entry.Get("request") == id || entry.Get("server") == id {
			related = append(related, entry)
		}
	}
	if len(related) == 0 {
		return false
	}
	first := related[0].Time
	for _, entry := range related {
		fmt.Fprintf(out, "%+9.3fs %s %s\n", entry.Time.Sub(first).Seconds(), entry.Node, describe(entry))
	}
	last := related[len(related)-1]
	if last.Get("request") == id {
		fmt.Fprintf(out, "cause: %s\n", cause(last, entries))
	}
	return true
}

// describe formats an entry without its empty, zero and false fields.
func describe(entry Entry) string {
	parts := []string{entry.Event}
	for _, field := range entry.Fields {
		if field.Value != "" && field.Value != "0" && field.Value != "false" {
			parts = append(parts, field.Key+"="+field.Value)
		}
	}
	return strings.Join(parts, " ")
}

// cause explains what decided the final response, with the inputs of the decision
// and their age.
func cause(final Entry, entries []Entry) string {
	switch final.Event {
	case "request_answered":
		if strings.HasPrefix(final.Get("status"), "5") {
			return "the server's own answer: " + final.Get("server") + " gave status " + final.Get("status")
		}
		return "none: it was answered by " + final.Get("server")
	case "request_refused":
		return refusalCause(final, entries)
	case "request_failed", "request_cut":
		return failureCause(final, entries)
	case "request_denied":
		return "no configuration allows it: " + final.Get("reason") + " under version " + final.Get("config")
	case "request_left":
		return "the caller left after " + final.Get("took_ms") + " ms" + serverContext(final, entries)
	default:
		return "no line of its end was found; see log_lines_dropped"
	}
}

func refusalCause(final Entry, entries []Entry) string {
	text := "it never ran (" + final.Get("reason") + ")"
	if final.Get("reason") == "no_configuration" {
		return text + ": the node knew no configuration" + lastEntryBefore(final, entries, "store_failed", "node", final.Node)
	}
	if final.Get("reason") == "rejected_by_server" {
		server := final.Get("server")
		return text + ": it was rejected by " + final.Get("sent") + lastEntryBefore(final, entries, "server_word", "server", server)
	}
	if final.Get("model") != "" {
		return text + ": no server had " + modelName(final) + " for it" + orderContext(final, entries)
	}
	if final.Get("sent") != "" {
		return text + ": it was rejected by " + final.Get("sent")
	}
	return text + serverContext(final, entries)
}

func failureCause(final Entry, entries []Entry) string {
	server := final.Get("server")
	return "it may have run (" + final.Get("reason") + ") at " + server + serverContext(final, entries)
}

// serverContext describes what the node had recorded about the server at the time
// of the final entry, and the first later entry of any node that has the server
// draining or gone.
func serverContext(final Entry, entries []Entry) string {
	server := final.Get("server")
	if server == "" {
		return ""
	}
	text := lastEntryBefore(final, entries, "server_changed", "server", server) + lastEntryBefore(final, entries, "server_word", "server", server)
	for _, entry := range entries {
		isLaterChange := entry.Event == "server_changed" && entry.Get("server") == server && entry.Time.After(final.Time)
		if isLaterChange && (entry.Get("gone") == "true" || entry.Get("draining") == "true") {
			return text + fmt.Sprintf("; %s learned %s later that it goes (gone=%s draining=%s)",
				entry.Node, formatDuration(entry.Time.Sub(final.Time)), entry.Get("gone"), entry.Get("draining"))
		}
	}
	return text
}

// orderContext describes the last order for the model before the refusal, and the
// last lease event, which shows the leader.
func orderContext(final Entry, entries []Entry) string {
	var order, lease Entry
	for _, entry := range entries {
		if entry.Time.After(final.Time) {
			break
		}
		switch {
		case entry.Event == "order_answered" && entry.Get("model") == final.Get("model"):
			order = entry
		case entry.Event == "lease_taken" || entry.Event == "lease_lost":
			lease = entry
		}
	}
	text := "; nobody had ordered it"
	if order.Event != "" {
		text = fmt.Sprintf("; the last order for it, %s before: %s at %s, %s (%s)", formatDuration(final.Time.Sub(order.Time)),
			order.Get("operation"), order.Get("server"), order.Get("result"), order.Get("reason"))
	}
	if lease.Event != "" {
		text += fmt.Sprintf("; %s at %s %s before", lease.Event, lease.Node, formatDuration(final.Time.Sub(lease.Time)))
	}
	return text
}

// lastEntryBefore describes the node's latest entry of an event, up to the time of
// the final entry, in which key has the value. The key "node" matches any entry
// of the node.
func lastEntryBefore(final Entry, entries []Entry, event, key, value string) string {
	var found Entry
	for _, entry := range entries {
		if entry.Time.After(final.Time) {
			break
		}
		isCandidate := entry.Node == final.Node && entry.Event == event
		if isCandidate && (key == "node" || entry.Get(key) == value) {
			found = entry
		}
	}
	if found.Event == "" {
		return ""
	}
	return fmt.Sprintf("; %s before: %s", formatDuration(final.Time.Sub(found.Time)), describe(found))
}

func modelName(entry Entry) string {
	if adapter := entry.Get("adapter"); adapter != "" {
		return entry.Get("model") + "/" + adapter
	}
	return entry.Get("model")
}

func formatDuration(d time.Duration) string { return d.Round(time.Millisecond).String() }
