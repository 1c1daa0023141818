package relay

import (
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
)

// wantedName names what the request wants, for the lines of callers who come back.
func (x *exchange) wantedName() string { return x.service + "/" + x.head.Model + "/" + x.head.Adapter }

// comeBack is when the caller is to come back, where a place is expected in ready.
func (x *exchange) comeBack(ready time.Duration) time.Duration {
	x.handler.mu.Lock()
	defer x.handler.mu.Unlock()
	return x.handler.lines.Place(clock.Now(), x.wantedName(), x.priority(), ready)
}

// comeBackSoon is when the caller of a request is to come back that nothing better is
// known of.
func (x *exchange) comeBackSoon() time.Duration {
	x.handler.mu.Lock()
	defer x.handler.mu.Unlock()
	return x.handler.lines.PlaceSoon(clock.Now(), x.wantedName(), x.priority(), clock.Until(x.deadline))
}

// retryAfter is a time as the header says it, in seconds.
func retryAfter(back time.Duration) string { return strconv.FormatFloat(back.Seconds(), 'f', 3, 64) }
