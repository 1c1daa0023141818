package httpdriver

import (
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// PathJournal is the path at which the platform serves every change with the
// time at which it took effect. No fault affects it, so that the checkers can
// read decisions while the store is down.
const PathJournal = "/lab/journal"

// recordChange appends a change to the journal; the caller holds the mutex.
func (o *objectsAPI) recordChange(object objectstore.Object) {
	o.journal = append(o.journal, books.StoreChange{At: time.Now(), Object: object})
}

// serveJournal returns the changes after a version, oldest first.
func (o *objectsAPI) serveJournal(writer http.ResponseWriter, request *http.Request) {
	since, err := queryUint(request, "since")
	if err != nil {
		writeProblem(writer, http.StatusBadRequest, "bad-since", err.Error())
		return
	}
	changes := []books.StoreChange{}
	o.mutex.Lock()
	for _, change := range o.journal {
		if change.Object.Version > since {
			changes = append(changes, change)
		}
	}
	o.mutex.Unlock()
	writeJSON(writer, http.StatusOK, changes)
}
