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
	// life counts the starts; running is set while the process of the newest one is
	// there, and done closes as it ends.
	life    int
	running bool
	done    chan struct{}
	exit    error
	// disturbed is set where the process was frozen or killed in this life, and
	// asked where it was told to stop.
	disturbed, asked bool
	// ownExits are ends of the process that nobody asked for.
	ownExits []error
}

// errEnded is the end of a process with status 0.
var errEnded = errors.New("status 0")

func newControl(n *node) *control {
	c := &control{node: n}
	c.follow()
	return c
}

// follow takes over the process that was just started. The lock is held, or nobody
// else knows c.
func (c *control) follow() {
	c.life++
	c.running, c.disturbed, c.asked, c.exit = true, false, false, nil
	done, ended := make(chan struct{}), c.ended
	c.done = done
	go func() {
		err := <-ended
		c.mu.Lock()
		defer c.mu.Unlock()
		c.running, c.exit = false, err
		if !c.disturbed && !c.asked {
			c.ownExits = append(c.ownExits, fmt.Errorf("life %d: %w", c.life, cmp.Or(err, errEnded)))
		}
		close(done)
	}()
}

// ensure starts the process unless it runs.
func (c *control) ensure() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running {
		c.start()
		c.follow()
	}
}

func (c *control) signal(signal os.Signal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running {
		c.node.signal(signal)
	}
}

// end kills the process if it runs, and waits for that.
func (c *control) end() {
	c.mu.Lock()
	if !c.running {
		c.mu.Unlock()
		return
	}
	c.disturbed = true
	done := c.done
	_ = c.process.Process.Kill()
	c.mu.Unlock()
	<-done
}

// ask tells the process to stop. It returns nil where there is none, or it was
// told already.
func (c *control) ask() (done chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running || c.asked {
		return nil
	}
	c.asked = true
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

// how is how the process of this life stands.
func (c *control) how() (running, disturbed, asked bool, exit error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, c.disturbed, c.asked, c.exit
}
