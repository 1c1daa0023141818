package objectstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
)

// fakeStore is a minimal object API that can lose requests and responses of writes.
type fakeStore struct {
	mutex   sync.Mutex
	version uint64
	objects map[Key]Object
	writes  int
	zones   map[string]bool
	// fault handles the next write in place of the store.
	fault func(store *fakeStore, writer http.ResponseWriter, apply func() (Object, *ConflictResponse))
	// unreadable makes reads fail.
	unreadable bool
}

func startStore(t *testing.T) (*fakeStore, *Client) {
	t.Helper()
	store := &fakeStore{objects: make(map[Key]Object), zones: make(map[string]bool)}
	server := httptest.NewServer(store)
	client := NewClient(server.URL, "oslo-1")
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return store, client
}

func (s *fakeStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.zones[request.Header.Get(ZoneHeader)] = true
	key := Key{Kind: "Model", Name: "report"}
	switch request.Method {
	case http.MethodGet:
		s.get(writer, key)
	case http.MethodPut:
		var write WriteRequest
		_ = json.NewDecoder(request.Body).Decode(&write)
		s.write(writer, write)
	case http.MethodDelete:
		query := request.URL.Query()
		expected, _ := strconv.ParseUint(query.Get("expected"), 10, 64)
		s.write(writer, WriteRequest{ExpectedVersion: expected, Object: Object{
			Kind: key.Kind, Name: key.Name, ChangeID: query.Get("changeId"), ChangedBy: query.Get("changedBy"), Deleted: true,
		}})
	}
}

func (s *fakeStore) get(writer http.ResponseWriter, key Key) {
	object, found := s.objects[key]
	switch {
	case s.unreadable:
		writer.WriteHeader(http.StatusServiceUnavailable)
	case !found:
		writer.WriteHeader(http.StatusNotFound)
	default:
		_ = json.NewEncoder(writer).Encode(object)
	}
}

func (s *fakeStore) write(writer http.ResponseWriter, write WriteRequest) {
	s.writes++
	apply := func() (Object, *ConflictResponse) { return s.apply(write) }
	if fault := s.fault; fault != nil {
		s.fault = nil
		fault(s, writer, apply)
		return
	}
	written, conflict := apply()
	if conflict != nil {
		writer.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(writer).Encode(conflict)
		return
	}
	_ = json.NewEncoder(writer).Encode(written)
}

func (s *fakeStore) apply(write WriteRequest) (Object, *ConflictResponse) {
	current := s.objects[write.Object.Key()]
	matches := current.Version == write.ExpectedVersion || write.ExpectedVersion == 0 && current.Deleted
	if !matches {
		return Object{}, &ConflictResponse{Current: current}
	}
	s.version++
	write.Object.Version = s.version
	s.objects[write.Object.Key()] = write.Object
	return write.Object, nil
}

// loseResponse applies the write and closes the connection.
func loseResponse(_ *fakeStore, _ http.ResponseWriter, apply func() (Object, *ConflictResponse)) {
	apply()
	panic(http.ErrAbortHandler)
}

// loseRequest closes the connection without applying the write.
func loseRequest(*fakeStore, http.ResponseWriter, func() (Object, *ConflictResponse)) {
	panic(http.ErrAbortHandler)
}

// loseResponseThenOverwrite applies the write, then another writer's, and closes the connection.
func loseResponseThenOverwrite(store *fakeStore, _ http.ResponseWriter, apply func() (Object, *ConflictResponse)) {
	written, _ := apply()
	_, _ = store.apply(WriteRequest{ExpectedVersion: written.Version, Object: model("other")})
	panic(http.ErrAbortHandler)
}

// overwriteFirst applies another writer's write first, and closes the connection.
func overwriteFirst(store *fakeStore, _ http.ResponseWriter, apply func() (Object, *ConflictResponse)) {
	current := store.objects[model("").Key()]
	_, _ = store.apply(WriteRequest{ExpectedVersion: current.Version, Object: model("other")})
	apply()
	panic(http.ErrAbortHandler)
}

func respondBadGateway(_ *fakeStore, writer http.ResponseWriter, apply func() (Object, *ConflictResponse)) {
	apply()
	writer.WriteHeader(http.StatusBadGateway)
}

func model(changeID string) Object {
	return Object{Kind: "Model", Name: "report", ChangeID: changeID, ChangedBy: changeID}
}

