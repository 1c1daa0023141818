package backendconn

import (
	"net"
	"syscall"
)

// isReusable reports whether an idle connection is open and has nothing to read: bytes that arrived
// while no request was in flight belong to no request.
func isReusable(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, _, recvErr := syscall.Recvfrom(int(descriptor), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}
