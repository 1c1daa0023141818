package objectstore_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
)

// startStandIn starts the platform's stand-in, with a history of three changes for
// watches.
func startStandIn(t *testing.T) (client *objectstore.Client, setFaults func(faults.Set)) {
	t.Helper()
	standIn := httpdriver.NewPlatform(t.Context(), httpdriver.PlatformOptions{History: 3})
	server := httptest.NewServer(standIn.Handler())
	client = objectstore.NewClient(server.URL, "oslo-1")
	t.Cleanup(func() {
		client.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return client, func(set faults.Set) {
		body, err := json.Marshal(set)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.Post(server.URL+faults.Path, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
	}
}

func modelObject(name, changeID string) objectstore.Object {
	return objectstore.Object{Kind: "Model", Name: name, ChangeID: changeID, Spec: json.RawMessage(`{}`)}
}

func TestClientAgreesWithTheStandIn(t *testing.T) {
	ctx := t.Context()
	client, _ := startStandIn(t)
	first, err := client.Put(ctx, modelObject("a", "1"), 0)
	if err != nil || first.Version != 1 {
		t.Fatalf("put: %+v, %v", first, err)
	}
	if _, err := client.Put(ctx, modelObject("b/with slash", "2"), 0); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Delete(ctx, first.Key(), first.Version, "3", "op"); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Get(ctx, first.Key()); !errorx.IsOfType(err, objectstore.NotFound) {
		t.Errorf("get of a deleted object: %v", err)
	}
	if _, err := client.Delete(ctx, first.Key(), first.Version, "4", "op"); !isConflict(err) {
		t.Errorf("second delete: %v", err)
	}
	list, err := client.List(ctx, "")
	if err != nil || list.Version != 3 || len(list.Objects) != 1 || list.Objects[0].Name != "b/with slash" {
		t.Errorf("list: %+v, %v", list, err)
	}
	watch, err := client.Watch(ctx, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer watch.Close()
	for _, want := range []uint64{2, 3} {
		if event, err := watch.Next(); err != nil || event.Version != want || event.Object == nil {
			t.Errorf("event: %+v, %v", event, err)
		}
	}
	if _, err := client.Machines(ctx); err != nil {
		t.Error(err)
	}
}

func TestWatchOfWhatTheStandInCannotTellIsCompacted(t *testing.T) {
	client, _ := startStandIn(t)
	for _, changeID := range []string{"1", "2", "3", "4", "5"} {
		if _, err := client.Put(t.Context(), modelObject(changeID, changeID), 0); err != nil {
			t.Fatal(err)
		}
	}
	for name, since := range map[string]uint64{"too old": 1, "not yet reached": 99} {
		if _, err := client.Watch(t.Context(), since); !errorx.IsOfType(err, objectstore.Compacted) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestStaleReadsDoNotDecideALostWrite(t *testing.T) {
	client, setFaults := startStandIn(t)
	setFaults(faults.Set{StaleReads: true})
	first, err := client.Put(t.Context(), modelObject("a", "1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	setFaults(faults.Set{StaleReads: true, LoseAnswers: 1})
	if _, err := client.Put(t.Context(), modelObject("a", "2"), first.Version); !errorx.IsOfType(err, objectstore.Unavailable) || isConflict(err) {
		t.Errorf("with stale reads: got %v, want Unavailable", err)
	}
	setFaults(faults.Set{})
	if second, err := client.Put(t.Context(), modelObject("a", "2"), first.Version); err != nil || second.Version != 2 {
		t.Errorf("repeated write: got %+v, %v", second, err)
	}
}

func isConflict(err error) bool {
	_, found := objectstore.AsConflict(err)
	return found
}
