package objectstore

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// readBackAttempts is how often the object is read after a write without a response.
	readBackAttempts = 3
	// readBackInterval is the time between these reads.
	readBackInterval = 100 * time.Millisecond
)

// Put writes an object if it is at the expected version; 0 expects no object or a
// tombstone. The object needs a ChangeID that no other write uses.
//
// It returns the object after the write. It fails with a ConflictError if another
// change came first, with NotSent if no request was sent, and with Unavailable if
// the outcome is unknown. The write is sent only once: if its response is lost, the
// object is read back in the second half of the context's time. After Unavailable the
// same write may be repeated with the same change ID: at most one takes effect.
func (c *Client) Put(ctx context.Context, object Object, expected uint64) (Object, error) {
	if object.ChangeID == "" {
		return Object{}, Rejected.New("write without a change ID")
	}
	var written Object
	request := WriteRequest{Object: object, ExpectedVersion: expected}
	writeCtx, cancel := withHalfTimeout(ctx)
	defer cancel()
	err := c.call(writeCtx, http.MethodPut, objectPath(object.Key()), nil, request, &written)
	return c.resolveOutcome(ctx, object, expected, written, err)
}

// Delete deletes an object if it is at the expected version, and returns its
// tombstone. The errors are those of Put.
func (c *Client) Delete(ctx context.Context, key Key, expected uint64, changeID, changedBy string) (Object, error) {
	if changeID == "" {
		return Object{}, Rejected.New("write without a change ID")
	}
	query := url.Values{
		"expected":  {formatVersion(expected)},
		"changeId":  {changeID},
		"changedBy": {changedBy},
	}
	var tombstone Object
	writeCtx, cancel := withHalfTimeout(ctx)
	defer cancel()
	err := c.call(writeCtx, http.MethodDelete, objectPath(key), query, nil, &tombstone)
	intended := Object{Kind: key.Kind, Name: key.Name, ChangeID: changeID, Deleted: true}
	return c.resolveOutcome(ctx, intended, expected, tombstone, err)
}

// resolveOutcome determines the outcome of a write. A conflict with the write's own
// change ID is a success: the platform or a proxy sent the request twice.
func (c *Client) resolveOutcome(ctx context.Context, intended Object, expected uint64, written Object, err error) (Object, error) {
	if err == nil {
		return written, nil
	}
	if conflict, found := AsConflict(err); found {
		if conflict.Current.ChangeID == intended.ChangeID {
			return conflict.Current, nil
		}
		return Object{}, err
	}
	if errorx.IsOfType(err, NotSent) || !errorx.IsOfType(err, Unavailable) {
		return Object{}, err
	}
	return c.readBack(ctx, intended, expected, err)
}

// readBack determines the outcome of a write with a lost response by reading the object.
//
//   - It has the change ID: the write was applied.
//   - It has a higher version than the expected one: another change came before or
//     after the write. Versions of one object increase, so the write cannot be applied
//     any more. Whether it was applied is not distinguished, since the writer must
//     consider the current object either way.
//   - It is unchanged, or does not exist: the request may still be in transit, or the
//     read may be stale, so the outcome remains unknown. If the object was deleted
//     meanwhile, its tombstone is read, which is the second case.
func (c *Client) readBack(ctx context.Context, intended Object, expected uint64, cause error) (Object, error) {
	for attempt := range readBackAttempts {
		if attempt > 0 && !sleep(ctx, readBackInterval) {
			break
		}
		current, err := c.getWithTombstone(ctx, intended.Key())
		switch {
		case err != nil:
		case current.ChangeID == intended.ChangeID:
			return current, nil
		case current.Version > expected && !(expected == 0 && current.Deleted):
			return Object{}, &ConflictError{Current: current}
		}
	}
	return Object{}, Unavailable.Wrap(cause, "the outcome of change %s is unknown", intended.ChangeID)
}

// withHalfTimeout returns a context with half of the remaining time, which leaves the second half
// for reading back.
func withHalfTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

// sleep waits for the duration; it returns false if the context ends first.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
