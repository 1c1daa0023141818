package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// Explain writes what the entries say of an identity: a request's, or a
// server's. It returns false where no entry names it.
func Explain(out io.Writer, id string, entries []Entry) bool {
	slices.SortStableFunc(entries, func(a, b Entry) int { return a.Time.Compare(b.Time) })
	var way []Entry
	for _, entry := range entries {
		if entry.Get("request") == id || entry.Get("server") == id {
			way = append(way, entry)
		}
	}
	if len(way) == 0 {
		return false
	}
	first := way[0].Time
	for _, entry := range way {
		fmt.Fprintf(out, "%+9.3fs %s %s\n", entry.Time.Sub(first).Seconds(), entry.Node, describe(entry))
	}
	last := way[len(way)-1]
	if last.Get("request") == id {
		fmt.Fprintf(out, "cause: %s\n", cause(last, entries))
	}
	return true
}

// describe is a line without what is empty.
func describe(entry Entry) string {
	words := []string{entry.Event}
	for _, field := range entry.Fields {
		if field.Value != "" && field.Value != "0" && field.Value != "false" {
			words = append(words, field.Key+"="+field.Value)
		}
	}
	return strings.Join(words, " ")
}

// cause is what decided the final answer, with its inputs and their age.
func cause(final Entry, entries []Entry) string {
	switch final.Event {
	case "request_answered":
		if strings.HasPrefix(final.Get("status"), "5") {
			return "the server's own answer: " + final.Get("server") + " gave status " + final.Get("status")
		}
		return "none: it was answered by " + final.Get("server")
	case "request_refused":
		return refusal(final, entries)
	case "request_failed", "request_cut":
		return failure(final, entries)
	case "request_denied":
		return "no configuration allows it: " + final.Get("reason") + " under version " + final.Get("config")
	case "request_left":
		return "the caller left after " + final.Get("took_ms") + " ms" + besides(final, entries)
	default:
		return "no line of its end was found; see log_lines_dropped"
	}
}

func refusal(final Entry, entries []Entry) string {
	text := "it never ran (" + final.Get("reason") + ")"
	if final.Get("reason") == "no_configuration" {
		return text + ": the node knew no configuration" + lastOf(final, entries, "store_failed", "node", final.Node)
	}
	if final.Get("reason") == "rejected_by_server" {
		server := final.Get("server")
		return text + ": it was rejected by " + final.Get("sent") + lastOf(final, entries, "server_word", "server", server)
	}
	if final.Get("model") != "" {
		return text + ": no server had " + wanted(final) + " for it" + orders(final, entries)
	}
	if final.Get("sent") != "" {
		return text + ": it was rejected by " + final.Get("sent")
	}
	return text + besides(final, entries)
}

func failure(final Entry, entries []Entry) string {
	server := final.Get("server")
	return "it may have run (" + final.Get("reason") + ") at " + server + besides(final, entries)
}

// besides tells what was believed of the server then, and what came after.
func besides(final Entry, entries []Entry) string {
	server := final.Get("server")
	if server == "" {
		return ""
	}
	text := lastOf(final, entries, "server_changed", "server", server) + lastOf(final, entries, "server_word", "server", server)
	for _, entry := range entries {
		isNews := entry.Event == "server_changed" && entry.Get("server") == server && entry.Time.After(final.Time)
		if isNews && (entry.Get("gone") == "true" || entry.Get("draining") == "true") {
			return text + fmt.Sprintf("; %s learned %s later that it goes (gone=%s draining=%s)",
				entry.Node, age(entry.Time.Sub(final.Time)), entry.Get("gone"), entry.Get("draining"))
		}
	}
	return text
}

// orders tells the last order for the model before the refusal, and who led.
func orders(final Entry, entries []Entry) string {
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
		text = fmt.Sprintf("; the last order for it, %s before: %s at %s, %s (%s)", age(final.Time.Sub(order.Time)),
			order.Get("operation"), order.Get("server"), order.Get("result"), order.Get("reason"))
	}
	if lease.Event != "" {
		text += fmt.Sprintf("; %s at %s %s before", lease.Event, lease.Node, age(final.Time.Sub(lease.Time)))
	}
	return text
}

// lastOf tells the newest entry of an event that the node had by then.
func lastOf(final Entry, entries []Entry, event, key, value string) string {
	var found Entry
	for _, entry := range entries {
		if entry.Time.After(final.Time) {
			break
		}
		isOwn := entry.Node == final.Node && entry.Event == event
		if isOwn && (key == "node" || entry.Get(key) == value) {
			found = entry
		}
	}
	if found.Event == "" {
		return ""
	}
	return fmt.Sprintf("; %s before: %s", age(final.Time.Sub(found.Time)), describe(found))
}

func wanted(entry Entry) string {
	if adapter := entry.Get("adapter"); adapter != "" {
		return entry.Get("model") + "/" + adapter
	}
	return entry.Get("model")
}

func age(d time.Duration) string { return d.Round(time.Millisecond).String() }
