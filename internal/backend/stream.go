package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	// maxEventBytes limits one line of a response stream.
	maxEventBytes     = 256 << 10
	streamBufferBytes = 4 << 10
)

var (
	eventPrefix = []byte("data:")
	eventDone   = []byte("[DONE]")
)

// ErrDone is returned by Stream.Next at the stream's terminator.
var ErrDone = errors.New("answer stream is complete")

// Stream is an engine's response stream. It is not safe for concurrent use.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	// longLine holds a line that exceeds the reader's buffer.
	longLine []byte
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
	for {
		line, err := s.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) {
				return io.ErrUnexpectedEOF
			}
			return err
		}
		data, found := bytes.CutPrefix(line, eventPrefix)
		if !found {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, eventDone) {
			return ErrDone
		}
		if err := decodeChunk(data, chunk.RequestID, chunk); err != nil {
			return &ProtocolError{Detail: err.Error()}
		}
		return nil
	}
}

// Buffered reports whether another event can be read without blocking. The blank
// line that ends an event does not count, and neither does a partial line:
// otherwise an event would stay unflushed until the next one arrives.
func (s *Stream) Buffered() bool {
	buffered, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.IndexByte(bytes.TrimLeft(buffered, "\r\n"), '\n') >= 0
}

// Close closes the stream and its connection.
func (s *Stream) Close() {
	_ = s.body.Close()
}

// readLine returns the next line, which is valid until the following call.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	s.longLine = append(s.longLine[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.longLine) > maxEventBytes {
			return nil, &ProtocolError{Detail: "a line is too long"}
		}
		line, err = s.reader.ReadSlice('\n')
		s.longLine = append(s.longLine, line...)
	}
	if err != nil {
		return nil, err
	}
	return s.longLine, nil
}
