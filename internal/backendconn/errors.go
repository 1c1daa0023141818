package backendconn

import (
	"errors"
	"syscall"

	"github.com/joomcode/errorx"
)

var errorNamespace = errorx.NewNamespace("backendconn")

// Types of errors, by whether the request was sent.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errorNamespace.NewType("not_sent")
	// ErrMaybeSent means that the request may have reached the server and run there.
	ErrMaybeSent = errorNamespace.NewType("unknown")
	// ErrTooLong is an ErrMaybeSent: the server sent a longer head than is read.
	ErrTooLong = ErrMaybeSent.NewSubtype("too_long")
)

// IsRefused reports whether an error of Pool.Get says that nothing listens at the address.
func IsRefused(err error) bool {
	return errorx.IsOfType(err, ErrNotSent) && errors.Is(errorx.Cast(err).Cause(), syscall.ECONNREFUSED)
}
