package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"github.com/phuslu/log"
)

func TestEachWordIsKeyAndValue(t *testing.T) {
	var out bytes.Buffer
	logger := New(&out, log.InfoLevel, Field{Key: "node", Value: "a1"})
	logger.Info().Str("reason", `two words "quoted"`).Bool("cold", true).Int("status", 200).Msg("request_finished")
	line := out.String()
	_, afterTime, _ := strings.Cut(line, " ")
	want := `level=info event=request_finished node=a1 reason="two words \"quoted\"" cold=true status=200` + "\n"
	if afterTime != want {
		t.Fatalf("got  %q\nwant %q", afterTime, want)
	}
}

func TestActorLibraryLinesKeepTheForm(t *testing.T) {
	var out bytes.Buffer
	actors := NewActorLogger(New(&out, log.InfoLevel))
	actors.Info("chatter")
	actors.With(slog.String("system", "s")).Warn("dead letter", slog.Int("count", 2))
	want := ` level=warn event=actor_library text="dead letter" system=s count=2` + "\n"
	if !strings.HasSuffix(out.String(), want) || strings.Contains(out.String(), "chatter") {
		t.Fatalf("got %q", out.String())
	}
}
