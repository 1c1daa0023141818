package bounded

import (
	"io"

	"github.com/joomcode/errorx"
)

// Limits of what one server can make this process hold.
type Limits struct {
	// HeadBytes bounds the head of a response: its status line and header fields.
	HeadBytes int
	// EventBytes bounds one event of a stream.
	EventBytes int
}

// Defaults of Limits.
const (
	DefaultHeadBytes  = 32 << 10
	DefaultEventBytes = 256 << 10
)

// MinHeadBytes and MinEventBytes are the smallest limits that valid responses fit into.
const (
	MinHeadBytes  = 4 << 10
	MinEventBytes = 4 << 10
)

// MaxHeadFields is the number of header fields that a response may have.
const MaxHeadFields = 256

// WithDefaults returns the limits with defaults in place of zeros.
func (l Limits) WithDefaults() Limits {
	if l.HeadBytes == 0 {
		l.HeadBytes = DefaultHeadBytes
	}
	if l.EventBytes == 0 {
		l.EventBytes = DefaultEventBytes
	}
	return l
}

var errorNamespace = errorx.NewNamespace("bounded")

// ErrTooLong reports that more was sent than is read.
var ErrTooLong = errorNamespace.NewType("too_long")

// ErrUnframed reports that only the end of a connection tells where a body ends.
var ErrUnframed = errorNamespace.NewType("unframed")

// ReadAll reads to the end, or fails with ErrTooLong once more than limit bytes were read.
func ReadAll(reader io.Reader, limit int64) ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(reader, limit+1))
	if err == nil && int64(len(text)) > limit {
		return nil, ErrTooLong.New("more than %d bytes", limit)
	}
	return text, err
}
