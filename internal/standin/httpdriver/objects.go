package httpdriver

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/books"
	"github.com/spanlanding/spanlanding/internal/standin/objects"
)

// Paths of the object API.
const (
	PathObjects = "/v1/objects"
	PathWatch   = "/v1/watch"
)

// bookmarkInterval is how often a watch sends an event with only the version
// reached.
const bookmarkInterval = time.Second

// objectsAPI serves an objects.Store over HTTP.
type objectsAPI struct {
	mutex sync.Mutex
	store *objects.Store
	// changed is closed and replaced at the next update.
	changed chan struct{}
	// journal holds every change with the time at which it took effect, oldest
	// first.
	journal []books.StoreChange
}

func newObjectsAPI(store *objects.Store) *objectsAPI {
	return &objectsAPI{store: store, changed: make(chan struct{})}
}

func (o *objectsAPI) register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathObjects, o.serveList)
	mux.HandleFunc("GET "+PathObjects+"/{kind}/{name}", o.serveGet)
	mux.HandleFunc("PUT "+PathObjects+"/{kind}/{name}", o.servePut)
	mux.HandleFunc("DELETE "+PathObjects+"/{kind}/{name}", o.serveDelete)
	mux.HandleFunc("GET "+PathWatch, o.serveWatch)
	mux.HandleFunc("GET "+PathJournal, o.serveJournal)
}

// update runs the function on the store and wakes the watches.
func (o *objectsAPI) update(run func(store *objects.Store)) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	run(o.store)
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *objectsAPI) read(run func(store *objects.Store)) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	run(o.store)
}

func (o *objectsAPI) freeze(on bool) {
	o.update(func(store *objects.Store) { store.Freeze(on) })
}

// restore resets the store to an earlier version; version 0 does nothing.
func (o *objectsAPI) restore(version uint64) {
	if version > 0 {
		o.update(func(store *objects.Store) { store.Restore(version) })
	}
}

func pathKey(request *http.Request) objectstore.Key {
	return objectstore.Key{Kind: request.PathValue("kind"), Name: request.PathValue("name")}
}

func wantsTombstones(request *http.Request) bool {
	return request.URL.Query().Get("tombstones") == "true"
}

func (o *objectsAPI) serveList(writer http.ResponseWriter, request *http.Request) {
	var list objectstore.ObjectList
	o.read(func(store *objects.Store) {
		list = store.List(request.URL.Query().Get("kind"), wantsTombstones(request))
	})
	writeJSON(writer, http.StatusOK, list)
}

// serveGet returns tombstones too, so that a client can confirm a delete.
func (o *objectsAPI) serveGet(writer http.ResponseWriter, request *http.Request) {
	var object objectstore.Object
	var found bool
	o.read(func(store *objects.Store) { object, found = store.Get(pathKey(request)) })
	if !found {
		writeProblem(writer, http.StatusNotFound, "no-object", "")
		return
	}
	writeJSON(writer, http.StatusOK, object)
}

func (o *objectsAPI) servePut(writer http.ResponseWriter, request *http.Request) {
	var write objectstore.WriteRequest
	if !readJSON(writer, request, &write) {
		return
	}
	if write.Object.Key() != pathKey(request) || write.Object.Deleted {
		writeProblem(writer, http.StatusBadRequest, "wrong-object", "the body must hold the live object of the path")
		return
	}
	var written objectstore.Object
	var conflict *objectstore.ConflictResponse
	o.update(func(store *objects.Store) {
		if written, conflict = store.Write(write); conflict == nil {
			o.recordChange(written)
		}
	})
	if conflict != nil {
		writeJSON(writer, http.StatusConflict, conflict)
		return
	}
	writeJSON(writer, http.StatusOK, written)
}

func (o *objectsAPI) serveDelete(writer http.ResponseWriter, request *http.Request) {
	expected, err := queryUint(request, "expected")
	if err != nil {
		writeProblem(writer, http.StatusBadRequest, "bad-expected", err.Error())
		return
	}
	query := request.URL.Query()
	var tombstone objectstore.Object
	var conflict *objectstore.ConflictResponse
	var found bool
	o.update(func(store *objects.Store) {
		tombstone, conflict, found = store.Delete(pathKey(request), expected, query.Get("changeId"), query.Get("changedBy"))
		if found && conflict == nil {
			o.recordChange(tombstone)
		}
	})
	switch {
	case !found:
		writeProblem(writer, http.StatusNotFound, "no-object", "")
	case conflict != nil:
		writeJSON(writer, http.StatusConflict, conflict)
	default:
		writeJSON(writer, http.StatusOK, tombstone)
	}
}

// serveWatch streams changes as JSON lines until the client disconnects or the
// history no longer covers the changes that the watch has not sent yet.
func (o *objectsAPI) serveWatch(writer http.ResponseWriter, request *http.Request) {
	since, err := queryUint(request, "since")
	if err != nil {
		writeProblem(writer, http.StatusBadRequest, "bad-since", err.Error())
		return
	}
	watch := &watch{api: o, since: since}
	if _, ok := watch.peek(); !ok {
		writeProblem(writer, http.StatusGone, "compacted", "list again")
		return
	}
	writer.Header().Set("Content-Type", "application/x-ndjson")
	encoder := json.NewEncoder(writer)
	controller := http.NewResponseController(writer)
	ticker := time.NewTicker(bookmarkInterval)
	defer ticker.Stop()
	for {
		changed := watch.changed()
		events, ok := watch.next()
		if !ok {
			return
		}
		for _, event := range events {
			if encoder.Encode(event) != nil {
				return
			}
		}
		if controller.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-ticker.C:
			if encoder.Encode(objectstore.WatchEvent{Version: watch.since}) != nil {
				return
			}
		case <-request.Context().Done():
			return
		}
	}
}

// watch is the position of one client in the change history: it has received all
// changes up to version since.
type watch struct {
	api   *objectsAPI
	since uint64
}

func (w *watch) changed() <-chan struct{} {
	w.api.mutex.Lock()
	defer w.api.mutex.Unlock()
	return w.api.changed
}

func (w *watch) peek() (events []objectstore.WatchEvent, ok bool) {
	w.api.read(func(store *objects.Store) { events, ok = store.Changes(w.since) })
	return events, ok
}

func (w *watch) next() (events []objectstore.WatchEvent, ok bool) {
	events, ok = w.peek()
	if len(events) > 0 {
		w.since = events[len(events)-1].Version
	}
	return events, ok
}
