package waiting

import "time"

const (
	// announcedLoadError and unannouncedLoadError are the relative errors allowed for in the
	// estimated time until a model is loaded: for a load that the leader has announced, and
	// for one that has not been ordered yet.
	announcedLoadError   = 0.15
	unannouncedLoadError = 0.5
	// loadOrderDelay is the time until an unannounced load begins.
	loadOrderDelay = 250 * time.Millisecond
	// evictionTime is the assumed time for a server to finish the running requests of the
	// model that is evicted for the new one.
	evictionTime = 500 * time.Millisecond
)

// ReadinessEstimate estimates when the model that a request waits for is loaded, or a server
// accepts the request.
type ReadinessEstimate struct {
	ReadyIn time.Duration
	// Announced is set if the leader has announced the load or the server has stated when
	// it accepts requests again.
	Announced bool
	// Overdue is the time since ReadyIn of an announcement reached zero.
	Overdue time.Duration
}

// WorstCase returns a pessimistic estimate of the time until the model is ready. What is
// overdue is expected to take as long again as it is overdue.
func (e ReadinessEstimate) WorstCase() time.Duration {
	margin := unannouncedLoadError
	if e.Announced {
		margin = announcedLoadError
	}
	return time.Duration((1+margin)*float64(e.ReadyIn)) + e.Overdue
}

// retryAfter returns the time after which a refused caller should retry.
func (e ReadinessEstimate) retryAfter() time.Duration {
	return max(e.ReadyIn, e.Overdue) + retryAfterMargin
}

// OverdueTracker records since when the model of one request has been overdue.
type OverdueTracker struct {
	overdueSince time.Time
}

// Estimate returns the estimate for a model that is expected to be ready in readyIn, which is
// either announced or estimated locally.
func (t *OverdueTracker) Estimate(now time.Time, readyIn time.Duration, announced bool) ReadinessEstimate {
	if !announced || readyIn > 0 {
		t.overdueSince = time.Time{}
		return ReadinessEstimate{ReadyIn: readyIn, Announced: announced}
	}
	if t.overdueSince.IsZero() {
		t.overdueSince = now
	}
	return ReadinessEstimate{Announced: true, Overdue: now.Sub(t.overdueSince)}
}

// CopyLocation is the place from which a model's weights can be loaded fastest.
type CopyLocation int

const (
	// CopyInStore means that only the weight store has the weights.
	CopyInStore CopyLocation = iota
	// CopyOnDisk means that a server has the weights on its disk.
	CopyOnDisk
	// CopyInMemory means that a server has the weights in its memory.
	CopyInMemory
)

// LoadTimes holds the load times of a model by CopyLocation.
type LoadTimes struct {
	Store, Disk, Memory time.Duration
}

// EstimateLoad estimates the time until a model is ready whose load is not announced yet and
// can be ordered in orderableIn.
func EstimateLoad(orderableIn time.Duration, nearest CopyLocation, times LoadTimes) time.Duration {
	loadTime := times.Store
	switch nearest {
	case CopyInMemory:
		loadTime = evictionTime + times.Memory
	case CopyOnDisk:
		loadTime = evictionTime + times.Disk
	}
	return orderableIn + loadOrderDelay + loadTime
}
