package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	// maxEventBytes limits one line of a response stream, and the data of one event.
	maxEventBytes     = 256 << 10
	streamBufferBytes = 4 << 10
)

var (
	eventPrefix = []byte("data:")
	eventDone   = []byte("[DONE]")
)

// ErrDone is returned by Stream.Next at the stream's terminator.
var ErrDone = errors.New("answer stream is complete")

// Stream is an engine's response stream, in any form that the standard allows (text/event-stream, WHATWG HTML,
// section 9.2.6). It is not safe for concurrent use.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	// longLine holds the parts of a line that has come in several.
	longLine []byte
	// isAfterReturn is set if a carriage return ended the last line: a line feed that follows belongs to it.
	isAfterReturn bool
	// data is what an event has brought on several lines.
	data []byte
	// beforeWait is nil if nobody wants to know.
	beforeWait func() error
	// hint holds the availability hint in the response headers.
	hint inventory.Hint
}

func newStream(body io.ReadCloser) *Stream {
	return &Stream{body: body, reader: bufio.NewReaderSize(body, streamBufferBytes)}
}

// Next decodes the next chunk into chunk. It returns ErrDone at the terminator,
// io.ErrUnexpectedEOF if the stream ends without one, a *ProtocolError for
// malformed data, and otherwise the error of the connection.
func (s *Stream) Next(chunk *Chunk) error {
	s.data = s.data[:0]
	for {
		line, err := s.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		data, found := bytes.CutPrefix(line, eventPrefix)
		switch data = bytes.TrimSpace(data); {
		case len(line) == 0 && len(s.data) > 0:
			if err := decodeChunk(s.data, chunk.RequestID, chunk); err != nil {
				return &ProtocolError{Detail: err.Error()}
			}
			return nil
		case !found, len(data) == 0:
			continue
		case bytes.Equal(data, eventDone):
			return ErrDone
		}
		// A chunk that is whole on one line does not wait for the end of its event.
		if len(s.data) == 0 && decodeChunk(data, chunk.RequestID, chunk) == nil {
			return nil
		}
		if len(s.data)+len(data) > maxEventBytes {
			return &ProtocolError{Detail: "an event is too long"}
		}
		s.data = append(append(s.data, data...), '\n')
	}
}

// BeforeWait sets a function that is called whenever Next is about to wait for bytes. Its error ends Next, which
// returns it.
func (s *Stream) BeforeWait(call func() error) { s.beforeWait = call }

// Close closes the stream and its connection.
func (s *Stream) Close() {
	_ = s.body.Close()
}

// readLine returns the next line without its end, valid until the following call.
func (s *Stream) readLine() ([]byte, error) {
	s.longLine = s.longLine[:0]
	for {
		if err := s.await(); err != nil {
			return nil, err
		}
		buffered, _ := s.reader.Peek(s.reader.Buffered())
		if s.isAfterReturn && buffered[0] == '\n' {
			s.isAfterReturn = false
			s.discard(1)
			continue
		}
		s.isAfterReturn = false
		end := lineEnd(buffered)
		if end >= 0 {
			s.isAfterReturn = buffered[end] == '\r'
			s.discard(end + 1)
			if len(s.longLine) == 0 {
				return buffered[:end], nil
			}
			s.longLine = append(s.longLine, buffered[:end]...)
			return s.longLine, nil
		}
		s.longLine = append(s.longLine, buffered...)
		s.discard(len(buffered))
		if len(s.longLine) > maxEventBytes {
			return nil, &ProtocolError{Detail: "a line is too long"}
		}
	}
}

// await returns once a byte is buffered.
func (s *Stream) await() error {
	if s.reader.Buffered() == 0 && s.beforeWait != nil {
		if err := s.beforeWait(); err != nil {
			return err
		}
	}
	_, err := s.reader.Peek(1)
	return err
}

// discard drops bytes that are buffered.
func (s *Stream) discard(count int) {
	_, _ = s.reader.Discard(count)
}

// lineEnd returns where the first line of the text ends; -1 if it does not.
func lineEnd(text []byte) int {
	end := bytes.IndexByte(text, '\n')
	if end >= 0 {
		text = text[:end]
	}
	if carriageReturn := bytes.IndexByte(text, '\r'); carriageReturn >= 0 {
		return carriageReturn
	}
	return end
}
