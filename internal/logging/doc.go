// Package logging creates the project's loggers, which are phuslu/log loggers
// that write one line of key=value pairs for each event. It owns the line format,
// the BoundedWriter that keeps logging from blocking a node, and the adapter for
// the actor library's log records.
//
// The message of an entry is the fixed name of the event:
//
//	logger.Info().Str("request", id).Int("status", 200).Msg("request_finished")
//
// writes
//
//	time=2026-12-02T07:24:47.000Z level=info event=request_finished node=a request=... status=200
//
// It may import phuslu/log only.
package logging
