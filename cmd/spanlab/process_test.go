package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

// conditionTimeout bounds the wait for a condition that must become true; no test
// asserts a time.
const conditionTimeout = 30 * time.Second

var spanlab string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "spanlab")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	spanlab = filepath.Join(folder, "spanlab")
	if output, err := exec.Command("go", "build", "-o", spanlab, ".").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// startSpanlab starts spanlab and kills it at the end of the test. It logs the
// output of spanlab if the test failed.
func startSpanlab(t *testing.T, arguments ...string) *exec.Cmd {
	t.Helper()
	command := exec.Command(spanlab, arguments...)
	var output bytes.Buffer
	command.Stderr = &output
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if command.ProcessState == nil {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
		if t.Failed() {
			t.Logf("%v:\n%s", arguments, output.String())
		}
	})
	return command
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func waitFor(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", description)
		}
	}
}

func get(url string, into any) bool {
	response, err := http.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK && json.NewDecoder(response.Body).Decode(into) == nil
}

func post(t *testing.T, url string, body any) *http.Response {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// lab holds a simulated platform and one simulated engine, each a process.
type lab struct {
	*testing.T
	platform string
	address  string
	engine   *exec.Cmd
}

func startLab(t *testing.T) *lab {
	t.Helper()
	started := &lab{T: t, platform: freeAddress(t), address: freeAddress(t)}
	startSpanlab(t, "platform", "--listen", started.platform, "--machine-lag", "0s")
	started.engine = startSpanlab(t, "engine", "--platform", started.platform, "--zone", "a", "--name-prefix", "engine-",
		"--listen", started.address, "--load-seconds", "0.01", "--token-interval", "5ms")
	waitFor(t, "the engine is listed", func() bool { return started.machineState() == objectstore.MachineLive })
	return started
}

func (l *lab) machineState() objectstore.MachineState {
	var list objectstore.MachineList
	if !get("http://"+l.platform+"/v1/machines", &list) || len(list.Machines) == 0 {
		return ""
	}
	return list.Machines[0].State
}

func (l *lab) loadModel(model fleet.ModelVersion) {
	l.Helper()
	url := "http://" + l.address
	var state fleet.EngineState
	if !get(url+backend.PathEngineState, &state) {
		l.Fatal("the engine has no state")
	}
	claimed := post(l.T, url+backend.PathEngineClaim, backend.Claim{Fence: 1, Incarnation: state.Incarnation})
	_ = claimed.Body.Close()
	ordered := post(l.T, url+backend.PathEngineOrders, backend.Order{
		ID: "1", Fence: 1, Incarnation: state.Incarnation, Action: backend.ActionLoad, Model: model, Bytes: 1,
	})
	_ = ordered.Body.Close()
	waitFor(l.T, "the model is ready", func() bool {
		var state fleet.EngineState
		return get(url+backend.PathEngineState, &state) && state.Find(model) != nil && state.Find(model).State == fleet.LoadReady
	})
}

func TestPlannedStopEndsWhatRunsAndRefusesTheRest(t *testing.T) {
	l := startLab(t)
	l.loadModel(fleet.ModelVersion{Model: "alarm", Version: "1"})
	url := "http://" + l.address + backend.PathCompletions
	request := map[string]any{"model": "alarm@1", "prompt": "x", "stream": true, "max_tokens": 600}
	running := post(t, url, request)
	defer func() { _ = running.Body.Close() }()
	if _, err := running.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if err := l.engine.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the engine is listed as leaving", func() bool { return l.machineState() == objectstore.MachineLeaving })
	refused := post(t, url, request)
	_ = refused.Body.Close()
	if refused.StatusCode != http.StatusServiceUnavailable || refused.Header.Get(backend.HeaderNotRun) != "true" {
		t.Errorf("new request: status %s, header %v", refused.Status, refused.Header)
	}
	answer, err := io.ReadAll(running.Body)
	if err != nil || !bytes.HasSuffix(answer, []byte("data: [DONE]\n\n")) {
		t.Errorf("the running response was cut off: %v", err)
	}
	if err := l.engine.Wait(); err != nil {
		t.Errorf("the engine exited with %v", err)
	}
}

func TestPausedEngineIsNotListedAsGoneButAKilledOneIs(t *testing.T) {
	l := startLab(t)
	if err := l.engine.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	// The platform probes a machine four times in this period; each probe must
	// find it paused.
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if state := l.machineState(); state == objectstore.MachineGone {
			t.Fatal("a paused engine is listed as gone")
		}
	}
	if err := l.engine.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	_ = l.engine.Wait()
	waitFor(t, "the engine is gone", func() bool { return l.machineState() == objectstore.MachineGone })
}

func TestParseBytes(t *testing.T) {
	cases := map[string]int64{
		"80GiB": 80 << 30, "1 TiB": 1 << 40, "7": 7, "7B": 7, "3KiB": 3 << 10,
		"": -1, "GiB": -1, "-1GiB": -1, "1.5GiB": -1, "9999999TiB": -1, strconv.Itoa(1<<62) + "0": -1,
	}
	for text, want := range cases {
		got, err := parseBytes(text)
		if err != nil {
			got = -1
		}
		if got != want {
			t.Errorf("%q: got %d, want %d", text, got, want)
		}
	}
}
