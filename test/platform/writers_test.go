package platform

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestEntriesOfAnotherWriterNameNoServer: an entry of another writer that lacks a field or
// has a field of another form is unreadable, and no server is used by it. Formerly, an entry
// with a missing or unknown state counted as ready, and an entry that became unreadable was
// ignored, so that the last known state of its server stayed in use.
func TestEntriesOfAnotherWriterNameNoServer(t *testing.T) {
	f := newFleet(t, 2)
	valid := newServer(t, f.store, "i-sound", "commands", 0)
	foreign := newServer(t, f.store, "i-foreign", "commands", 0)
	f.store.remove("servers", foreign.id)
	f.store.put("config", "main", newConfig(1))
	validEntry := func() map[string]any {
		return map[string]any{
			"service": "commands", "address": foreign.address, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "sequence": 1, "coldLeftMs": 0,
		}
	}
	with := func(name string, value any) map[string]any {
		entry := validEntry()
		entry[name] = value
		if value == nil {
			delete(entry, name)
		}
		return entry
	}
	entries := map[string]any{
		"no-state": with("state", nil), "no-service": with("service", nil), "no-zone": with("zone", nil), "no-slots": with("slots", nil),
		"state-unknown": with("state", "sleeping"), "state-number": with("state", 7), "slots-text": with("slots", "8"), "zone-list": with("zone", []int{1}),
		"sequence-fraction": with("sequence", 1.5), "cold-text": with("coldLeftMs", "soon"), "models-text": with("models", "m1"), "born-text": with("born", "now"),
		"text": "garbage", "number": 7, "list": []int{1, 2}, "nothing": nil, "huge": with("more", strings.Repeat("x", 1<<19)),
	}
	for name, entry := range entries {
		f.store.put("servers", "i-"+name, entry)
	}
	f.awaitReady()
	for _, n := range f.nodes {
		for number, got := range n.sendMany(0, 40, "/command/x", "") {
			if got.status != http.StatusOK || got.body != "done by "+valid.id {
				t.Errorf("%s: request %d: %+v", n.name, number, got)
			}
		}
	}
	if foreign.runCount() > 0 {
		t.Errorf("%d requests ran at a server that only unreadable entries name", foreign.runCount())
	}
	eventually(t, "the log names the unreadable entry", func() bool {
		return strings.Contains(f.nodes[0].log()+f.nodes[1].log(), "event=entry_unreadable") && strings.Contains(f.nodes[0].log()+f.nodes[1].log(), "servers/i-no-state")
	})
}

// TestEntryThatTurnsUnreadableTakesItsServerOut: the server gets no new work while its entry
// is unreadable, running requests complete, and a readable entry brings it back.
func TestEntryThatTurnsUnreadableTakesItsServerOut(t *testing.T) {
	f := newFleet(t, 2)
	server := newServerIn(t, f.store, "z", "i-turning", "models", 50*time.Millisecond, "m1")
	server.streamPause = 200 * time.Millisecond
	f.store.put("config", "main", newConfig(1))
	f.awaitReady()
	n := f.nodes[0]
	answered := make(chan reply, 1)
	go func() { answered <- n.sendNamed(0, "/chat/x", "m1") }()
	eventually(t, "a stream runs", func() bool { return server.runCount() == 1 })
	f.store.put("servers", server.id, map[string]any{"service": "models", "state": 7})
	number := 1
	eventually(t, "the server gets no new requests", func() bool {
		number++
		return n.sendRequest(callerRequest{id: n.name + "/x" + string(rune('a'+number)), path: "/chat/x", model: "m1", body: "body", deadline: 300 * time.Millisecond}).status == http.StatusServiceUnavailable
	})
	if got := <-answered; got.status != http.StatusOK || strings.Count(got.body, "id: ") != 5 {
		t.Errorf("the running stream was incomplete: %+v", got)
	}
	server.register(f.store, "ready")
	eventually(t, "the server is used again", func() bool { number++; return n.sendNamed(number, "/chat/x", "m1").status == http.StatusOK })
}
