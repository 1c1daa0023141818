package backendconn

import "github.com/joomcode/errorx"

var errorNamespace = errorx.NewNamespace("backendconn")

// Types of errors, by whether the request was sent.
var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errorNamespace.NewType("not_sent")
	// ErrMaybeSent means that the request may have reached the server and run there.
	ErrMaybeSent = errorNamespace.NewType("unknown")
)
