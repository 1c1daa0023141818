package backendconn

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// A peer that lost its power says nothing, and an open connection may go silent while
// new ones work. Such a connection is given up after DeadPeerTimeout: one that rests or
// waits for an answer by probes that nobody acknowledges, and one with bytes under way,
// on which no probes are sent, by the time that they stay unacknowledged. Callers of a
// stream wait for some five seconds before they leave, and come back only if they are
// told that it broke off.
const (
	DeadPeerTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval

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
		Control: func(_, _ string, raw syscall.RawConn) error { return setDelivery(raw, DeadPeerTimeout) },
	}
}

// setDelivery bounds how long the kernel goes on to deliver what nobody acknowledges.
func setDelivery(raw syscall.RawConn, within time.Duration) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(within.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// SetDeliveryTimeout bounds how long the kernel goes on to deliver what the next request writes, also
// where this process is killed meanwhile and resets nothing: however it ends, the kernel resets the
// connection then. It holds until the connection is kept for another request.
func (c *Conn) SetDeliveryTimeout(within time.Duration) {
	if c.deliverWithin(max(within, time.Millisecond)) {
		c.isLimited = true
		c.linger(0)
	}
}

// linger sets for how many seconds the kernel goes on to deliver after a close; 0 resets the
// connection, and below 0 is as long as the kernel likes.
func (c *Conn) linger(seconds int) {
	if lingers, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		// A connection that refuses the option has ended.
		_ = lingers.SetLinger(seconds)
	}
}

func (c *Conn) deliverWithin(within time.Duration) bool {
	owner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := owner.SyscallConn()
	return err == nil && setDelivery(raw, within) == nil
}
