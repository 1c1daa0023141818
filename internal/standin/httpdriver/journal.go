package httpdriver

import (
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/books"
)

// PathJournal is where the platform shows when each change took effect. No
// fault touches it, so that a judge sees decisions while the store is down.
const PathJournal = "/lab/journal"

// journalize notes a change that took effect; the caller holds the lock.
func (o *objectsAPI) journalize(object objectstore.Object) {
	o.journal = append(o.journal, books.StoreChange{At: time.Now(), Object: object})
}

// serveJournal answers the changes after a version, oldest first.
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
