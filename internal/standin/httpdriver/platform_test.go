package httpdriver

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
	"github.com/spanlanding/spanlanding/internal/standin/faults"
	"github.com/spanlanding/spanlanding/internal/standin/machines"
	"github.com/spanlanding/spanlanding/internal/standin/service"
)

func putObject(t *testing.T, server *httptest.Server, expected uint64, changeID string) (*http.Response, error) {
	t.Helper()
	body := encode(t, objectstore.WriteRequest{
		Object:          objectstore.Object{Kind: "Model", Name: "alarm", ChangeID: changeID},
		ExpectedVersion: expected,
	})
	return trySend(t, http.MethodPut, server.URL+PathObjects+"/Model/alarm", nil, body)
}

func mustPut(t *testing.T, server *httptest.Server, expected uint64, changeID string) {
	t.Helper()
	response, err := putObject(t, server, expected, changeID)
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("put answered %s", response.Status)
	}
}

func setFaults(t *testing.T, server *httptest.Server, set faults.Set) {
	t.Helper()
	response := send(t, http.MethodPost, server.URL+faults.Path, nil, encode(t, set))
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("faults answered %s", response.Status)
	}
}

func TestConflictNamesWhatStands(t *testing.T) {
	server := startPlatform(t, PlatformOptions{})
	mustPut(t, server, 0, "first")
	response, err := putObject(t, server, 0, "second")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var conflict objectstore.ConflictResponse
	if err := json.NewDecoder(response.Body).Decode(&conflict); err != nil {
		t.Fatal(err)
	}
	if response.StatusCode != http.StatusConflict || conflict.Current.ChangeID != "first" || conflict.Current.Version != 1 {
		t.Errorf("%s: %+v", response.Status, conflict)
	}
}

func TestLostAnswerToAWriteComesAfterTheChange(t *testing.T) {
	server := startPlatform(t, PlatformOptions{})
	setFaults(t, server, faults.Set{LoseAnswers: 1})
	if response, err := putObject(t, server, 0, "first"); err == nil {
		t.Errorf("answered %s", response.Status)
		_ = response.Body.Close()
	}
	var object objectstore.Object
	getJSON(t, server.URL+PathObjects+"/Model/alarm", &object)
	if object.ChangeID != "first" {
		t.Errorf("stored object is %+v, want the first change", object)
	}
	mustPut(t, server, 1, "second")
}

func TestDeletedObjectIsReadAsItsTombstone(t *testing.T) {
	server := startPlatform(t, PlatformOptions{})
	mustPut(t, server, 0, "first")
	response := send(t, http.MethodDelete, server.URL+PathObjects+"/Model/alarm?expected=1&changeId=gone&changedBy=operator", nil, nil)
	_ = response.Body.Close()
	var object objectstore.Object
	getJSON(t, server.URL+PathObjects+"/Model/alarm", &object)
	want := objectstore.Object{Kind: "Model", Name: "alarm", Version: 2, ChangeID: "gone", ChangedBy: "operator", Deleted: true}
	if diff := cmp.Diff(want, object); diff != "" {
		t.Error(diff)
	}
	var list objectstore.ObjectList
	getJSON(t, server.URL+PathObjects+"?kind=Model", &list)
	if len(list.Objects) != 0 || list.Version != 2 {
		t.Errorf("list %+v", list)
	}
}

func TestWatchTellsChangesAndBookmarks(t *testing.T) {
	server := startPlatform(t, PlatformOptions{})
	mustPut(t, server, 0, "first")
	response := send(t, http.MethodGet, server.URL+PathWatch+"?since=0", nil, nil)
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	next := func() (event objectstore.WatchEvent) {
		if !lines.Scan() {
			t.Fatalf("watch ended: %v", lines.Err())
		}
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			t.Fatal(err)
		}
		return event
	}
	if event := next(); event.Object == nil || event.Object.ChangeID != "first" {
		t.Errorf("first event %+v", event)
	}
	mustPut(t, server, 1, "second")
	event := next()
	for event.Object == nil {
		event = next()
	}
	if event.Version != 2 || event.Object.ChangeID != "second" {
		t.Errorf("second event %+v", event)
	}
	if diff := cmp.Diff(objectstore.WatchEvent{Version: 2}, next()); diff != "" {
		t.Error(diff)
	}
}

func TestWatchFromBeforeTheHistoryIsGone(t *testing.T) {
	server := startPlatform(t, PlatformOptions{History: 1})
	mustPut(t, server, 0, "first")
	mustPut(t, server, 1, "second")
	for since, want := range []int{http.StatusGone, http.StatusOK, http.StatusOK, http.StatusGone} {
		response := send(t, http.MethodGet, fmt.Sprintf("%s%s?since=%d", server.URL, PathWatch, since), nil, nil)
		_ = response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("since %d: %s, want %d", since, response.Status, want)
		}
	}
}

