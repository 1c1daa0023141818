package backendconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A peer that lost power sends nothing, not even a reset, and an existing connection may become
// silent while new ones work. Such a connection is closed after DeadPeerTimeout. If it is idle or
// waits for a response, keep-alive probes that nobody acknowledges end it. If it has bytes in
// flight no probes are sent, and the time for which those stay unacknowledged ends it. Callers of a
// stream wait for some five seconds before they leave, and return only if they are told that the
// stream broke off.
const (
	DeadPeerTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval

	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveCount    = 2
)

// NewDialer returns a dialer whose connections are closed when the peer falls silent.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, DeadPeerTimeout) },
	}
}

// setUserTimeout limits how long the kernel retries to deliver data that is not acknowledged.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := raw.Control(func(descriptor uintptr) {
		sockErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// SetDeliveryTimeout limits how long the kernel retries to deliver the next request, even if this
// process is killed in the meantime and cannot reset the connection: however the process ends, the
// kernel then resets the connection. The limit holds until the connection is kept for another
// request.
func (c *Conn) SetDeliveryTimeout(timeout time.Duration) {
	if c.applyUserTimeout(max(timeout, time.Millisecond)) {
		c.hasDeliveryTimeout = true
		c.setLinger(0)
	}
}

// setLinger sets for how many seconds the kernel continues to deliver data after a close. 0 resets
// the connection, a negative value leaves the time to the kernel.
func (c *Conn) setLinger(seconds int) {
	if lingerer, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// If the option is refused, the connection has already ended.
		_ = lingerer.SetLinger(seconds)
	}
}

func (c *Conn) applyUserTimeout(timeout time.Duration) bool {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && setUserTimeout(raw, timeout) == nil
}
