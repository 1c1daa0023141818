package placement

import "time"

// Settings are the limits and weights of the placement decisions.
type Settings struct {
	// StoreLoadsPerSecond and StoreConcurrency are the weight store's limits
	// for the whole fleet.
	StoreLoadsPerSecond float64
	StoreConcurrency    int
	// LoadTimeout bounds a load; one that takes longer is canceled and retried
	// on another engine.
	LoadTimeout time.Duration
	// WantLifetime is how long a want stays valid without being renewed.
	WantLifetime time.Duration
	// KeepAlive is the idle time after which a model is unloaded where idle times are not used.
	KeepAlive time.Duration
	// MinResidence is the minimum time that a model stays loaded; it doubles with
	// each load of the model within ThrashWindow.
	MinResidence time.Duration
	ThrashWindow time.Duration
	// UnansweredOrderTimeout is the age at which an unanswered order causes a new round.
	UnansweredOrderTimeout time.Duration
	// WaitingPerReplica is the number of waiting requests for which one more replica is wanted.
	WaitingPerReplica int
}

// DefaultSettings returns the settings used unless others are given.
func DefaultSettings() Settings {
	return Settings{
		StoreLoadsPerSecond:    3,
		StoreConcurrency:       6,
		LoadTimeout:            2 * time.Minute,
		WantLifetime:           3 * time.Second,
		KeepAlive:              10 * time.Minute,
		MinResidence:           20 * time.Second,
		ThrashWindow:           10 * time.Minute,
		UnansweredOrderTimeout: 3 * time.Second,
		WaitingPerReplica:      8,
	}
}