func TestCutZoneIsRefusedAndItsWatchBroken(t *testing.T) {
	server := startPlatform(t, PlatformOptions{})
	from := func(zone string) http.Header { return http.Header{faults.HeaderZone: {zone}} }
	watch := send(t, http.MethodGet, server.URL+PathWatch, from("a"), nil)
	defer func() { _ = watch.Body.Close() }()
	setFaults(t, server, faults.Set{Cuts: []faults.Cut{{From: "a", To: faults.PlatformZone}}})
	lines := bufio.NewScanner(watch.Body)
	for lines.Scan() {
	}
	if lines.Err() == nil {
		t.Error("the watch ended without a connection error")
	}
	if response, err := trySend(t, http.MethodGet, server.URL+PathObjects, from("a"), nil); err == nil {
		t.Errorf("a call from the cut zone answered %s", response.Status)
		_ = response.Body.Close()
	}
	response := send(t, http.MethodGet, server.URL+PathObjects, from("b"), nil)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Errorf("a call from another zone answered %s", response.Status)
	}
}

func TestUnknownFaultIsRefused(t *testing.T) {
	server := startPlatform(t, PlatformOptions{})
	response := send(t, http.MethodPost, server.URL+faults.Path, nil, []byte(`{"dwon":true}`))
	_ = response.Body.Close()
	if response.StatusCode != http.StatusBadRequest {
		t.Errorf("answered %s", response.Status)
	}
}

func TestMachineWhoseProcessDiedIsListedGone(t *testing.T) {
	server := startPlatform(t, PlatformOptions{
		Machines: machines.Options{Lag: time.Millisecond, Silence: time.Millisecond},
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	client := PlatformClient{URL: server.URL, HTTP: server.Client()}
	announcer := Announcer{Client: client, Machines: func() []objectstore.Machine {
		return []objectstore.Machine{{Role: "engine", Name: "engine-0", State: objectstore.MachineLive, Address: listener.Addr().String()}}
	}}
	announcer.Announce(t.Context())
	listed := func() (list objectstore.MachineList) {
		getJSON(t, server.URL+PathMachines, &list)
		return list
	}
	eventually(t, "the machine is listed", func() bool {
		list := listed()
		return len(list.Machines) == 1 && list.Machines[0].State == objectstore.MachineLive
	})
	_ = listener.Close()
	eventually(t, "the machine is gone", func() bool {
		return listed().Machines[0].State == objectstore.MachineGone
	})
}

func startService(t *testing.T, serviceTime time.Duration) (*Service, *httptest.Server) {
	t.Helper()
	created := NewService(t.Context(), service.Options{
		ServiceTime: serviceTime,
		Backend:     fleet.Backend{Name: "service-0", Zone: zone, Service: "turbines"},
	})
	server := httptest.NewServer(created.Handler())
	t.Cleanup(server.Close)
	return created, server
}

func TestServiceRunsAnyCommandAndRecordsIt(t *testing.T) {
	created, server := startService(t, time.Millisecond)
	header := http.Header{headerIdempotencyKey: {"k"}, backend.HeaderRequestID: {"r"}, backend.HeaderAttempt: {"1"}}
	response := send(t, http.MethodPatch, server.URL+"/turbines/7/yaw?to=3", header, []byte("x"))
	defer func() { _ = response.Body.Close() }()
	var answer service.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	want := service.Answer{Service: "turbines", Method: "PATCH", Path: "/turbines/7/yaw", RequestID: "r", Executed: 1}
	if diff := cmp.Diff(want, answer); diff != "" {
		t.Error(diff)
	}
	if execution := created.Book().Executions[0]; execution.Key != "k" || execution.RequestID != "r" || execution.Attempt != 1 {
		t.Errorf("recorded %+v", execution)
	}
}

func TestLostAnswerToACommandComesAfterItRan(t *testing.T) {
	created, server := startService(t, time.Millisecond)
	setFaults(t, server, faults.Set{LoseAnswers: 1})
	if response, err := trySend(t, http.MethodPost, server.URL+"/stop", nil, nil); err == nil {
		t.Errorf("answered %s", response.Status)
		_ = response.Body.Close()
	}
	if executions := created.Book().Executions; len(executions) != 1 || executions[0].Ended.IsZero() {
		t.Errorf("executions %+v", executions)
	}
}

func TestLeavingServiceRefusesBeforeItRuns(t *testing.T) {
	created, server := startService(t, time.Millisecond)
	setFaults(t, server, faults.Set{Leaving: true})
	response := send(t, http.MethodPost, server.URL+"/stop", nil, nil)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get(backend.HeaderNotRun) != "true" {
		t.Errorf("%s, %v", response.Status, response.Header)
	}
	book := created.Book()
	if len(book.Executions) != 0 || book.LeavingSince.IsZero() || created.Machine().State != objectstore.MachineLeaving {
		t.Errorf("book %+v, machine %s", book, created.Machine().State)
	}
}

func TestServiceThatIsDownRunsNothing(t *testing.T) {
	created, server := startService(t, time.Millisecond)
	setFaults(t, server, faults.Set{Down: true})
	response, err := trySend(t, http.MethodPost, server.URL+"/stop", nil, []byte(strings.Repeat("x", 10)))
	if err == nil {
		_ = response.Body.Close()
	}
	if err == nil || len(created.Book().Executions) != 0 {
		t.Errorf("error %v, executions %v", err, created.Book().Executions)
	}
}
