package bounded

import (
	"bytes"
	"io"
)

// HeadReader is a reader of a connection that carries HTTP/1.1 responses. Between Begin and the end of the
// head that follows, or End, it fails with ErrTooLong once the head has more bytes or fields than allowed. What
// follows a head is not bounded.
type HeadReader struct {
	// Source is the connection.
	Source io.Reader

	inHead    bool
	isPartial bool
	// bytesLeft and linesLeft are what the head may still have, and isLineEmpty is set if nothing of the
	// current line was read but a carriage return.
	bytesLeft, linesLeft int
	isLineEmpty          bool
	// err is that of a head which was too long: readers may try again after an error.
	err error
}

// Begin expects a head of so many bytes at most.
func (r *HeadReader) Begin(maxBytes int) {
	r.inHead, r.isPartial, r.isLineEmpty, r.err = true, false, false, nil
	r.bytesLeft, r.linesLeft = maxBytes, 1+MaxHeadFields
}

// End ends the head: whoever reads through a buffer may have had all of it there at Begin.
func (r *HeadReader) End() { r.inHead, r.isPartial = false, false }

// Read implements io.Reader.
func (r *HeadReader) Read(into []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	count, err := r.Source.Read(into)
	if !r.inHead || count == 0 {
		return count, err
	}
	if r.err = r.account(into[:count]); r.err != nil {
		return 0, r.err
	}
	r.isPartial = r.inHead
	return count, err
}

// IsPartial reports whether a head has begun and not ended.
func (r *HeadReader) IsPartial() bool { return r.isPartial }

// account counts the text until the head ends in it.
func (r *HeadReader) account(text []byte) error {
	for len(text) > 0 {
		end := bytes.IndexByte(text, '\n')
		isWhole := end >= 0
		if !isWhole {
			end = len(text)
		}
		line := text[:end]
		r.isLineEmpty = r.isLineEmpty && (len(line) == 0 || len(line) == 1 && line[0] == '\r')
		r.bytesLeft -= len(line)
		if isWhole {
			if r.isLineEmpty {
				r.inHead = false
				return nil
			}
			r.bytesLeft--
			r.linesLeft--
			r.isLineEmpty = true
			end++
		}
		if r.bytesLeft < 0 {
			return ErrTooLong.New("the head of a response has too many bytes")
		}
		if r.linesLeft < 0 {
			return ErrTooLong.New("the head of a response has more than %d fields", MaxHeadFields)
		}
		text = text[end:]
	}
	return nil
}
