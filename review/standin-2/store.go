package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec,omitempty"`
	Status   json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   int64    `json:"revision"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// change is one event of the store's history.
type change struct {
	Object   object `json:"object"`
	Gone     bool   `json:"gone"`
	kind     string
	revision int64
}

// store is a stand-in of the platform's metadata store: linearizable, with one counter of revisions and its
// whole history.
type store struct {
	address string

	mu      sync.Mutex
	objects map[string]map[string]object
	history []change
	at      int64
	changed chan struct{}
}

// newStore serves a store at the IP.
func newStore(ip string) (*store, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), objects: make(map[string]map[string]object), changed: make(chan struct{})}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

// put writes an object as the operator or a server does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		fail("encode %s/%s: %v", kind, name, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, object{Metadata: metadata{Name: name}, Spec: text})
}

// remove removes an object as the operator or a server does.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if known, ok := s.objects[kind][name]; ok {
		s.erase(kind, known)
	}
}

// write stores the object at the next revision. s.mu must be held.
func (s *store) write(kind string, written object) object {
	s.at++
	written.Metadata.Revision = s.at
	if written.Metadata.Finalizers == nil {
		written.Metadata.Finalizers = []string{}
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][written.Metadata.Name] = written
	s.publish(change{Object: written, kind: kind, revision: s.at})
	return written
}

// erase removes the object at the next revision. s.mu must be held.
func (s *store) erase(kind string, known object) {
	s.at++
	delete(s.objects[kind], known.Metadata.Name)
	s.publish(change{Object: known, Gone: true, kind: kind, revision: s.at})
}

// publish wakes the watches. s.mu must be held.
func (s *store) publish(event change) {
	s.history = append(s.history, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(request.URL.Path, "/api/objects/"), "/")
	name, isStatus := strings.CutSuffix(name, "/status")
	query := request.URL.Query()
	switch {
	case request.Method == http.MethodGet && name != "":
		s.get(writer, kind, name)
	case request.Method == http.MethodGet && query.Has("watch"):
		s.watch(writer, request, kind)
	case request.Method == http.MethodGet:
		s.list(writer, kind, query.Get("after"))
	case request.Method == http.MethodDelete:
		s.delete(writer, kind, name, query.Get("revision"))
	default:
		s.change(writer, request, kind, name, isStatus)
	}
}

func answer(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (s *store) get(writer http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	known, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		answer(writer, http.StatusNotFound, map[string]any{})
		return
	}
	answer(writer, http.StatusOK, known)
}

// maxItems is the number of objects on one page of a list.
const maxItems = 500

func (s *store) list(writer http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	names := make([]string, 0, len(s.objects[kind]))
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	more := len(names) > maxItems
	items := make([]object, 0, len(names))
	for _, name := range names[:min(len(names), maxItems)] {
		items = append(items, s.objects[kind][name])
	}
	at := s.at
	s.mu.Unlock()
	answer(writer, http.StatusOK, map[string]any{"items": items, "more": more, "at": at})
}

func (s *store) watch(writer http.ResponseWriter, request *http.Request, kind string) {
	from, _ := strconv.ParseInt(request.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.ParseInt(request.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for isOver := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, event := range s.history {
			if event.kind == kind && event.revision > from {
				events = append(events, event)
			}
		}
		at, changed := s.at, s.changed
		s.mu.Unlock()
		if len(events) > 0 || isOver {
			answer(writer, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			isOver = true
		case <-request.Context().Done():
			return
		}
	}
}

func (s *store) delete(writer http.ResponseWriter, kind, name, revision string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.objects[kind][name]
	switch {
	case !ok:
		answer(writer, http.StatusNotFound, map[string]any{})
	case revision != "" && revision != strconv.FormatInt(known.Metadata.Revision, 10):
		answer(writer, http.StatusConflict, known)
	default:
		s.erase(kind, known)
		answer(writer, http.StatusOK, known)
	}
}

func (s *store) change(writer http.ResponseWriter, request *http.Request, kind, name string, isStatus bool) {
	var received object
	if json.NewDecoder(request.Body).Decode(&received) != nil {
		answer(writer, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if request.Method == http.MethodPost {
		name = received.Metadata.Name
	}
	known, ok := s.objects[kind][name]
	switch {
	case request.Method == http.MethodPost && ok:
		answer(writer, http.StatusConflict, known)
		return
	case request.Method == http.MethodPut && !ok:
		answer(writer, http.StatusNotFound, map[string]any{})
		return
	case request.Method == http.MethodPut && received.Metadata.Revision != 0 && received.Metadata.Revision != known.Metadata.Revision:
		answer(writer, http.StatusConflict, known)
		return
	}
	written := object{Metadata: metadata{Name: name, Finalizers: received.Metadata.Finalizers}, Spec: received.Spec, Status: known.Status}
	if isStatus {
		written = object{Metadata: known.Metadata, Spec: known.Spec, Status: received.Status}
	}
	answer(writer, http.StatusOK, s.write(kind, written))
}
