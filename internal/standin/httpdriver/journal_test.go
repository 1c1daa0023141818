package httpdriver

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/standin/books"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
)

// The journal must show a change whose answer was lost, also while the object API
// is unavailable and its reads are stale.
func TestJournalShowsWhatFaultsHide(t *testing.T) {
	created := NewPlatform(t.Context(), PlatformOptions{})
	server := httptest.NewServer(created.Handler())
	defer server.Close()
	put := func(name string) error {
		body := `{"object":{"kind":"Model","name":"` + name + `"}}`
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.URL+PathObjects+"/Model/"+name, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			response.Body.Close()
		}
		return err
	}
	if err := put("first"); err != nil {
		t.Fatal(err)
	}
	created.faults.Set(faults.Set{LoseAnswers: 1, StaleReads: true})
	if put("second") == nil {
		t.Error("the answer was not lost")
	}
	created.faults.Set(faults.Set{Unavailable: true, StaleReads: true})

	response, err := http.Get(server.URL + PathJournal + "?since=1")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var changes []books.StoreChange
	if err := json.NewDecoder(response.Body).Decode(&changes); err != nil {
		t.Fatal(err)
	}
	if len(changes) != 1 || changes[0].Object.Name != "second" || changes[0].Object.Version != 2 || changes[0].At.IsZero() {
		t.Errorf("the journal after version 1 is %+v, want only the change to version 2", changes)
	}
}
