package platform

import (
	"bytes"
	"encoding/json"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type event struct {
	Object   object `json:"object"`
	Gone     bool   `json:"gone"`
	kind     string
	revision int64
}

// store is a fake of the platform's object store: linearizable, with one revision counter
// and a history that can be compacted.
type store struct {
	mu             sync.Mutex
	objects        map[string]map[string]object
	history        []event
	at             int64
	oldestRevision int64
	changed        chan struct{}
	// unavailable rejects calls, muteWatches makes watches deliver nothing, and dropResponses
	// applies writes without answering. A positive writeDelay resets the connection and applies
	// the write after that time.
	unavailable, muteWatches, dropResponses bool
	writeDelay                              time.Duration
	// holdWatches delays watch responses; once released, a single response carries all events.
	holdWatches bool
	// era counts how often the store was restored from a snapshot; responses carry it.
	era int64
	// calls counts the requests received.
	calls int
	// ignoresRollback keeps watches waiting across a restore instead of ending them.
	ignoresRollback bool
}

// storeSnapshot is a state that the store can be restored to.
type storeSnapshot struct {
	objects map[string]map[string]object
	history []event
	at      int64
}

// snapshot copies the store's current state.
func (s *store) snapshot() storeSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved := storeSnapshot{objects: make(map[string]map[string]object), history: slices.Clone(s.history), at: s.at}
	for kind, objects := range s.objects {
		saved.objects[kind] = maps.Clone(objects)
	}
	return saved
}

// restore discards everything written since the snapshot and starts a new era.
func (s *store) restore(to storeSnapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects = make(map[string]map[string]object)
	for kind, objects := range to.objects {
		s.objects[kind] = maps.Clone(objects)
	}
	s.history, s.at = slices.Clone(to.history), to.at
	s.oldestRevision = min(s.oldestRevision, s.at)
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// eraWriter adds the era header to a response.
type eraWriter struct {
	http.ResponseWriter
	store *store
}

// WriteHeader implements http.ResponseWriter.
func (h eraWriter) WriteHeader(status int) {
	h.Header().Set("Store-Era", strconv.FormatInt(h.store.currentEra(), 10))
	h.ResponseWriter.WriteHeader(status)
}

// writeJSON writes a response body with the era header. s.mu is held.
func (s *store) writeJSON(writer http.ResponseWriter, body any) {
	writer.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	_ = json.NewEncoder(writer).Encode(body)
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *store) currentEra() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func newStore(t *testing.T) (*store, string) {
	t.Helper()
	s := &store{objects: make(map[string]map[string]object), changed: make(chan struct{}), era: 1}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

// put writes an object unconditionally, as the operator or a server would.
func (s *store) put(kind, name string, spec any) int64 {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, object{Metadata: metadata{Name: name}, Spec: text}).Metadata.Revision
}

func (s *store) write(kind string, written object) object {
	s.at++
	written.Metadata.Revision = s.at
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][written.Metadata.Name] = written
	s.appendEvent(event{Object: written, kind: kind, revision: s.at})
	return written
}

func (s *store) appendEvent(added event) {
	s.history = append(s.history, added)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldestRevision = s.at
}

func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	parts := strings.Split(strings.Trim(strings.TrimPrefix(request.URL.Path, "/api/objects"), "/"), "/")
	s.mu.Lock()
	unavailable, dropResponse := s.unavailable, s.dropResponses
	s.calls++
	s.mu.Unlock()
	rawWriter := writer
	writer = eraWriter{ResponseWriter: writer, store: s}
	switch {
	case unavailable:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case request.Method == http.MethodGet && request.URL.Query().Has("watch"):
		s.watch(writer, request, parts[0])
	case request.Method == http.MethodGet && len(parts) == 2:
		s.get(writer, parts[0], parts[1])
	case request.Method == http.MethodGet:
		s.list(writer, parts[0])
	default:
		s.change(writer, rawWriter, request, parts, dropResponse)
	}
}

func (s *store) get(writer http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	found, ok := s.objects[kind][name]
	if !ok {
		s.mu.Unlock()
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	defer s.mu.Unlock()
	s.writeJSON(writer, found)
}

func (s *store) list(writer http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, found := range s.objects[kind] {
		items = append(items, found)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	s.writeJSON(writer, map[string]any{"items": items, "more": false, "at": s.at})
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseInt(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		isAhead := from > s.at && !s.ignoresRollback
		if (from < s.oldestRevision || isAhead) && !s.muteWatches {
			s.mu.Unlock()
			writer.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > from && !s.muteWatches {
				events = append(events, e)
			}
		}
		changed, revision, isHeld := s.changed, s.at, s.holdWatches
		if s.muteWatches {
			// Muted events are not skipped: the position does not advance, so the caller gets them
			// later.
			revision = from
		}
		s.mu.Unlock()
		if isHeld {
			time.Sleep(blockedPollInterval)
			continue
		}
		answer := func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.writeJSON(writer, map[string]any{"events": events, "at": revision})
		}
		if len(events) > 0 {
			answer()
			return
		}
		select {
		case <-changed:
		case <-end:
			answer()
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) change(writer, rawWriter http.ResponseWriter, request *http.Request, parts []string, dropResponse bool) {
	var received object
	if json.NewDecoder(request.Body).Decode(&received) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if delay := s.currentWriteDelay(); delay > 0 {
		resetConnection(rawWriter)
		time.AfterFunc(delay, func() { s.applyDelayedWrite(request.Method, parts[0], received) })
		return
	}
	s.mu.Lock()
	found, exists := s.objects[parts[0]][received.Metadata.Name]
	isCreate := request.Method == http.MethodPost
	if (isCreate && exists) || (!isCreate && (!exists || received.Metadata.Revision != found.Metadata.Revision)) {
		s.mu.Unlock()
		writer.WriteHeader(http.StatusConflict)
		return
	}
	defer s.mu.Unlock()
	if exists && bytes.Equal(found.Spec, received.Spec) {
		// A write that changes nothing does not raise the revision.
		s.writeJSON(writer, found)
		return
	}
	written := s.write(parts[0], received)
	if dropResponse {
		resetConnection(rawWriter)
		return
	}
	s.writeJSON(writer, written)
}

func (s *store) currentWriteDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeDelay
}

// applyDelayedWrite applies a write whose caller got no answer, if its precondition still
// holds.
func (s *store) applyDelayedWrite(method, kind string, received object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.objects[kind][received.Metadata.Name]
	if exists == (method == http.MethodPost) || exists && received.Metadata.Revision != found.Metadata.Revision {
		return
	}
	s.write(kind, received)
}

// resetConnection resets the connection without a response.
func resetConnection(writer http.ResponseWriter) {
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		_ = conn.(interface{ SetLinger(seconds int) error }).SetLinger(0)
		_ = conn.Close()
	}
}

// remove deletes an object, as when a server's entry expires.
func (s *store) remove(kind, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[kind][name]
	if !ok {
		return s.at
	}
	delete(s.objects[kind], name)
	s.at++
	s.appendEvent(event{Object: found, Gone: true, kind: kind, revision: s.at})
	return s.at
}
