package backendconn

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestDialledConnectionsAreGivenUpWhereSilent checks that the kernel is configured to end silent
// connections within three seconds, both with unacknowledged bytes in flight and idle.
func TestDialledConnectionsAreGivenUpWhereSilent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := NewDialer(time.Second).Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	options := map[int]int{}
	err = raw.Control(func(descriptor uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
			value, err := unix.GetsockoptInt(int(descriptor), unix.IPPROTO_TCP, option)
			if err != nil {
				t.Error(err)
			}
			options[option] = value
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	if unacknowledged := options[unix.TCP_USER_TIMEOUT]; unacknowledged <= 0 || unacknowledged > 3000 {
		t.Errorf("bytes may stay unacknowledged for %d ms", unacknowledged)
	}
	idleSeconds := options[unix.TCP_KEEPIDLE] + options[unix.TCP_KEEPINTVL]*options[unix.TCP_KEEPCNT]
	if idleSeconds <= 0 || idleSeconds > 3 {
		t.Errorf("an idle connection is closed after %d s", idleSeconds)
	}
}
