package node

import (
	"cmp"
	"time"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/gateway"
	"github.com/spanlanding/spanlanding/internal/spec"
)

// Errors of the settings.
var (
	settingsErrors = errorx.NewNamespace("settings")
	// ErrInvalidSettings contains every finding of one settings file.
	ErrInvalidSettings = settingsErrors.NewType("invalid")
)

// Defaults of optional settings. The name, the zone, the addresses and the platform are
// required.
const (
	defaultDrainLimit      = spec.Duration(60 * time.Second)
	defaultMaxWaiting      = 2000
	defaultMaxWaitingBytes = 64 << 20
	defaultMaxBodyBytes    = 8 << 20
	defaultMaxStreams      = 4000
	defaultLoadsPerSecond  = 3
	defaultConcurrentLoads = 6
	defaultLogLevel        = "info"
	defaultProbeInterval   = spec.Duration(500 * time.Millisecond)
)

// Settings is the start-up configuration of one process.
type Settings struct {
	Name fleet.NodeName `yaml:"name" json:"name"`
	Zone fleet.Zone     `yaml:"zone" json:"zone"`
	// Listen holds IP:port pairs. The node listens on them, and callers and peers connect to
	// the same ones.
	Listen ListenSettings `yaml:"listen" json:"listen"`
	// Platform is the base URL of the object API and the machine list.
	Platform string `yaml:"platform" json:"platform"`
	// Seeds are gossip addresses of other nodes of the zone.
	Seeds []string `yaml:"seeds,omitempty" json:"seeds,omitempty"`
	// RemoteSeeds are gossip addresses of nodes of other zones.
	RemoteSeeds []string            `yaml:"remoteSeeds,omitempty" json:"remoteSeeds,omitempty"`
	Limits      LimitSettings       `yaml:"limits,omitempty" json:"limits"`
	WeightStore WeightStoreSettings `yaml:"weightStore,omitempty" json:"weightStore"`
	// ProbeInterval is the failure detector's probe interval.
	ProbeInterval spec.Duration `yaml:"probeInterval,omitempty" json:"probeInterval"`
	// DrainLimit bounds a planned stop. Requests that still run then are cut off and listed.
	DrainLimit spec.Duration `yaml:"drainLimit,omitempty" json:"drainLimit"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel,omitempty" json:"logLevel"`
}

// ListenSettings are the four addresses of a node.
type ListenSettings struct {
	Caller   string `yaml:"caller" json:"caller"`
	Operator string `yaml:"operator" json:"operator"`
	Peer     string `yaml:"peer" json:"peer"`
	Gossip   string `yaml:"gossip" json:"gossip"`
}

// LimitSettings bounds the resources of one node that callers may use.
type LimitSettings struct {
	MaxWaiting      int        `yaml:"maxWaiting,omitempty" json:"maxWaiting"`
	MaxWaitingBytes spec.Bytes `yaml:"maxWaitingBytes,omitempty" json:"maxWaitingBytes"`
	MaxBodyBytes    spec.Bytes `yaml:"maxBodyBytes,omitempty" json:"maxBodyBytes"`
	MaxStreams      int        `yaml:"maxStreams,omitempty" json:"maxStreams"`
	// HedgeAfter is how long a model request waits for its first token before it is also
	// sent to a second engine; zero disables hedging.
	HedgeAfter spec.Duration `yaml:"hedgeAfter,omitempty" json:"hedgeAfter"`
}

// WeightStoreSettings is the load that the weight store allows the whole fleet.
type WeightStoreSettings struct {
	LoadsPerSecond  float64 `yaml:"loadsPerSecond,omitempty" json:"loadsPerSecond"`
	ConcurrentLoads int     `yaml:"concurrentLoads,omitempty" json:"concurrentLoads"`
}

func (s *Settings) fillDefaults() {
	s.Limits.MaxWaiting = cmp.Or(s.Limits.MaxWaiting, defaultMaxWaiting)
	s.Limits.MaxWaitingBytes = cmp.Or(s.Limits.MaxWaitingBytes, defaultMaxWaitingBytes)
	s.Limits.MaxBodyBytes = cmp.Or(s.Limits.MaxBodyBytes, defaultMaxBodyBytes)
	s.Limits.MaxStreams = cmp.Or(s.Limits.MaxStreams, defaultMaxStreams)
	s.WeightStore.LoadsPerSecond = cmp.Or(s.WeightStore.LoadsPerSecond, defaultLoadsPerSecond)
	s.WeightStore.ConcurrentLoads = cmp.Or(s.WeightStore.ConcurrentLoads, defaultConcurrentLoads)
	s.ProbeInterval = cmp.Or(s.ProbeInterval, defaultProbeInterval)
	s.DrainLimit = cmp.Or(s.DrainLimit, defaultDrainLimit)
	s.LogLevel = cmp.Or(s.LogLevel, defaultLogLevel)
}

// addresses returns the listen addresses in the form announced to peers.
func (s Settings) addresses() fleet.Addresses {
	return fleet.Addresses{
		Caller:   s.Listen.Caller,
		Operator: s.Listen.Operator,
		Peer:     s.Listen.Peer,
		Gossip:   s.Listen.Gossip,
	}
}

// gatewayLimits converts the limits for the gateway.
func (s Settings) gatewayLimits() gateway.Limits {
	return gateway.Limits{
		MaxBodyBytes: int64(s.Limits.MaxBodyBytes),
		MaxRequests:  s.Limits.MaxStreams,
		HedgeAfter:   time.Duration(s.Limits.HedgeAfter),
	}
}
