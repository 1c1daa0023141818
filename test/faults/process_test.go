// Package faults tests the system's rules on the built programs. It starts the platform,
// engines, services and nodes as processes on loopback addresses, puts load on them,
// injects faults by signals and by the fault switches of the stand-ins, and checks each
// run against the books that the back ends keep.
//
// It may import internal/lab, the wire types of the stand-ins and internal/operator.
package faults

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// long also enables the slowest tests of two concurrent faults.
var long = flag.Bool("faults.long", false, "run the long pairs of faults too")

// waitTimeout bounds the wait for an expected event. No test asserts a duration other
// than those that the rules themselves set.
const waitTimeout = 90 * time.Second

const pollInterval = 20 * time.Millisecond

// maxParallelFleets bounds the number of fleets that run at the same time, so that a
// fleet does not exceed its own time limits while it waits for a processor.
const maxParallelFleets = 3

var (
	spanlanding string
	spanlab     string
	fleetSlots  = make(chan struct{}, maxParallelFleets)
)

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	folder, err := os.MkdirTemp("", "spanlanding-faults")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(folder) }()
	spanlanding, spanlab = filepath.Join(folder, "spanlanding"), filepath.Join(folder, "spanlab")
	build := exec.Command("go", "build", "-o", folder, "./cmd/spanlanding", "./cmd/spanlab")
	build.Dir = projectRoot
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	return m.Run()
}

const projectRoot = "../.."

// process is a started program.
type process struct {
	name    string
	command *exec.Cmd
	// exited is closed once the process has exited.
	exited chan struct{}
	once   sync.Once
}

// startProcess starts a program and appends its output to a log file named after it.
func startProcess(t *testing.T, folder, name, program string, arguments ...string) *process {
	t.Helper()
	output, err := os.OpenFile(filepath.Join(folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program, arguments...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	started := &process{name: name, command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(started.exited)
	}()
	t.Cleanup(started.kill)
	return started
}

// signal sends a signal to this process only.
func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatalf("%s to %s: %v", signal, p.name, err)
	}
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() {
	p.once.Do(func() {
		if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			fmt.Fprintln(os.Stderr, "kill", p.name, err)
		}
		<-p.exited
	})
}

// requireRunning fails the test if the process has exited.
func (p *process) requireRunning(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
		t.Fatalf("%s exited unexpectedly: %s", p.name, p.command.ProcessState)
	default:
	}
}

// exitCode waits until the process exits and returns its exit code.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.exited:
		return p.command.ProcessState.ExitCode()
	case <-time.After(waitTimeout):
		t.Fatalf("%s has not exited", p.name)
		return -1
	}
}

// eventually polls until the condition holds, and fails the test after waitTimeout.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}
