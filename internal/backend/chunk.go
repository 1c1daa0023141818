package backend

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// decodeChunk decodes a chunk. Chunks in the usual form, with fields in order
// and no escapes, are decoded without encoding/json; everything else falls back
// to it. An ID equal to previousID reuses its string, which saves an allocation.
func decodeChunk(data []byte, previousID fleet.RequestID, chunk *Chunk) error {
	if decodeChunkFast(data, previousID, chunk) {
		return nil
	}
	*chunk = Chunk{}
	return json.Unmarshal(data, chunk)
}

func decodeChunkFast(data []byte, previousID fleet.RequestID, chunk *Chunk) bool {
	scanner := chunkScanner{rest: data, valid: true}
	scanner.expect(`{"id":"`)
	id := scanner.readString()
	scanner.expect(`,"attempt":`)
	attempt := scanner.readInt()
	scanner.expect(`,"sequence":`)
	sequence := scanner.readInt()
	scanner.expect(`,"text":"`)
	text := scanner.readString()
	if !scanner.valid || string(scanner.rest) != "}" {
		return false
	}
	if string(id) != string(previousID) {
		previousID = fleet.RequestID(id)
	}
	*chunk = Chunk{RequestID: previousID, Attempt: attempt, Sequence: sequence, Text: string(text)}
	return true
}

// chunkScanner consumes the input from the front; valid becomes false at the
// first unexpected byte and stays false.
type chunkScanner struct {
	rest  []byte
	valid bool
}

func (s *chunkScanner) expect(want string) {
	if !s.valid || len(s.rest) < len(want) || string(s.rest[:len(want)]) != want {
		s.valid = false
		return
	}
	s.rest = s.rest[len(want):]
}

// readString reads up to the closing quote. It accepts only printable ASCII
// without escapes, which needs none of encoding/json's validation or replacement.
func (s *chunkScanner) readString() []byte {
	end := bytes.IndexByte(s.rest, '"')
	if !s.valid || end < 0 {
		s.valid = false
		return nil
	}
	text := s.rest[:end]
	for _, char := range text {
		if char < ' ' || char > '~' || char == '\\' {
			s.valid = false
			return nil
		}
	}
	s.rest = s.rest[end+1:]
	return text
}

// maxNumberDigits keeps numbers within the range of an int.
const maxNumberDigits = 9

func (s *chunkScanner) readInt() int {
	end := 0
	for s.valid && end < len(s.rest) && s.rest[end] >= '0' && s.rest[end] <= '9' {
		end++
	}
	if !s.valid || end == 0 || end > maxNumberDigits || end > 1 && s.rest[0] == '0' {
		s.valid = false
		return 0
	}
	number, err := strconv.Atoi(string(s.rest[:end]))
	s.valid = err == nil
	s.rest = s.rest[end:]
	return number
}
