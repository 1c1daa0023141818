package waiting

import "time"

const (
	// announcedError and guessedError are by how much the time until a model is there
	// may be wrong, in parts of it: of a load that the leader has announced, and of one
	// that nobody has begun.
	announcedError = 0.15
	guessedError   = 0.5
	// orderTime is what passes before a load begins that nobody has announced.
	orderTime = 250 * time.Millisecond
	// swapTime is taken for a server to finish the runs of the model that makes
	// room.
	swapTime = 500 * time.Millisecond
)

// ReadinessEstimate is when a model that a request waits for, or a server that takes it, is
// expected to be there.
type ReadinessEstimate struct {
	ReadyIn time.Duration
	// Announced is set where the leader has announced the load, or the server told when.
	Announced bool
	// Overdue is how long ago it should have been there.
	Overdue time.Duration
}

// WorstCase is the time until the model is there, as long as it may well become. What is
// overdue is expected to take as long again.
func (e ReadinessEstimate) WorstCase() time.Duration {
	share := guessedError
	if e.Announced {
		share = announcedError
	}
	return time.Duration((1+share)*float64(e.ReadyIn)) + e.Overdue
}

// returnIn is when somebody who is sent away is to come back.
func (e ReadinessEstimate) returnIn() time.Duration { return max(e.ReadyIn, e.Overdue) + refusalMargin }

// OverdueTracker notes for one request since when its model is overdue.
type OverdueTracker struct {
	overdueSince time.Time
}

// Estimate takes the time until the model is there, as announced or guessed.
func (w *OverdueTracker) Estimate(now time.Time, readyIn time.Duration, announced bool) ReadinessEstimate {
	if !announced || readyIn > 0 {
		w.overdueSince = time.Time{}
		return ReadinessEstimate{ReadyIn: readyIn, Announced: announced}
	}
	if w.overdueSince.IsZero() {
		w.overdueSince = now
	}
	return ReadinessEstimate{Announced: true, Overdue: now.Sub(w.overdueSince)}
}

// CopyLocation is where the weights nearest to a free place lie.
type CopyLocation int

const (
	// CopyInStore are weights in the weight store alone.
	CopyInStore CopyLocation = iota
	// CopyOnDisk are weights on some server's disk.
	CopyOnDisk
	// CopyInMemory are weights in some server's memory.
	CopyInMemory
)

// LoadTimes are a model's, by where its weights lie.
type LoadTimes struct {
	Store, Disk, Memory time.Duration
}

// EstimateLoad is the time of a load that nobody has announced yet, and that can be ordered in
// ordersIn.
func EstimateLoad(ordersIn time.Duration, nearest CopyLocation, times LoadTimes) time.Duration {
	takes := times.Store
	switch nearest {
	case CopyInMemory:
		takes = swapTime + times.Memory
	case CopyOnDisk:
		takes = swapTime + times.Disk
	}
	return ordersIn + orderTime + takes
}
