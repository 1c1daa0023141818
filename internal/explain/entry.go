// Package explain reads the log lines of several nodes and tells what became of
// one request, or what was believed of one server, with the input that decided
// each step.
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

// Entry is one line of a log.
type Entry struct {
	Time   time.Time
	Event  string
	Node   string
	Fields []Field
}

// Field is a key and value of a line.
type Field struct {
	Key   string
	Value string
}

// Get is the value of a key, empty where the line has none.
func (e Entry) Get(key string) string {
	for _, field := range e.Fields {
		if field.Key == key {
			return field.Value
		}
	}
	return ""
}

// maxLine bounds a line; longer ones end the reading with an error.
const maxLine = 1 << 20

// Read reads lines of key=value pairs. What stands before the first key, such
// as a collector's prefix, is passed over, and so are lines without an event.
func Read(from io.Reader) ([]Entry, error) {
	var entries []Entry
	err := Scan(from, func(entry Entry) { entries = append(entries, entry) })
	return entries, err
}

// Scan reads as Read does, and hands over one entry after the other.
func Scan(from io.Reader, take func(Entry)) error {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 0, 4096), maxLine)
	for scanner.Scan() {
		if entry, ok := parse(scanner.Text()); ok {
			take(entry)
		}
	}
	return scanner.Err()
}

func parse(line string) (Entry, bool) {
	var entry Entry
	for rest := line; rest != ""; {
		var field Field
		var ok bool
		field, rest, ok = next(rest)
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

// next takes one word off a line; ok is false for a word that is no pair.
func next(line string) (field Field, rest string, ok bool) {
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
