package main

import (
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// newLogger writes one line of key=value pairs for each event to stderr.
func newLogger() *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer:     &log.ConsoleWriter{Writer: os.Stderr, Formatter: formatLine},
	}
}

// formatLine quotes only the values that need it and, unlike
// log.LogfmtFormatter, writes nothing for an empty message.
func formatLine(out io.Writer, arguments *log.FormatterArgs) (int, error) {
	var line strings.Builder
	line.WriteString("time=" + arguments.Time + " level=" + arguments.Level)
	for _, pair := range arguments.KeyValues {
		line.WriteString(" " + pair.Key + "=" + quoteIfNeeded(pair.Value))
	}
	if arguments.Message != "" {
		line.WriteString(" message=" + quoteIfNeeded(arguments.Message))
	}
	line.WriteByte('\n')
	return io.WriteString(out, line.String())
}

func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsAny(value, " =\"\n\t\\") {
		return strconv.Quote(value)
	}
	return value
}
