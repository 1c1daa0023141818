// Package clock is the clock by which a node decides what is still valid: leases, grants,
// information from other nodes, deadlines of callers.
//
// The monotonic clock of the standard library stops while a machine is suspended, so that a lease
// which expired in the meantime looks valid and old information looks recent. This clock continues.
// Timers and limits on work within this process stay with the standard library: a time of this
// package must not be passed to it, but the result of Until may.
//
// It may import the standard library only.
package clock

/*
#include <time.h>

static long long boottime_ns(void) {
	struct timespec now;
	if (clock_gettime(CLOCK_BOOTTIME, &now) != 0) {
		return -1;
	}
	return (long long)now.tv_sec * 1000000000LL + now.tv_nsec;
}
*/
import "C"

import (
	"sync/atomic"
	"time"
)

// origin holds both clock readings at the start of the process.
var origin = struct {
	wallTime time.Time
	boot     time.Duration
}{time.Now(), bootTime()}

// simulatedSuspension is added to readings; tests simulate suspensions of the machine with it.
var simulatedSuspension atomic.Int64

// isVirtual is set while Now follows the standard library's clock.
var isVirtual atomic.Bool

// FollowStandard makes Now follow the standard library's clock, which testing/synctest makes virtual, until
// the returned function is called. It is for tests.
func FollowStandard() (stop func()) {
	isVirtual.Store(true)
	return func() { isVirtual.Store(false) }
}

// bootTime returns the time since the machine started, including suspensions. The C library reads
// it without a system call; the standard library does not offer it.
func bootTime() time.Duration { return time.Duration(C.boottime_ns()) }

// Now returns the current time. The difference between two times of this package is the real time
// that passed, whether or not this machine was running.
func Now() time.Time {
	if isVirtual.Load() {
		return time.Now().Add(time.Duration(simulatedSuspension.Load()))
	}
	return origin.wallTime.Add(bootTime() - origin.boot + time.Duration(simulatedSuspension.Load()))
}

// Since returns the time elapsed since t, a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns the time left until t, a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// SimulateSuspend advances the clock by d at once while the standard library's does not advance, as
// a suspension of the machine does. It is for tests.
func SimulateSuspend(d time.Duration) { simulatedSuspension.Add(int64(d)) }
