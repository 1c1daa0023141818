package load

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/history"
)

// answerChunk covers all formats of answer text: the delta of a chat stream, the
// text of a completions answer, and the message of a non-streamed chat answer.
type answerChunk struct {
	ID      string         `json:"id"`
	Choices []answerChoice `json:"choices"`
	problem
}

type answerChoice struct {
	Delta        chatMessage `json:"delta"`
	Message      chatMessage `json:"message"`
	Text         string      `json:"text"`
	FinishReason string      `json:"finish_reason"`
}

func (c answerChoice) content() string {
	return c.Delta.Content + c.Message.Content + c.Text
}

const streamDone = "[DONE]"

// streamReader reads one answer stream.
type streamReader struct {
	record   *history.Record
	text     strings.Builder
	lastText time.Time
	done     bool
}

// readStream reads server-sent events until the stream ends. A correct stream has
// one finish reason followed by "[DONE]", or one error event.
func readStream(ctx context.Context, record *history.Record, body io.Reader) {
	reader := &streamReader{record: record}
	err := scanEvents(body, reader.handleEvent)
	record.Text = reader.text.String()
	switch {
	case record.Outcome != "":
		// An error event or a malformed event has set the outcome.
	case err != nil:
		recordFailure(record, outcomeOf(ctx, err), err)
	case !reader.done:
		recordFailure(record, history.Broken, errors.New("the stream ended without a finish or an error"))
	case record.Finish == "":
		recordFailure(record, history.Malformed, errors.New("the stream is done but has no finish reason"))
	default:
		record.Outcome = history.Answered
	}
}

// handleEvent processes one server-sent event. Events after "[DONE]" count as
// further ends.
func (r *streamReader) handleEvent(name, data string) {
	if r.done {
		r.record.Ends++
		return
	}
	if data == streamDone {
		r.done = true
		return
	}
	var chunk answerChunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		recordFailure(r.record, history.Malformed, fmt.Errorf("event %q: %w", name, err))
		return
	}
	if name == "error" || chunk.Outcome != "" {
		recordRefusal(r.record, chunk.problem)
		return
	}
	recordAnswerID(r.record, chunk.ID)
	for _, choice := range chunk.Choices {
		r.handleChoice(choice)
	}
}

func (r *streamReader) handleChoice(choice answerChoice) {
	if text := choice.content(); text != "" {
		r.addText(text)
	}
	if choice.FinishReason != "" {
		r.record.Finish = choice.FinishReason
		r.record.Ends++
	}
}

// addText appends generated text and records its timing.
func (r *streamReader) addText(text string) {
	now := time.Now()
	if r.record.FirstToken.IsZero() {
		r.record.FirstToken = now
	} else {
		r.record.TokenGaps = append(r.record.TokenGaps, now.Sub(r.lastText))
	}
	r.lastText = now
	r.text.WriteString(text)
}

// recordAnswerID records the request ID that a chunk of an answer states. Once an
// ID of another request was seen, it is kept.
func recordAnswerID(record *history.Record, id string) {
	foreign := record.AnswerID != "" && record.AnswerID != string(record.RequestID)
	if id != "" && !foreign {
		record.AnswerID = id
	}
}

// scanEvents calls event for each server-sent event until the body ends.
func scanEvents(body io.Reader, event func(name, data string)) error {
	lines := bufio.NewReader(body)
	var name string
	var data []string
	for {
		line, err := lines.ReadString('\n')
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "" && len(data) > 0:
			event(name, strings.Join(data, "\n"))
			name, data = "", nil
		case strings.HasPrefix(line, "event:"):
			name = strings.TrimSpace(strings.TrimPrefix(line, "event:"))
		case strings.HasPrefix(line, "data:"):
			data = append(data, strings.TrimPrefix(strings.TrimPrefix(line, "data:"), " "))
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readWhole reads a non-streamed answer. It records the generated text of a model
// answer, and the unchanged body of a service call's answer.
func readWhole(ctx context.Context, record *history.Record, body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		recordFailure(record, outcomeOf(ctx, err), err)
		return
	}
	record.Outcome = history.Answered
	record.Ends = 1
	if !record.Kind.ForModel() {
		record.Text = string(content)
		return
	}
	var answer answerChunk
	if err := json.Unmarshal(content, &answer); err != nil {
		recordFailure(record, history.Malformed, err)
		return
	}
	if len(answer.Choices) != 1 {
		recordFailure(record, history.Malformed, fmt.Errorf("%d choices", len(answer.Choices)))
		return
	}
	recordAnswerID(record, answer.ID)
	record.FirstToken = time.Now()
	record.Text = answer.Choices[0].content()
	record.Finish = answer.Choices[0].FinishReason
}
