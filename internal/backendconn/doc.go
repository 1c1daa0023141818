// Package backendconn keeps connections to servers and carries one request at
// a time over each. It matches answers by their identity, so that a surplus
// answer that comes in place of the next is passed over, and it says of every
// failure whether the request may have reached the server. Nothing is ever sent
// twice by it: net/http's Transport would resend on a kept connection, which is
// why only net/http's reading and writing of heads is used here.
//
// It may import the standard library and errorx only.
package backendconn
