package membudget

import (
	"errors"
	"io"
)

// ErrFull reports that a budget has no room for what was read.
var ErrFull = errors.New("the memory for requests is full")

// Reader returns a reader that reserves what it reads, and fails with ErrFull where there is no room.
func (r *Reservation) Reader(source io.Reader) io.Reader {
	return &reservingReader{source: source, reservation: r}
}

type reservingReader struct {
	source      io.Reader
	reservation *Reservation
}

// Read implements io.Reader.
func (r *reservingReader) Read(into []byte) (int, error) {
	count, err := r.source.Read(into)
	if count > 0 && !r.reservation.Grow(int64(count)) {
		return 0, ErrFull
	}
	return count, err
}
