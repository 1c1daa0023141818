package delivery

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"golang.org/x/sys/unix"
)

var errorNamespace = errorx.NewNamespace("delivery")

// ErrBroken reports that a connection was reset, or timed out, before all was delivered.
var ErrBroken = errorNamespace.NewType("broken")

const (
	pollInterval = time.Millisecond
	// maxPollInterval is the interval to which polls slow down while a peer does not read.
	maxPollInterval = 20 * time.Millisecond
)

// Await returns once the peer's kernel has acknowledged all that was written to the connection. The error is
// ErrBroken if the connection breaks or is closed before that, and os.ErrDeadlineExceeded at the deadline; zero
// means no deadline. A connection that is not TCP counts as delivered.
func Await(conn net.Conn, deadline time.Time) error {
	for interval := pollInterval; ; interval = min(2*interval, maxPollInterval) {
		state, err := readState(conn)
		switch {
		case err != nil:
			return err
		case state.isBroken:
			return ErrBroken.New("the connection was reset")
		case state.unacknowledged == 0:
			return nil
		case !deadline.IsZero() && !time.Now().Before(deadline):
			return os.ErrDeadlineExceeded
		}
		time.Sleep(interval)
	}
}

// IsBroken reports whether the connection was reset, has timed out, or was closed by this process.
func IsBroken(conn net.Conn) bool {
	state, err := readState(conn)
	return err != nil || state.isBroken
}

// connState is the state of a TCP connection.
type connState struct {
	// isBroken is set if neither side may send any more, though this side did not close.
	isBroken bool
	// unacknowledged is the number of bytes that were written and not acknowledged.
	unacknowledged int
}

func readState(conn net.Conn) (state connState, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return connState{}, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return connState{}, ErrBroken.Wrap(err, "access the socket")
	}
	var stateErr error
	err = raw.Control(func(descriptor uintptr) { state, stateErr = readSocket(int(descriptor)) })
	if err == nil {
		err = stateErr
	}
	if err != nil {
		return connState{}, ErrBroken.Wrap(err, "read the state of the socket")
	}
	return state, nil
}

func readSocket(descriptor int) (connState, error) {
	info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return connState{}, err
	}
	unacknowledged, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
	if err != nil {
		return connState{}, err
	}
	return connState{isBroken: info.State == unix.BPF_TCP_CLOSE, unacknowledged: unacknowledged}, nil
}
