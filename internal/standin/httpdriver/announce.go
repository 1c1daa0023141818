package httpdriver

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/spanlanding/spanlanding/internal/objectstore"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 2 * time.Second
)

// Announcer sends the heartbeats of the machines that a process simulates.
type Announcer struct {
	Client   PlatformClient
	Machines func() []objectstore.Machine
	// OnError is called with the error of each failed heartbeat; it may be nil.
	OnError func(error)
}

// Run sends a heartbeat immediately and then at a fixed interval until the
// context ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		a.Announce(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announce sends one heartbeat.
func (a *Announcer) Announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	err := a.Client.ReportMachines(ctx, MachineReport{Machines: a.Machines()})
	if err != nil && a.OnError != nil && !errors.Is(err, context.Canceled) {
		a.OnError(err)
	}
}

func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}
