// Package delivery tells whether a TCP connection delivered what was written to it. A reset is reported to one
// system call on the socket only: if a write gets it, the next read finds an end of the stream, as after an
// orderly close. Packages backendconn and backend ask before they take the end of a connection for the end of a
// response.
//
// Apart from the standard library it may import errorx and golang.org/x/sys.
package delivery
