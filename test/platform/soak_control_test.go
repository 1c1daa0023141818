package platform

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
)

// control starts, stops and signals the process of one node, also when several faults
// overlap.
type control struct {
	*node
	mu sync.Mutex
	// startCount counts the starts. running is set while the latest process runs, and done is
	// closed when it exits.
	startCount int
	running    bool
	done       chan struct{}
	exit       error
	// disturbed is set if the current process was frozen or killed, and stopRequested if it was
	// told to stop.
	disturbed, stopRequested bool
	// loggedBefore is the length of the node's log when the current process started.
	loggedBefore int
	// unexpectedExits holds exits that no fault caused.
	unexpectedExits []error
}

// errExitZero stands for an exit with status 0.
var errExitZero = errors.New("status 0")

func newControl(n *node) *control {
	c := &control{node: n}
	c.watchProcess()
	return c
}

// watchProcess tracks the process that was just started. c.mu is held, or c is not shared
// yet.
func (c *control) watchProcess() {
	c.startCount++
	c.running, c.disturbed, c.stopRequested, c.exit = true, false, false, nil
	done, ended := make(chan struct{}), c.exited
	c.done = done
	go func() {
		err := <-ended
		c.mu.Lock()
		defer c.mu.Unlock()
		c.running, c.exit = false, err
		if !c.disturbed && !c.stopRequested {
			c.unexpectedExits = append(c.unexpectedExits, fmt.Errorf("start %d: %w", c.startCount, cmp.Or(err, errExitZero)))
		}
		close(done)
	}()
}

// startIfStopped starts the process unless it is running.
func (c *control) startIfStopped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running {
		c.loggedBefore = len(c.log())
		c.start()
		c.watchProcess()
	}
}

func (c *control) signal(signal os.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		c.node.signal(signal)
	}
}

// stopByKill kills the process if it is running, and waits for its exit.
func (c *control) stopByKill() {
	c.mu.Lock()
	if !c.running {
		c.mu.Unlock()
		return
	}
	c.disturbed = true
	done := c.done
	_ = c.cmd.Process.Kill()
	c.mu.Unlock()
	<-done
}

// requestStop sends SIGTERM. It returns nil if the process is not running or was already
// told to stop.
func (c *control) requestStop() (done chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running || c.stopRequested {
		return nil
	}
	c.stopRequested = true
	c.node.signal(syscall.SIGTERM)
	return c.done
}

func (c *control) freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		c.disturbed = true
		c.node.signal(syscall.SIGSTOP)
	}
}

// endedBeforeStart reports whether the current process ended by the signal to stop before it wrote any
// line. Until the Go runtime stands a process cannot catch signals; it has no requests yet.
func (c *control) endedBeforeStart() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var exit *exec.ExitError
	if !errors.As(c.exit, &exit) || len(c.log()) > c.loggedBefore {
		return false
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signal() == syscall.SIGTERM
}

// state returns the state of the current process.
func (c *control) state() (running, disturbed, stopRequested bool, exit error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, c.disturbed, c.stopRequested, c.exit
}
