// Package logging makes the one kind of logger of the project: phuslu/log
// writing one key=value line for each event.
//
// The message of an entry is the event's fixed name:
//
//	logger.Info().Str("request", id).Int("status", 200).Msg("request_finished")
//
// writes
//
//	time=2026-12-02T07:24:47.000Z level=info event=request_finished node=a request=... status=200
//
// It may import phuslu/log only.
package logging
