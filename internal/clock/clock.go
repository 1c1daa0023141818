// Package clock is the clock by which a node decides what is still valid: leases, grants,
// what others told, deadlines of callers.
//
// The steady clock of the standard library stands still while a machine is suspended, so
// that a lease which ended meanwhile looks valid, and what was told before looks young. This
// one goes on. Timers and bounds on work of this process alone stay with the standard
// library: a time of this package must not be handed to it, but Until of one may.
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

// origin is the reading of both clocks at the start of the process.
var origin = struct {
	at   time.Time
	boot time.Duration
}{time.Now(), bootTime()}

// suspended is added to readings; tests suspend the machine by it.
var suspended atomic.Int64

// bootTime is the time since the machine started, suspensions included. It is read by the
// C library, which needs no system call for it; the standard library has no such reading.
func bootTime() time.Duration { return time.Duration(C.boottime_ns()) }

// Now is the current time. Differences of two times of this package are what has passed
// for the world, whether or not this machine was running.
func Now() time.Time {
	return origin.at.Add(bootTime() - origin.boot + time.Duration(suspended.Load()))
}

// Since is the time that has passed since t, a time of this package.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until is the time left until t, a time of this package.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// SimulateSuspend makes the clock go on by d at once, while the standard library's stands still, as
// a suspension of the machine does. It is for tests.
func SimulateSuspend(d time.Duration) { suspended.Add(int64(d)) }
