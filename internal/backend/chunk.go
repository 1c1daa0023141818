package backend

import (
	"bytes"
	"encoding/json"
	"strconv"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// decodeChunk reads a chunk. Chunks of the usual form, members in order and no
// escapes, are read without encoding/json; all else is left to it. The former
// identity is taken again where it is the same, which saves its copy.
func decodeChunk(data []byte, former fleet.RequestID, chunk *Chunk) error {
	if decodePlainChunk(data, former, chunk) {
		return nil
	}
	*chunk = Chunk{}
	return json.Unmarshal(data, chunk)
}

func decodePlainChunk(data []byte, former fleet.RequestID, chunk *Chunk) bool {
	scanner := chunkScanner{rest: data, valid: true}
	scanner.skip(`{"id":"`)
	id := scanner.text()
	scanner.skip(`,"attempt":`)
	attempt := scanner.number()
	scanner.skip(`,"sequence":`)
	sequence := scanner.number()
	scanner.skip(`,"text":"`)
	text := scanner.text()
	if !scanner.valid || string(scanner.rest) != "}" {
		return false
	}
	if string(id) != string(former) {
		former = fleet.RequestID(id)
	}
	*chunk = Chunk{RequestID: former, Attempt: attempt, Sequence: sequence, Text: string(text)}
	return true
}

// chunkScanner reads one part after the other; valid turns false at the first
// that is not as expected.
type chunkScanner struct {
	rest  []byte
	valid bool
}

func (s *chunkScanner) skip(want string) {
	if !s.valid || len(s.rest) < len(want) || string(s.rest[:len(want)]) != want {
		s.valid = false
		return
	}
	s.rest = s.rest[len(want):]
}

// text reads up to the closing quote. Only printable ASCII without escapes is
// taken, so that nothing has to be checked or replaced as encoding/json does.
func (s *chunkScanner) text() []byte {
	end := bytes.IndexByte(s.rest, '"')
	if !s.valid || end < 0 {
		s.valid = false
		return nil
	}
	text := s.rest[:end]
	for _, letter := range text {
		if letter < ' ' || letter > '~' || letter == '\\' {
			s.valid = false
			return nil
		}
	}
	s.rest = s.rest[end+1:]
	return text
}

// maxNumberDigits keeps numbers within an int.
const maxNumberDigits = 9

func (s *chunkScanner) number() int {
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
