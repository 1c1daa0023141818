package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Made       int64    `json:"made"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type storeEvent struct {
	Object object `json:"object"`
	Gone   bool   `json:"gone"`
	kind   string
	at     int64
}

// store stands in for the platform's store: linearizable, one counter of revisions, and a history that
// it keeps for the whole case.
type store struct {
	address string
	mu      sync.Mutex
	objects map[string]map[string]object
	history []storeEvent
	at      int64
	changed chan struct{}
	// era counts how often the store went back to a copy; all answers name it.
	era int
	// isAway turns every call away as not done.
	isAway bool
}

// storeCopy is a state that the store can go back to.
type storeCopy struct {
	objects map[string]map[string]object
	at      int64
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), objects: make(map[string]map[string]object), changed: make(chan struct{}), era: 1}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes an object without a condition, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: text})
}

// copyNow copies what the store holds.
func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	saved := storeCopy{objects: make(map[string]map[string]object), at: s.at}
	for kind, objects := range s.objects {
		saved.objects[kind] = maps.Clone(objects)
	}
	return saved
}

// setAway begins or ends the time in which the store turns all calls away.
func (s *store) setAway(isAway bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isAway = isAway
}

// goBack puts the copy in place of what the store holds: revisions go back, and the era rises by one.
func (s *store) goBack(to storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.at, s.history, s.era = to.objects, to.at, nil, s.era+1
	close(s.changed)
	s.changed = make(chan struct{})
}

// write applies a change. s.mu is held.
func (s *store) write(kind string, written object) object {
	s.at++
	written.Metadata.Revision = s.at
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][written.Metadata.Name] = written
	s.history = append(s.history, storeEvent{Object: written, kind: kind, at: s.at})
	close(s.changed)
	s.changed = make(chan struct{})
	return written
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/api/objects/"), "/")
	s.mu.Lock()
	era, isAway := s.era, s.isAway
	s.mu.Unlock()
	writer.Header().Set("Store-Era", strconv.Itoa(era))
	writer.Header().Set("Content-Type", "application/json")
	switch {
	case isAway:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case request.Method == http.MethodGet && request.URL.Query().Has("watch"):
		s.watch(writer, request, kind)
	case request.Method == http.MethodGet && name != "":
		s.get(writer, kind, name)
	case request.Method == http.MethodGet:
		s.list(writer, request, kind)
	case request.Method == http.MethodPost || request.Method == http.MethodPut:
		s.change(writer, request, kind)
	default:
		writer.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) get(writer http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	found, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(writer).Encode(found)
}

func (s *store) list(writer http.ResponseWriter, request *http.Request, kind string) {
	after := request.URL.Query().Get("after")
	items := []object{}
	s.mu.Lock()
	for name, found := range s.objects[kind] {
		if name > after {
			items = append(items, found)
		}
	}
	at := s.at
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	_ = json.NewEncoder(writer).Encode(map[string]any{"items": items, "more": false, "at": at})
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseInt(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(request.URL.Query().Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []storeEvent{}
		s.mu.Lock()
		for _, event := range s.history {
			if event.kind == kind && event.at > from {
				events = append(events, event)
			}
		}
		changed, at := s.changed, s.at
		s.mu.Unlock()
		isOver := len(events) > 0
		if from > at {
			writer.WriteHeader(http.StatusGone)
			return
		}
		if !isOver {
			select {
			case <-changed:
				continue
			case <-request.Context().Done():
				return
			case <-end:
			}
		}
		_ = json.NewEncoder(writer).Encode(map[string]any{"events": events, "at": at})
		return
	}
}

func (s *store) change(writer http.ResponseWriter, request *http.Request, kind string) {
	var received object
	if json.NewDecoder(request.Body).Decode(&received) != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.objects[kind][received.Metadata.Name]
	isCreate := request.Method == http.MethodPost
	hasOther := received.Metadata.Revision != 0 && received.Metadata.Revision != found.Metadata.Revision
	switch {
	case !isCreate && !exists:
		writer.WriteHeader(http.StatusNotFound)
		return
	case isCreate && exists, hasOther:
		writer.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(writer).Encode(found)
		return
	case exists && bytes.Equal(found.Spec, received.Spec):
		_ = json.NewEncoder(writer).Encode(found)
		return
	}
	_ = json.NewEncoder(writer).Encode(s.write(kind, received))
}