func TestLostAnswersOfWritesAreResolvedByReadingBack(t *testing.T) {
	type outcome string
	const (
		applied  outcome = "applied"
		conflict outcome = "conflict"
		unknown  outcome = "unknown"
	)
	cases := []struct {
		name       string
		fault      func(*fakeStore, http.ResponseWriter, func() (Object, *ConflictResponse))
		unreadable bool
		expected   uint64
		want       outcome
	}{
		{"response received", nil, false, 1, applied},
		{"response lost", loseResponse, false, 1, applied},
		{"gateway failed after the write", respondBadGateway, false, 1, applied},
		{"request lost", loseRequest, false, 1, unknown},
		{"response lost and reads fail", loseResponse, true, 1, unknown},
		{"another write before", overwriteFirst, false, 1, conflict},
		{"another write after", loseResponseThenOverwrite, false, 1, conflict},
		{"wrong expected version", nil, false, 9, conflict},
	}
	writes := map[string]func(context.Context, *Client, uint64) (Object, error){
		"put": func(ctx context.Context, client *Client, expected uint64) (Object, error) {
			return client.Put(ctx, model("mine"), expected)
		},
		"delete": func(ctx context.Context, client *Client, expected uint64) (Object, error) {
			return client.Delete(ctx, model("").Key(), expected, "mine", "mine")
		},
	}
	for verb, write := range writes {
		for _, testCase := range cases {
			t.Run(verb+" "+testCase.name, func(t *testing.T) {
				store, client := startStore(t)
				if _, err := client.Put(t.Context(), model("first"), 0); err != nil {
					t.Fatal(err)
				}
				store.writes = 0
				store.fault = testCase.fault
				store.unreadable = testCase.unreadable
				written, err := write(t.Context(), client, testCase.expected)
				got := unknown
				if _, found := AsConflict(err); found {
					got = conflict
				} else if err == nil && written.ChangeID == "mine" && written.Version > 1 {
					got = applied
				} else if !errorx.IsOfType(err, Unavailable) {
					t.Fatalf("object %+v, error %v", written, err)
				}
				if got != testCase.want {
					t.Errorf("got %s (%v), want %s", got, err, testCase.want)
				}
				if store.writes != 1 {
					t.Errorf("%d writes were sent, want 1", store.writes)
				}
			})
		}
	}
}

func TestConflictNamesWhoWon(t *testing.T) {
	_, client := startStore(t)
	if _, err := client.Put(t.Context(), model("winner"), 0); err != nil {
		t.Fatal(err)
	}
	_, err := client.Put(t.Context(), model("loser"), 0)
	conflict, found := AsConflict(err)
	if !found || conflict.Current.ChangedBy != "winner" || conflict.Current.Version != 1 {
		t.Errorf("got %v", err)
	}
}

func TestAWriteMadeTwiceTakesEffectOnce(t *testing.T) {
	store, client := startStore(t)
	store.fault = loseResponse
	store.unreadable = true
	if _, err := client.Put(t.Context(), model("mine"), 0); !errorx.IsOfType(err, Unavailable) {
		t.Fatalf("got %v", err)
	}
	store.unreadable = false
	written, err := client.Put(t.Context(), model("mine"), 0)
	if err != nil || written.Version != 1 || store.version != 1 {
		t.Errorf("got %+v, %v at store version %d", written, err, store.version)
	}
}

func TestWriteIsReadBackWhenItsTimeRunsOut(t *testing.T) {
	store, client := startStore(t)
	release := make(chan struct{})
	store.fault = func(store *fakeStore, _ http.ResponseWriter, apply func() (Object, *ConflictResponse)) {
		apply()
		store.mutex.Unlock()
		<-release
		store.mutex.Lock()
	}
	defer close(release)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if written, err := client.Put(ctx, model("mine"), 0); err != nil || written.Version != 1 {
		t.Errorf("got %+v, %v", written, err)
	}
}

func TestWhatWasNeverSentIsToldApart(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := server.Listener.Addr().String()
	server.Close()
	_, err := NewClient(address, "oslo-1").Put(t.Context(), model("mine"), 0)
	if !errorx.IsOfType(err, NotSent) || !errorx.IsOfType(err, Unavailable) {
		t.Errorf("got %v", err)
	}
}

func TestGetTellsDeletedFromUnavailable(t *testing.T) {
	store, client := startStore(t)
	for name, prepare := range map[string]func(){
		"none": func() {},
		"deleted": func() {
			store.objects[model("").Key()] = Object{Kind: "Model", Name: "report", Version: 4, Deleted: true}
		},
	} {
		prepare()
		if _, err := client.Get(t.Context(), model("").Key()); !errorx.IsOfType(err, NotFound) {
			t.Errorf("%s: got %v", name, err)
		}
	}
	store.unreadable = true
	if _, err := client.Get(t.Context(), model("").Key()); !errorx.IsOfType(err, Unavailable) {
		t.Errorf("got %v", err)
	}
	if !store.zones["oslo-1"] || len(store.zones) != 1 {
		t.Errorf("got calls from zones %v, want oslo-1", store.zones)
	}
}

func TestWatchReadsEventsUntilItBreaksOff(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Query().Get("since") != "7" {
			writer.WriteHeader(http.StatusGone)
			return
		}
		_, _ = fmt.Fprint(writer, `{"version":8,"object":{"kind":"Model","name":"report","version":8}}`+"\n"+`{"version":9}`+"\n"+`{"vers`)
	}))
	defer server.Close()
	client := NewClient(server.URL, "oslo-1")
	if _, err := client.Watch(t.Context(), 3); !errorx.IsOfType(err, Compacted) {
		t.Errorf("got %v", err)
	}
	watch, err := client.Watch(t.Context(), 7)
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Close()
	first, firstErr := watch.Next()
	second, secondErr := watch.Next()
	if err := errors.Join(firstErr, secondErr); err != nil {
		t.Fatal(err)
	}
	if first.Object == nil || first.Object.Version != 8 || second.Object != nil || second.Version != 9 {
		t.Errorf("got %+v, %+v", first, second)
	}
	if event, err := watch.Next(); !errorx.IsOfType(err, Unavailable) {
		t.Errorf("got %+v, %v for an incomplete line", event, err)
	}
}
