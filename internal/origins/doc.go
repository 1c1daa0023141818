// Package origins remembers where resumable streams began: the service and the software version whose
// servers wrote their first events. What two versions write does not fit together, so a stream that its
// caller resumes at any node must go on at the version that began it. Table holds the origins that one
// node knows, and Keepers chooses the other nodes that hold a copy. Package relay asks for origins, and
// package edge exchanges them between nodes. Nothing here does I/O.
//
// It may import inventory, the standard library and xxhash only.
package origins
