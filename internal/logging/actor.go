package logging

import (
	"context"
	"log/slog"

	"github.com/phuslu/log"
)

// actorHandler is a slog.Handler that writes the actor library's log records in
// the project's log format.
type actorHandler struct {
	logger *log.Logger
	group  string
	fields []slog.Attr
}

// NewActorLogger returns the logger to pass to the actor system.
func NewActorLogger(logger *log.Logger) *slog.Logger {
	return slog.New(&actorHandler{logger: logger})
}

// Enabled implements slog.Handler. Records below the warn level are treated as
// debug output.
func (a *actorHandler) Enabled(_ context.Context, level slog.Level) bool {
	return level >= slog.LevelWarn || a.logger.Level <= log.DebugLevel
}

// Handle implements slog.Handler.
func (a *actorHandler) Handle(_ context.Context, record slog.Record) error {
	entry := a.logger.Debug()
	if record.Level >= slog.LevelWarn {
		entry = a.logger.Warn()
	}
	entry.Str("text", record.Message)
	for _, field := range a.fields {
		entry.Str(a.group+field.Key, field.Value.String())
	}
	record.Attrs(func(field slog.Attr) bool {
		entry.Str(a.group+field.Key, field.Value.String())
		return true
	})
	entry.Msg("actor_library")
	return nil
}

// WithAttrs implements slog.Handler.
func (a *actorHandler) WithAttrs(fields []slog.Attr) slog.Handler {
	joined := append(append([]slog.Attr(nil), a.fields...), fields...)
	return &actorHandler{logger: a.logger, group: a.group, fields: joined}
}

// WithGroup implements slog.Handler.
func (a *actorHandler) WithGroup(name string) slog.Handler {
	return &actorHandler{logger: a.logger, group: a.group + name + ".", fields: a.fields}
}
