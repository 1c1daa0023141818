// Package storelease implements a leader lease that is stored as an object with
// a revision in a linearizable store. At most one node at a time considers itself
// the holder, and each node judges that by its own monotonic clock alone:
//
//   - the holder's lease runs for Duration, counted from before it sent the write
//     that acquired or renewed the lease;
//   - another node waits for Duration plus Margin, counted from when it first saw
//     the object's newest revision, which is after that write. Only then does it
//     write, on the condition that the revision is unchanged.
//
// Each write raises the revision, so the revision of the write that acquired the
// lease, plus the token base of its era, serves as the fencing token: it
// increases from holder to holder.
//
// The store may be restored from a backup (see storepos). A record of an earlier
// era then proves nothing, since the record of a later holder may be lost. A
// holder whose lease still runs writes its record again; all other nodes,
// including the one that the record names, wait as they would for an unknown
// holder.
//
// Each node feeds a Core with what it reads from the store and from its peers, and
// asks it when to write and whether it may issue orders. The package may import
// storepos and the standard library only; it does no I/O, reads no clock and
// starts no goroutine.
package storelease
