package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/spanlanding/spanlanding/internal/attempt"
	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/callerconn"
)

var errAnswerTooLarge = errors.New("the answer is larger than a node holds")

// completionWriter writes a model's output in the OpenAI format, streamed or as one body.
type completionWriter struct {
	call   *call
	stream bool
	chat   bool
	model  string
	// headerSent is set once the status line has been written.
	headerSent bool
	// isEndGuarded is set while the connection is reset if the response ends now.
	isEndGuarded  bool
	created       int64
	eventPrefix   []byte
	eventBuffer   []byte
	bufferedText  []byte
	deadlineSetAt time.Time
	// isUnflushed is set while events wait for those behind them, which have come from the engine together with
	// them.
	isUnflushed bool
}

func newCompletionWriter(c *call, header backend.CompletionRequest, chat bool) *completionWriter {
	return &completionWriter{call: c, stream: header.Stream, chat: chat, model: header.Model, created: c.arrived.Unix()}
}

// writeToken handles the next piece of the output.
func (a *completionWriter) writeToken(text string) error {
	if a.call.record.firstToken == 0 {
		a.call.record.firstToken = a.call.gateway.now().Sub(a.call.arrived)
	}
	if !a.stream {
		if len(a.bufferedText)+len(text) > a.call.gateway.limits.MaxAnswerBytes {
			return errAnswerTooLarge
		}
		a.bufferedText = append(a.bufferedText, text...)
		return nil
	}
	if !a.headerSent {
		a.sendHeader("text/event-stream")
	}
	a.eventBuffer = append(a.eventBuffer[:0], a.eventPrefix...)
	a.eventBuffer = appendJSONString(a.eventBuffer, text)
	a.eventBuffer = append(a.eventBuffer, a.eventSuffix()...)
	return a.writeEvent(a.eventBuffer)
}

// sendHeader writes the status line and the headers.
func (a *completionWriter) sendHeader(contentType string) {
	a.headerSent = true
	header := a.call.writer.Header()
	header.Set("Content-Type", contentType)
	header.Set("Cache-Control", "no-store")
	a.call.setAttemptHeaders()
	a.eventPrefix = a.newEventPrefix()
	a.isEndGuarded = callerconn.GuardEnd(a.call.request, header)
	a.call.writer.WriteHeader(http.StatusOK)
}

func (c *call) setAttemptHeaders() {
	header := c.writer.Header()
	if c.record.cold {
		header.Set(headerCold, "true")
	}
	header.Set(headerAttempts, strconv.Itoa(max(1, c.record.attempts)))
}

// newEventPrefix returns the constant start of each event of this response.
func (a *completionWriter) newEventPrefix() []byte {
	object, choice := "text_completion", `"text":`
	if a.chat {
		object, choice = "chat.completion.chunk", `"delta":{"content":`
	}
	prefix := fmt.Appendf(nil, `data: {"id":%q,"object":%q,"created":%d,"model":`, a.call.id, object, a.created)
	prefix = appendJSONString(prefix, a.model)
	return append(prefix, `,"choices":[{"index":0,"finish_reason":null,`+choice...)
}

func (a *completionWriter) eventSuffix() string {
	if a.chat {
		return "}}]}\n\n"
	}
	return "}]}\n\n"
}

// writeEvent writes an event, which waits for flush.
func (a *completionWriter) writeEvent(event []byte) error {
	if now := time.Now(); now.Sub(a.deadlineSetAt) > a.call.gateway.limits.WriteTimeout/4 {
		a.call.extendWrite()
		a.deadlineSetAt = now
	}
	a.isUnflushed = true
	_, err := a.call.writer.Write(event)
	return err
}

// flush sends what has been written to the caller. It is due before anything else is waited for.
func (a *completionWriter) flush() error {
	if !a.isUnflushed {
		return nil
	}
	a.isUnflushed = false
	return a.call.control.Flush()
}

// writeLast writes what ends the stream.
func (a *completionWriter) writeLast(events []byte) error {
	if err := a.writeEvent(events); err != nil {
		return err
	}
	if err := a.flush(); err != nil {
		return err
	}
	if a.isEndGuarded {
		callerconn.ReleaseEnd(a.call.writer, a.call.request)
	}
	return nil
}

// finish ends a complete response.
func (a *completionWriter) finish(finish attempt.Finish) error {
	if !a.stream {
		return a.finishBuffered(finish)
	}
	if !a.headerSent {
		a.sendHeader("text/event-stream")
	}
	return a.writeLast(a.finalEvents(finish.Reason))
}

func (a *completionWriter) finalEvents(reason string) []byte {
	object, choice := "text_completion", `"text":""`
	if a.chat {
		object, choice = "chat.completion.chunk", `"delta":{}`
	}
	event := fmt.Appendf(nil, `data: {"id":%q,"object":%q,"created":%d,"model":`, a.call.id, object, a.created)
	event = appendJSONString(event, a.model)
	event = append(event, `,"choices":[{"index":0,"finish_reason":`...)
	event = appendJSONString(event, reason)
	event = append(event, ',')
	event = append(event, choice...)
	return append(event, "}]}\n\ndata: [DONE]\n\n"...)
}

type completionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   usage              `json:"usage"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (a *completionWriter) finishBuffered(finish attempt.Finish) error {
	text := string(a.bufferedText)
	response := completionResponse{ID: a.call.id, Object: "text_completion", Created: a.created, Model: a.model,
		Choices: []completionChoice{{FinishReason: finish.Reason}}, Usage: usage{CompletionTokens: finish.Delivered}}
	if a.chat {
		response.Object = "chat.completion"
		response.Choices[0].Message = &completionMessage{Role: "assistant", Content: text}
	} else {
		response.Choices[0].Text = &text
	}
	body, err := json.Marshal(response)
	if err != nil {
		return err
	}
	a.call.record.attempts = finish.Attempts
	a.call.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.sendHeader("application/json")
	a.call.extendWrite()
	_, err = a.call.writer.Write(body)
	return err
}

// fail ends an incomplete response: with an error status if nothing has been
// written yet, otherwise with an error event.
func (a *completionWriter) fail(failure failure) {
	if !a.headerSent {
		a.call.setAttemptHeaders()
		a.call.fail(failure)
		return
	}
	a.call.record.outcome, a.call.record.code, a.call.record.status = failure.outcome, failure.code, failure.status
	if failure.code == attempt.CodeCallerGone {
		a.call.aborted = true
		return
	}
	body, _ := json.Marshal(failure.problem(a.call.id))
	event := append([]byte("event: error\ndata: "), body...)
	if err := a.writeLast(append(event, "\n\n"...)); err != nil {
		a.call.aborted = true
	}
}

const hexDigits = "0123456789abcdef"

// appendJSONString appends the text as a JSON string. The text comes from decoded
// JSON, so it is valid UTF-8.
func appendJSONString(destination []byte, text string) []byte {
	destination = append(destination, '"')
	start := 0
	for index := 0; index < len(text); index++ {
		char := text[index]
		if char >= ' ' && char != '"' && char != '\\' {
			continue
		}
		destination = append(destination, text[start:index]...)
		switch char {
		case '"', '\\':
			destination = append(destination, '\\', char)
		case '\n':
			destination = append(destination, '\\', 'n')
		default:
			destination = append(destination, '\\', 'u', '0', '0', hexDigits[char>>4], hexDigits[char&0xf])
		}
		start = index + 1
	}
	destination = append(destination, text[start:]...)
	return append(destination, '"')
}
