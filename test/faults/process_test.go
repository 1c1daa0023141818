// Package faults proves the rules of the brief on the built programs: it
// starts platform, engines, services and nodes as processes on loopback, puts
// load on them, brings faults about by signals and by the stand-ins' switches,
// and judges each run by the back ends' own books.
//
// It may import internal/lab, the stand-ins' wire types and internal/operator.
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

// long also runs the pairs of faults that take longest.
var long = flag.Bool("faults.long", false, "run the long pairs of faults too")

// patience bounds the wait for what must come; no test asserts a time but
// those that the rules themselves set.
const patience = 90 * time.Second

const pollInterval = 20 * time.Millisecond

// sideBySide bounds the fleets that run at one time, so that a fleet's own
// time limits are not spent on waiting for a processor.
const sideBySide = 3

var (
	spanlanding string
	spanlab     string
	places      = make(chan struct{}, sideBySide)
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

// process is one started program.
type process struct {
	name    string
	command *exec.Cmd
	// ended is closed once the process has ended.
	ended chan struct{}
	once  sync.Once
}

// startProcess runs a program whose output goes to a file of its name.
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
	started := &process{name: name, command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		_ = output.Close()
		close(started.ended)
	}()
	t.Cleanup(started.kill)
	return started
}

// signal sends a signal to this one process.
func (p *process) signal(t *testing.T, signal syscall.Signal) {
	t.Helper()
	if err := p.command.Process.Signal(signal); err != nil {
		t.Fatalf("%s to %s: %v", signal, p.name, err)
	}
}

// kill ends the process without warning and waits until it is gone.
func (p *process) kill() {
	p.once.Do(func() {
		if err := p.command.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			fmt.Fprintln(os.Stderr, "kill", p.name, err)
		}
		<-p.ended
	})
}

// mustRun fails the test if the process has ended by itself.
func (p *process) mustRun(t *testing.T) {
	t.Helper()
	select {
	case <-p.ended:
		t.Fatalf("%s ended with %s", p.name, p.command.ProcessState)
	default:
	}
}

// exitCode waits for the end of the process.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	select {
	case <-p.ended:
		return p.command.ProcessState.ExitCode()
	case <-time.After(patience):
		t.Fatalf("%s has not ended", p.name)
		return -1
	}
}

// eventually polls until the condition holds.
func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain: %s", what)
		}
	}
}
