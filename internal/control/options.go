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
	// TakeoverWait is how long a node waits, once it finds that it should
	// lead, before it acts.
	TakeoverWait time.Duration
	// LeaderSilence is how long a leader may be silent before the next node
	// takes over.
	LeaderSilence time.Duration
	// PollBusy and PollIdle are the times between two reads of an engine
	// while something loads, waits or was ordered, and else.
	PollBusy time.Duration
	PollIdle time.Duration
	// Heartbeat is the longest time between two publications of a table.
	Heartbeat time.Duration
	// ReportInterval is the least time between two publications of a table of
	// which only load reports changed.
	ReportInterval time.Duration
	// FarReportInterval and FarHeartbeat are those for other zones.
	FarReportInterval time.Duration
	FarHeartbeat      time.Duration
	// PullInterval is the time between two repairs of the tables.
	PullInterval time.Duration
	// GoneSilence is how long an engine must have been silent, once the machine
	// list calls it gone, until it counts as gone.
	GoneSilence time.Duration
	// RefusalGrace is how long a model must have been wanted in vain until the
	// nodes that wait are refused.
	RefusalGrace time.Duration
	// DecideInterval is the time between two decisions on allotments.
	DecideInterval time.Duration
}

// DefaultSettings returns the settings used outside tests.
func DefaultSettings() Settings {
	return Settings{
		Leadership:        leadership.DefaultSettings(),
		Placement:         placement.DefaultSettings(),
		TakeoverWait:      300 * time.Millisecond,
		LeaderSilence:     3 * time.Second,
		PollBusy:          100 * time.Millisecond,
		PollIdle:          time.Second,
		Heartbeat:         time.Second,
		ReportInterval:    500 * time.Millisecond,
		FarReportInterval: 5 * time.Second,
		FarHeartbeat:      5 * time.Second,
		PullInterval:      2 * time.Second,
		GoneSilence:       5 * time.Second,
		RefusalGrace:      3 * time.Second,
		DecideInterval:    time.Second,
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
	// Without turns mechanisms of placement off; only tests and the laboratory
	// set it.
	Without placement.Without
}
