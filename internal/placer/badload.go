package placer

import (
	"time"
)

const (
	// loadCrashLimit is the number of servers that may crash while loading a model before loads
	// of that model are paused. Each further load would crash one more server.
	loadCrashLimit = 3
	// loadCrashWindow is the period within which these crashes are counted.
	loadCrashWindow = 2 * time.Minute
	// simultaneousLossWindow is the period within which lost servers count as one crash: the
	// entries of servers that crash together disappear within about one heartbeat, which is a
	// second.
	simultaneousLossWindow = 1500 * time.Millisecond
	// initialLoadPause is how long loads of the model are paused the first time. Each further
	// pause is twice as long, up to maxLoadPause.
	initialLoadPause = 30 * time.Second
	maxLoadPause     = 10 * time.Minute
)

// loadCrashes tracks the servers of a service that crashed while loading one model.
type loadCrashes struct {
	// crashedAt holds the times of the crashes; simultaneous ones are recorded once.
	crashedAt []time.Time
	// pausedUntil is when loads of the model resume, and pause the length of the last pause.
	pausedUntil time.Time
	pause       time.Duration
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// recordServerLoss is called when a server disappears. If the server had accepted the load of a
// model and had not announced that it would shut down, the load counts as a possible cause.
func (c *Core) recordServerLoss(now time.Time, s *server) {
	if s.loading == nil || s.pendingOrder != nil || s.info.Draining {
		return
	}
	key := modelKey{s.info.Service, s.loading.model}
	crashes := c.loadCrashes[key]
	if crashes == nil {
		crashes = &loadCrashes{}
		c.loadCrashes[key] = crashes
	}
	crashes.record(now)
}

// record counts a crash, and pauses loads of the model once there are too many.
func (l *loadCrashes) record(now time.Time) {
	count := len(l.crashedAt)
	if count > 0 && now.Sub(l.crashedAt[count-1]) < simultaneousLossWindow {
		return
	}
	l.crashedAt = append(l.crashedAt, now)
	for now.Sub(l.crashedAt[0]) > loadCrashWindow {
		l.crashedAt = l.crashedAt[1:]
	}
	if len(l.crashedAt) < loadCrashLimit {
		return
	}
	l.pause = min(max(initialLoadPause, 2*l.pause), maxLoadPause)
	l.pausedUntil = now.Add(l.pause)
	// After the pause, a single further crash pauses loads again.
	l.crashedAt = l.crashedAt[len(l.crashedAt)-loadCrashLimit+1:]
}

// isLoadPaused reports whether loads of the model are paused because they crashed servers.
func (c *Core) isLoadPaused(now time.Time, service, model string) bool {
	crashes := c.loadCrashes[modelKey{service, model}]
	return crashes != nil && now.Before(crashes.pausedUntil)
}
