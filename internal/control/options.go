package control

import (
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/leadership"
	"github.com/spanlanding/spanlanding/internal/placement"
)

// Settings are the intervals and timeouts of the core. None of the durations
// affects safety.
type Settings struct {
	Leadership leadership.Settings
	Placement  placement.Settings
	// TakeoverDelay is how long a node waits after it finds that it should lead
	// before it starts to.
	TakeoverDelay time.Duration
	// LeaderTimeout is how long a leader may go without publishing its table
	// before the next node takes over.
	LeaderTimeout time.Duration
	// CedeDelay is how long a leader reaches no engine before it lets another node lead.
	CedeDelay time.Duration
	// BusyPollInterval is the time between two reads of an engine while a model
	// is loading, requests wait or an order was just sent; IdlePollInterval
	// applies otherwise.
	BusyPollInterval time.Duration
	IdlePollInterval time.Duration
	// HeartbeatInterval is the maximum time between two publications of a table.
	HeartbeatInterval time.Duration
	// ReportInterval is the minimum time between two publications of a table in
	// which only load reports changed.
	ReportInterval time.Duration
	// RemoteReportInterval and RemoteHeartbeatInterval are the same limits for
	// publications to other zones.
	RemoteReportInterval    time.Duration
	RemoteHeartbeatInterval time.Duration
	// PullInterval is the minimum time between two pulls of missing or stale
	// tables.
	PullInterval time.Duration
	// GoneTimeout is how long an engine that the machine list calls gone must
	// leave requests unanswered before the core treats it as gone.
	GoneTimeout time.Duration
	// RefusalGracePeriod is how long a model must have been wanted without
	// success before the waiting nodes are refused.
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
		CedeDelay:               2 * time.Second,
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

// Defects are deliberately injected faults. Only tests and the simulator set
// them.
type Defects struct {
	// NoFence sends orders under the fence that the engine reports instead of
	// the round's.
	NoFence bool
	// NoConservativeCount counts unclaimed engines as empty.
	NoConservativeCount bool
	// NoVerify trusts the inventory of an engine's grant without reading it
	// again.
	NoVerify bool
	// NoConfirmBeforeRaise raises a zone's limit before the zone that gave the
	// replica up has confirmed its own lower limit.
	NoConfirmBeforeRaise bool
	// StaleAllotment claims engines without reading the current record first.
	StaleAllotment bool
}

// Options configure a Core.
type Options struct {
	Self   fleet.NodeName
	Zone   fleet.Zone
	BootID uint64
	// Seed drives the choice of peers to pull tables from.
	Seed     uint64
	Settings Settings
	Defects  Defects
}
