package backendconn

import (
	"net"
	"syscall"
)

// isQuiet reports whether an idle connection is open and has nothing to read:
// bytes that came while no request was under way belong to none.
func isQuiet(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failure == syscall.EAGAIN || failure == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && quiet
}
