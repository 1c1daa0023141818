package backendconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A peer that lost its power says nothing, and an open connection may go silent while
// new ones work. Such a connection is given up after SilenceTimeout: one that rests or
// waits for an answer by probes that nobody acknowledges, and one with bytes under way,
// on which no probes are sent, by the time that they stay unacknowledged. Callers of a
// stream wait for some five seconds before they leave, and come back only if they are
// told that it broke off.
const (
	SilenceTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval

	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer of connections that are given up where they are silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failure error
			err := raw.Control(func(descriptor uintptr) {
				failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(SilenceTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failure
		},
	}
}
