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

// answerChunk covers the forms in which text comes: a delta of a chat stream,
// the text of a completions stream, a whole chat answer.
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

// streamReader follows one answer stream.
type streamReader struct {
	record *history.Record
	text   strings.Builder
	last   time.Time
	done   bool
}

// readStream reads server-sent events to their end. A right stream has one
// finish and then "[DONE]", or one error event.
func readStream(ctx context.Context, record *history.Record, body io.Reader) {
	reader := &streamReader{record: record}
	err := scanEvents(body, reader.event)
	record.Text = reader.text.String()
	switch {
	case record.Outcome != "":
		// An error event or a malformed one has ended it.
	case err != nil:
		fail(record, outcomeOfError(ctx, err), err)
	case !reader.done:
		fail(record, history.Broken, errors.New("the stream ended without a finish or an error"))
	case record.Finish == "":
		fail(record, history.Malformed, errors.New("the stream is done but has no finish reason"))
	default:
		record.Outcome = history.Answered
	}
}

// event takes one server-sent event.
func (r *streamReader) event(name, data string) {
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
		fail(r.record, history.Malformed, fmt.Errorf("event %q: %w", name, err))
		return
	}
	if name == "error" || chunk.Outcome != "" {
		refuse(r.record, chunk.problem)
		return
	}
	noteAnswerID(r.record, chunk.ID)
	for _, choice := range chunk.Choices {
		r.choice(choice)
	}
}

func (r *streamReader) choice(choice answerChoice) {
	if text := choice.content(); text != "" {
		r.piece(text)
	}
	if choice.FinishReason != "" {
		r.record.Finish = choice.FinishReason
		r.record.Ends++
	}
}

func (r *streamReader) piece(text string) {
	now := time.Now()
	if r.record.FirstToken.IsZero() {
		r.record.FirstToken = now
	} else {
		r.record.TokenGaps = append(r.record.TokenGaps, now.Sub(r.last))
	}
	r.last = now
	r.text.WriteString(text)
}

// noteAnswerID keeps the identity that a piece of an answer names; one that is
// not the request's own stays.
func noteAnswerID(record *history.Record, id string) {
	foreign := record.AnswerID != "" && record.AnswerID != string(record.RequestID)
	if id != "" && !foreign {
		record.AnswerID = id
	}
}

// scanEvents calls the function for each event until the body ends.
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

// readWhole reads an answer that comes at once: of a model its text, of a
// plain call the body as it is.
func readWhole(ctx context.Context, record *history.Record, body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		fail(record, outcomeOfError(ctx, err), err)
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
		fail(record, history.Malformed, err)
		return
	}
	if len(answer.Choices) != 1 {
		fail(record, history.Malformed, fmt.Errorf("%d choices", len(answer.Choices)))
		return
	}
	noteAnswerID(record, answer.ID)
	record.FirstToken = time.Now()
	record.Text = answer.Choices[0].content()
	record.Finish = answer.Choices[0].FinishReason
}
