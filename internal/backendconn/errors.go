package backendconn

import "github.com/joomcode/errorx"

var errorNamespace = errorx.NewNamespace("backendconn")

// What an error says of the request.
var (
	// ErrNotSent says that no byte of the request left this process.
	ErrNotSent = errorNamespace.NewType("not_sent")
	// ErrMaybeSent says that the request may have run.
	ErrMaybeSent = errorNamespace.NewType("unknown")
)
