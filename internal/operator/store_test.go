package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/spec"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
	"github.com/spanlanding/spanlanding/internal/standin/httpdriver"
	"github.com/spanlanding/spanlanding/internal/standin/machines"
)

// testStore is a client of a simulated object API, which it calls over a real
// socket.
type testStore struct {
	*objectstore.Client
	test    *testing.T
	baseURL string
}

func newTestStore(t *testing.T) testStore {
	t.Helper()
	standIn := httpdriver.NewPlatform(t.Context(), httpdriver.PlatformOptions{
		Machines: machines.Options{Lag: machines.DefaultLag}, History: 10_000,
	})
	server := httptest.NewServer(standIn.Handler())
	t.Cleanup(server.Close)
	client := objectstore.NewClient(server.URL, "")
	t.Cleanup(client.Close)
	return testStore{Client: client, test: t, baseURL: server.URL}
}

func (s testStore) injectFaults(set faults.Set) {
	s.test.Helper()
	body, err := json.Marshal(set)
	if err != nil {
		s.test.Fatal(err)
	}
	response, err := http.Post(s.baseURL+faults.Path, "application/json", bytes.NewReader(body))
	if err != nil {
		s.test.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode/100 != 2 {
		s.test.Fatalf("setting faults: status %s", response.Status)
	}
}

func (s testStore) list() objectstore.ObjectList {
	s.test.Helper()
	listed, err := s.List(context.Background(), "")
	if err != nil {
		s.test.Fatal(err)
	}
	return listed
}

func (s testStore) plan(declared []spec.Declared, options PlanOptions) Plan {
	s.test.Helper()
	plan, err := NewPlan(declared, s.list().Objects, options)
	if err != nil {
		s.test.Fatal(err)
	}
	return plan
}

// declare parses YAML and fails the test if it is invalid.
func declare(t *testing.T, text string) []spec.Declared {
	t.Helper()
	set, findings := spec.Options{}.Parse("test.yaml", []byte(text))
	if err := findings.Err(); err != nil {
		t.Fatal(err)
	}
	return set.Objects()
}

const modelA = "kind: Model\nmetadata: {name: a}\nspec: {versions: [{name: v1, memory: 1GiB, checkpoint: 1GiB}]}\n"
const modelB = "kind: Model\nmetadata: {name: b}\nspec: {versions: [{name: v1, memory: 2GiB, checkpoint: 2GiB}]}\n"
const adapterOfA = "kind: Adapter\nmetadata: {name: x}\nspec: {model: a, memory: 1MiB}\n"
const separator = "---\n"
