package platform

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
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
	Object object `json:"object"`
	Gone   bool   `json:"gone"`
	kind   string
	at     int64
}

// store is a stand-in of the platform's store: linearizable, with one counter
// of revisions and a history that can be dropped.
type store struct {
	mu      sync.Mutex
	objects map[string]map[string]object
	history []event
	at      int64
	oldest  int64
	changed chan struct{}
	// down refuses calls, deaf holds watches without a word, and lost does
	// writes without an answer. late does writes without an answer, and only
	// after that time.
	down, deaf, lost bool
	late             time.Duration
	// held keeps watches waiting; then one answer tells all that happened.
	held bool
}

func newStore(t *testing.T) (*store, string) {
	t.Helper()
	s := &store{objects: make(map[string]map[string]object), changed: make(chan struct{})}
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, strings.TrimPrefix(server.URL, "http://")
}

// put writes as the operator or a server does.
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
	s.record(event{Object: written, kind: kind, at: s.at})
	return written
}

func (s *store) record(happened event) {
	s.history = append(s.history, happened)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history.
func (s *store) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.oldest = s.at
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
	down, lost := s.down, s.lost
	s.mu.Unlock()
	switch {
	case down:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case request.Method == http.MethodGet && request.URL.Query().Has("watch"):
		s.watch(writer, request, parts[0])
	case request.Method == http.MethodGet && len(parts) == 2:
		s.get(writer, parts[0], parts[1])
	case request.Method == http.MethodGet:
		s.list(writer, parts[0])
	default:
		s.change(writer, request, parts, lost)
	}
}

func (s *store) get(writer http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[kind][name]
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(writer).Encode(found)
}

func (s *store) list(writer http.ResponseWriter, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for _, found := range s.objects[kind] {
		items = append(items, found)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": items, "more": false, "at": s.at})
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseInt(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if from < s.oldest && !s.deaf {
			s.mu.Unlock()
			writer.WriteHeader(http.StatusGone)
			return
		}
		events := []event{}
		for _, happened := range s.history {
			if happened.kind == kind && happened.at > from && !s.deaf {
				events = append(events, happened)
			}
		}
		changed, at, held := s.changed, s.at, s.held
		if s.deaf {
			// What is not heard is not passed over: the caller goes on behind it.
			at = from
		}
		s.mu.Unlock()
		if held {
			time.Sleep(heldPause)
			continue
		}
		if len(events) > 0 {
			_ = json.NewEncoder(writer).Encode(map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			_ = json.NewEncoder(writer).Encode(map[string]any{"events": events, "at": at})
			return
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) change(writer http.ResponseWriter, request *http.Request, parts []string, lost bool) {
	var wanted object
	if json.NewDecoder(request.Body).Decode(&wanted) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if late := s.lateness(); late > 0 {
		reset(writer)
		time.AfterFunc(late, func() { s.changeLate(request.Method, parts[0], wanted) })
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.objects[parts[0]][wanted.Metadata.Name]
	created := request.Method == http.MethodPost
	if (created && exists) || (!created && (!exists || wanted.Metadata.Revision != found.Metadata.Revision)) {
		writer.WriteHeader(http.StatusConflict)
		return
	}
	if exists && bytes.Equal(found.Spec, wanted.Spec) {
		// What changes nothing does not raise the revision.
		_ = json.NewEncoder(writer).Encode(found)
		return
	}
	written := s.write(parts[0], wanted)
	if lost {
		reset(writer)
		return
	}
	_ = json.NewEncoder(writer).Encode(written)
}

func (s *store) lateness() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

// changeLate does a write whose caller heard nothing, if its condition still holds.
func (s *store) changeLate(method, kind string, wanted object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.objects[kind][wanted.Metadata.Name]
	if exists == (method == http.MethodPost) || exists && wanted.Metadata.Revision != found.Metadata.Revision {
		return
	}
	s.write(kind, wanted)
}

// reset ends a connection without an answer.
func reset(writer http.ResponseWriter) {
	hijacker, ok := writer.(http.Hijacker)
	if !ok {
		return
	}
	if conn, _, err := hijacker.Hijack(); err == nil {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// remove drops an object, as a server's entry goes.
func (s *store) remove(kind, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[kind][name]
	if !ok {
		return s.at
	}
	delete(s.objects[kind], name)
	s.at++
	s.record(event{Object: found, Gone: true, kind: kind, at: s.at})
	return s.at
}
