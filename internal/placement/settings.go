package placement

import "time"

// Settings bound and weigh the decisions.
type Settings struct {
	// StoreLoadsPerSecond and StoreConcurrency are what the weight store
	// gives to the whole fleet.
	StoreLoadsPerSecond float64
	StoreConcurrency    int
	// LoadTimeout bounds a load; one that takes longer is ended and tried on
	// another engine.
	LoadTimeout time.Duration
	// WantLifetime is how long a want holds without being repeated.
	WantLifetime time.Duration
	// KeepAlive is used for models whose idle times are not yet known.
	KeepAlive time.Duration
	// MinResidence is how long a model stays at least; it doubles with each
	// load of the model within ThrashWindow.
	MinResidence time.Duration
	ThrashWindow time.Duration
	// UnansweredOrderTimeout is when an order without an answer asks for a new round.
	UnansweredOrderTimeout time.Duration
	// WaitingPerReplica is the queue at which one more replica is wanted.
	WaitingPerReplica int
}

// DefaultSettings returns the settings used where none are declared.
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
