package hangup

import (
	"syscall"
	"testing"
)

// TestHangupBeforeAnybodyAsksIsKept guards against a process that ends by a hangup sent while it
// starts.
func TestHangupBeforeAnybodyAsksIsKept(t *testing.T) {
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	<-Signals()
}
