package logging

import (
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// Levels maps the level names allowed in settings to levels.
var Levels = map[string]log.Level{
	"debug": log.DebugLevel,
	"info":  log.InfoLevel,
	"warn":  log.WarnLevel,
	"error": log.ErrorLevel,
}

// Field is a key=value pair that a logger adds to every line.
type Field struct {
	Key   string
	Value string
}

// New returns a logger that writes to out and adds fields to every line.
func New(out io.Writer, level log.Level, fields ...Field) *log.Logger {
	context := log.NewContext(nil)
	for _, field := range fields {
		context.Str(field.Key, field.Value)
	}
	return &log.Logger{
		Level:      level,
		TimeFormat: timeFormat,
		Context:    context.Value(),
		Writer:     &log.ConsoleWriter{Writer: out, Formatter: writeLine},
	}
}

// Discard returns a logger that writes nothing.
func Discard() *log.Logger {
	return New(io.Discard, log.ErrorLevel)
}

// writeLine formats a line. Unlike phuslu/log's LogfmtFormatter it gives the
// message a key and writes out true values, so that each word is key=value.
func writeLine(out io.Writer, arguments *log.FormatterArgs) (int, error) {
	var line strings.Builder
	writePair(&line, "time", arguments.Time)
	writePair(&line, "level", arguments.Level)
	if arguments.Message != "" {
		writePair(&line, "event", arguments.Message)
	}
	for _, pair := range arguments.KeyValues {
		writePair(&line, pair.Key, pair.Value)
	}
	line.WriteByte('\n')
	return io.WriteString(out, line.String())
}

func writePair(line *strings.Builder, key, value string) {
	if line.Len() > 0 {
		line.WriteByte(' ')
	}
	line.WriteString(key)
	line.WriteByte('=')
	if needsQuotes(value) {
		value = strconv.Quote(value)
	}
	line.WriteString(value)
}

func needsQuotes(value string) bool {
	if value == "" {
		return true
	}
	return strings.ContainsFunc(value, func(char rune) bool {
		return char <= ' ' || char == '"' || char == '=' || char == 0x7f
	})
}
