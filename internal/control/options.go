package control

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// Settings are the times and bounds of the core; none of the times bears on
// safety.
type Settings struct {
	Leadership leadership.Settings
	Placement  placement.Settings
	// TakeoverDelay is how long a node waits, once it finds that it should
	// lead, before it acts.
	TakeoverDelay time.Duration
	// LeaderTimeout is how long a leader may be silent before the next node
	// takes over.
	LeaderTimeout time.Duration
	// BusyPollInterval and PollIdle are the times between two reads of an engine
	// while something loads, waits or was ordered, and else.
	BusyPollInterval time.Duration
	IdlePollInterval time.Duration
	// HeartbeatInterval is the longest time between two publications of a table.
	HeartbeatInterval time.Duration
	// ReportInterval is the least time between two publications of a table of
	// which only load reports changed.
	ReportInterval time.Duration
	// RemoteReportInterval and FarHeartbeat are those for other zones.
	RemoteReportInterval    time.Duration
	RemoteHeartbeatInterval time.Duration
	// PullInterval is the time between two repairs of the tables.
	PullInterval time.Duration
	// GoneTimeout is how long an engine must have been silent, once the machine
	// list calls it gone, until it counts as gone.
	GoneTimeout time.Duration
	// RefusalGracePeriod is how long a model must have been wanted in vain until the
	// nodes that wait are refused.
	RefusalGracePeriod time.Duration
	// DecideInterval is the time between two decisions on allotments.
	DecideInterval time.Duration
}

// DefaultSettings returns the settings used outside tests.
func DefaultSettings() Settings {
	return Settings{
		Leadership:              leadership.DefaultSettings(),
		Placement:               placement.DefaultSettings(),
		TakeoverDelay:           300 * time.Millisecond,
		LeaderTimeout:           3 * time.Second,
		BusyPollInterval:        100 * time.Millisecond,
		IdlePollInterval:        time.Second,
		HeartbeatInterval:       time.Second,
		ReportInterval:          500 * time.Millisecond,
		RemoteReportInterval:    5 * time.Second,
		RemoteHeartbeatInterval: 5 * time.Second,
		PullInterval:            2 * time.Second,
		GoneTimeout:             5 * time.Second,
		RefusalGracePeriod:      3 * time.Second,
		DecideInterval:          time.Second,
	}
}

// Defects are planted faults. Only tests and the simulator set them.
type Defects struct {
	// NoFence sends orders under the fence that the engine shows.
	NoFence bool
	// NoConservativeCount counts engines that are not held as empty.
	NoConservativeCount bool
	// NoVerify counts engines by the inventory of their grant alone.
	NoVerify bool
	// NoConfirmBeforeRaise raises a limit before the zone that gave it up has
	// confirmed.
	NoConfirmBeforeRaise bool
	// StaleAllotment claims without learning the record anew.
	StaleAllotment bool
}

// Options make a core.
type Options struct {
	Self   fleet.NodeName
	Zone   fleet.Zone
	BootID uint64
	// Seed drives the choice of peers to repair from.
	Seed     uint64
	Settings Settings
	Defects  Defects
}
