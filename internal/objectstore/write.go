package objectstore

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// readBackAttempts is how often a write without an answer is looked up.
	readBackAttempts = 3
	// readBackPause goes between them.
	readBackPause = 100 * time.Millisecond
)

// Put writes an object if it stands at the expected version; 0 expects none or
// a tombstone. The object needs a ChangeID that no other write has.
//
// It returns the object as it stands after the write, a ConflictError where
// another change came first, NotSent where nothing was sent, and Unavailable
// where it cannot be known whether the write was made. The write goes out
// once: where its answer is lost, the object is read back in the second half
// of the context's time. After Unavailable the same write with the same change
// id may be made again: at most one of them takes effect.
func (c *Client) Put(ctx context.Context, object Object, expected uint64) (Object, error) {
	if object.ChangeID == "" {
		return Object{}, Rejected.New("a write needs a change id")
	}
	var written Object
	request := WriteRequest{Object: object, ExpectedVersion: expected}
	writeCtx, cancel := firstHalf(ctx)
	defer cancel()
	err := c.call(writeCtx, http.MethodPut, objectPath(object.Key()), nil, request, &written)
	return c.resolve(ctx, object, expected, written, err)
}

// Delete removes an object if it stands at the expected version. The errors
// are those of Put; the object returned is the tombstone.
func (c *Client) Delete(ctx context.Context, key Key, expected uint64, changeID, changedBy string) (Object, error) {
	if changeID == "" {
		return Object{}, Rejected.New("a write needs a change id")
	}
	query := url.Values{
		"expected":  {formatVersion(expected)},
		"changeId":  {changeID},
		"changedBy": {changedBy},
	}
	var tombstone Object
	writeCtx, cancel := firstHalf(ctx)
	defer cancel()
	err := c.call(writeCtx, http.MethodDelete, objectPath(key), query, nil, &tombstone)
	intended := Object{Kind: key.Kind, Name: key.Name, ChangeID: changeID, Deleted: true}
	return c.resolve(ctx, intended, expected, tombstone, err)
}

// resolve decides what became of a write. A conflict that names the write's
// own change id is its success: the platform or a proxy sent it twice.
func (c *Client) resolve(ctx context.Context, intended Object, expected uint64, written Object, err error) (Object, error) {
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

// readBack looks the object up after a lost answer.
//
//   - It carries the change id: the write was made.
//   - It stands at a version above the expected one: another change came
//     first, or came after and hid the write. Versions of one object grow, so
//     the write can no longer be made; whether it was is not told apart, and
//     the object that stands is what the writer must look at either way.
//   - It stands as before, or there is none: the request may still be under
//     way, or the read may be stale, so that the outcome stays unknown. Where
//     it was deleted since, the tombstone is read and is the second case.
func (c *Client) readBack(ctx context.Context, intended Object, expected uint64, cause error) (Object, error) {
	for attempt := range readBackAttempts {
		if attempt > 0 && !pause(ctx, readBackPause) {
			break
		}
		current, err := c.read(ctx, intended.Key())
		switch {
		case err != nil:
		case current.ChangeID == intended.ChangeID:
			return current, nil
		case current.Version > expected && !(expected == 0 && current.Deleted):
			return Object{}, &ConflictError{Current: current}
		}
	}
	return Object{}, Unavailable.Wrap(cause, "it is not known whether the change %s was made", intended.ChangeID)
}

// firstHalf leaves the second half of the time for reading back.
func firstHalf(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)/2)
}

func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
