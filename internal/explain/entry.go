// Package explain reads the log lines of several nodes and explains the outcome
// of one request, or the recorded state of one server, with the inputs of each
// decision. It also counts, over whole logs, why requests were not served in
// time (Losses). It knows the log's line format and the names of events and
// keys; command line tools call it.
//
// It may import the standard library only.
package explain

import (
	"bufio"
	"io"
	"strconv"
	"strings"
	"time"
)

// Entry is one parsed log line.
type Entry struct {
	Time   time.Time
	Event  string
	Node   string
	Fields []Field
}

// Field is a key=value pair of a log line.
type Field struct {
	Key   string
	Value string
}

// Get returns the value of a key, or "" if the line does not have it.
func (e Entry) Get(key string) string {
	for _, field := range e.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// maxLineBytes limits the length of a line; a longer one stops Read and Scan
// with an error.
const maxLineBytes = 1 << 20

// Read parses lines of key=value pairs. Text before the first pair, such as a
// log collector's prefix, is skipped, and so are lines without an event or a
// time.
func Read(from io.Reader) ([]Entry, error) {
	var entries []Entry
	err := Scan(from, func(entry Entry) { entries = append(entries, entry) })
	return entries, err
}

// Scan parses lines as Read does and calls handle for each entry.
func Scan(from io.Reader, handle func(Entry)) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for scanner.Scan() {
		if entry, ok := parseLine(scanner.Text()); ok {
			handle(entry)
		}
	}
	return scanner.Err()
}

func parseLine(line string) (Entry, bool) {
	var entry Entry
	for rest := line; rest != ""; {
		var field Field
		var ok bool
		field, rest, ok = nextField(rest)
		if !ok {
			continue
		}
		switch field.Key {
		case "time":
			entry.Time, _ = time.Parse(time.RFC3339Nano, field.Value)
		case "event":
			entry.Event = field.Value
		case "node":
			entry.Node = field.Value
		case "level":
		default:
			entry.Fields = append(entry.Fields, field)
		}
	}
	return entry, entry.Event != "" && !entry.Time.IsZero()
}

// nextField splits the first word off a line; ok is false if the word is not a
// key=value pair.
func nextField(line string) (field Field, rest string, ok bool) {
	line = strings.TrimLeft(line, " ")
	end := strings.IndexAny(line, "= ")
	if end < 0 {
		return Field{}, "", false
	}
	if line[end] == ' ' {
		return Field{}, line[end+1:], false
	}
	key, value := line[:end], line[end+1:]
	if strings.HasPrefix(value, `"`) {
		if quoted, err := strconv.QuotedPrefix(value); err == nil {
			text, _ := strconv.Unquote(quoted)
			return Field{key, text}, value[len(quoted):], true
		}
	}
	word, rest, _ := strings.Cut(value, " ")
	return Field{key, word}, rest, true
}
