// Package hangup catches SIGHUP from the initialization of the program on. Until a handler is
// registered, the signal terminates the process: a node that is told to reload its settings while it
// starts would end. Earlier than its initialization a process cannot catch it; its parent may start it
// with the signal ignored.
//
// It imports nothing but the standard library's signal handling, so that it is initialized before most
// other packages. Programs that do not reload anything call Release.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds one pending signal: several in a row ask for the same.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel that receives SIGHUP, including one received before this call.
func Signals() <-chan os.Signal { return signals }

// Release restores the default action of SIGHUP, which terminates the process.
func Release() { signal.Stop(signals) }
