package platform

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
)

// control starts, ends and signals one node's process; faults may overlap there.
type control struct {
	*node
	mu sync.Mutex
	// startCount counts the starts; running is set while the process of the newest one is
	// there, and done closes as it ends.
	startCount int
	running    bool
	done       chan struct{}
	exit       error
	// disturbed is set where the process was frozen or killed in this life, and
	// stopRequested where it was told to stop.
	disturbed, stopRequested bool
	// unexpectedExits are ends of the process that nobody asked for.
	unexpectedExits []error
}

// errExitZero is the end of a process with status 0.
var errExitZero = errors.New("status 0")

func newControl(n *node) *control {
	c := &control{node: n}
	c.watchProcess()
	return c
}

// watchProcess takes over the process that was just started. The lock is held, or nobody
// else knows c.
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
			c.unexpectedExits = append(c.unexpectedExits, fmt.Errorf("life %d: %w", c.startCount, cmp.Or(err, errExitZero)))
		}
		close(done)
	}()
}

// startIfStopped starts the process unless it runs.
func (c *control) startIfStopped() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running {
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

// stopByKill kills the process if it runs, and waits for that.
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

// requestStop tells the process to stop. It returns nil where there is none, or it was
// told already.
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

// state is state the process of this life stands.
func (c *control) state() (running, disturbed, asked bool, exit error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, c.disturbed, c.stopRequested, c.exit
}
