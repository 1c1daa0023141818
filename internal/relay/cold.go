package relay

import (
	"context"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/coldstart"
	"github.com/spanlanding/spanlanding/internal/dispatch"
)

// ColdStarts decides what may be sent to servers that are cold, over all nodes.
type ColdStarts interface {
	// AdmitToServer asks whether a request may be sent to the server now; of several the
	// urgent ones go first, priority 0 before all.
	AdmitToServer(ctx context.Context, serverID string, priority int) ColdVerdict
}

// ColdVerdict says whether a request may be sent to a server.
type ColdVerdict struct {
	Granted bool
	// Until is until when a grant of a cold server may be used; zero for a warm one.
	Until time.Time
	// RetryIn is when a request may be granted.
	RetryIn time.Duration
}

// admitsServer asks whether the request may go to the chosen server. Where it may not the
// server is left alone for a moment.
func (x *exchange) admitsServer(choice dispatch.Choice) (verdict ColdVerdict) {
	if x.handler.options.ColdStarts == nil {
		return ColdVerdict{Granted: true}
	}
	verdict = x.handler.options.ColdStarts.AdmitToServer(x.ctx, choice.ServerID, x.priority())
	if !verdict.Granted {
		x.handler.Metrics.ColdHeld.Add(1)
		x.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.HoldBack(clock.Now(), choice.ServerID, verdict.RetryIn) })
	}
	return verdict
}

// isStillAdmitted checks right before the send: opening a connection may have taken longer
// than a grant holds, and the server may have turned cold meanwhile.
func (x *exchange) isStillAdmitted(choice dispatch.Choice, verdict ColdVerdict) bool {
	if x.handler.options.ColdStarts == nil {
		return true
	}
	now := clock.Now()
	if !verdict.Until.IsZero() && now.Before(verdict.Until) {
		return true
	}
	phase := coldstart.Warm
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { phase, _ = core.ColdPhase(now, choice.ServerID) })
	return phase == coldstart.Warm || x.admitsServer(choice).Granted
}

// noteUnreachable takes that no connection to the server comes up: it may be back, and
// cold, before its entry says so.
func (x *exchange) noteUnreachable(choice dispatch.Choice) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { core.Unreachable(clock.Now(), choice.ServerID) })
}

// isHeldByCold reports whether the request waits for servers that are cold.
func (x *exchange) isHeldByCold() (held bool) {
	x.handler.options.Dispatch.Do(func(core *dispatch.Core) { held = core.IsHeldByCold(clock.Now(), x.wanted()) })
	return held
}
