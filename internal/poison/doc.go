// Package poison detects poison requests (queries of death): requests that crash the servers that run
// them. Tracker counts the servers that crashed under each request, by reports of this node and of
// others, and bars a request after too many of them. A barred request is sent once more later, as a
// trial; it is cleared by a success. RecentSuccesses protects requests that many callers send
// identically. Package relay asks for the status of a request and package edge owns the tracker of a
// node and exchanges its reports with other nodes. Nothing here does I/O.
//
// It may import the standard library only.
package poison
