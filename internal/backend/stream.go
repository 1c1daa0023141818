package backend

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/spanlanding/spanlanding/internal/inventory"
)

const (
	// maxEventBytes bounds one line of an answer stream.
	maxEventBytes     = 256 << 10
	streamBufferBytes = 4 << 10
)

var (
	eventPrefix = []byte("data:")
	eventDone   = []byte("[DONE]")
)

// ErrDone is returned by Next after the stream's terminator.
var ErrDone = errors.New("answer stream is complete")

// Stream is an engine's answer stream. It is used by one goroutine.
type Stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	// long holds a line that is larger than the reader's buffer.
	long []byte
	// word is what the head of the answer told of the back end's future.
	hint inventory.Hint
}

func newStream(body io.ReadCloser) *Stream {
	return &Stream{body: body, reader: bufio.NewReaderSize(body, streamBufferBytes)}
}

// Next reads the next chunk into the given one. It returns ErrDone after the
// terminator, io.ErrUnexpectedEOF where the stream ended without it, a
// *ProtocolError for what is not a chunk, and else the error of the connection.
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

// Buffered reports whether a further event is there without waiting. The blank
// line that ends an event is none, and neither is a part of a line: were they
// taken for one, an event would wait unflushed for the next.
func (s *Stream) Buffered() bool {
	waiting, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.IndexByte(bytes.TrimLeft(waiting, "\r\n"), '\n') >= 0
}

// Close ends the stream.
func (s *Stream) Close() {
	_ = s.body.Close()
}

// readLine returns a line that is valid until the next call.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	s.long = append(s.long[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.long) > maxEventBytes {
			return nil, &ProtocolError{Detail: "a line is too long"}
		}
		line, err = s.reader.ReadSlice('\n')
		s.long = append(s.long, line...)
	}
	if err != nil {
		return nil, err
	}
	return s.long, nil
}
