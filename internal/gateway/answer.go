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
)

var errAnswerTooLarge = errors.New("the answer is larger than a node holds")

// answer writes a model's answer in the OpenAI form, as a stream or whole.
type answer struct {
	call   *call
	stream bool
	chat   bool
	model  string
	// begun is set once the status line is out.
	begun    bool
	created  int64
	prefix   []byte
	buffer   []byte
	text     []byte
	extended time.Time
	// more tells whether the engine's next token is already there, so that
	// the flush can wait for it.
	more func() bool
}

func newAnswer(c *call, header backend.CompletionRequest, chat bool) *answer {
	return &answer{call: c, stream: header.Stream, chat: chat, model: header.Model, created: c.arrived.Unix()}
}

// token takes the next piece of the answer.
func (a *answer) token(text string) error {
	if a.call.record.firstToken == 0 {
		a.call.record.firstToken = a.call.gateway.now().Sub(a.call.arrived)
	}
	if !a.stream {
		if len(a.text)+len(text) > a.call.gateway.limits.MaxAnswerBytes {
			return errAnswerTooLarge
		}
		a.text = append(a.text, text...)
		return nil
	}
	if !a.begun {
		a.begin("text/event-stream")
	}
	a.buffer = append(a.buffer[:0], a.prefix...)
	a.buffer = appendJSONString(a.buffer, text)
	a.buffer = append(a.buffer, a.suffix()...)
	return a.write(a.buffer)
}

// begin sends the header.
func (a *answer) begin(contentType string) {
	a.begun = true
	header := a.call.writer.Header()
	header.Set("Content-Type", contentType)
	header.Set("Cache-Control", "no-store")
	a.call.setAttemptHeaders()
	a.prefix = a.newPrefix()
	a.call.writer.WriteHeader(http.StatusOK)
}

func (c *call) setAttemptHeaders() {
	header := c.writer.Header()
	if c.record.cold {
		header.Set(headerCold, "true")
	}
	header.Set(headerAttempts, strconv.Itoa(max(1, c.record.attempts)))
}

// newPrefix is what each event of this answer begins with.
func (a *answer) newPrefix() []byte {
	object, choice := "text_completion", `"text":`
	if a.chat {
		object, choice = "chat.completion.chunk", `"delta":{"content":`
	}
	prefix := fmt.Appendf(nil, `data: {"id":%q,"object":%q,"created":%d,"model":`, a.call.id, object, a.created)
	prefix = appendJSONString(prefix, a.model)
	return append(prefix, `,"choices":[{"index":0,"finish_reason":null,`+choice...)
}

func (a *answer) suffix() string {
	if a.chat {
		return "}}]}\n\n"
	}
	return "}]}\n\n"
}

// write sends an event on, flushed unless more follows at once.
func (a *answer) write(event []byte) error {
	if now := time.Now(); now.Sub(a.extended) > a.call.gateway.limits.WriteTimeout/4 {
		a.call.extendWrite()
		a.extended = now
	}
	if _, err := a.call.writer.Write(event); err != nil {
		return err
	}
	if a.more != nil && a.more() {
		return nil
	}
	return a.call.control.Flush()
}

// finish ends a whole answer.
func (a *answer) finish(finish attempt.Finish) error {
	if !a.stream {
		return a.finishWhole(finish)
	}
	if !a.begun {
		a.begin("text/event-stream")
	}
	a.more = nil
	return a.write(a.lastEvents(finish.Reason))
}

func (a *answer) lastEvents(reason string) []byte {
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

type wholeAnswer struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []wholeChoice `json:"choices"`
	Usage   usage         `json:"usage"`
}

type wholeChoice struct {
	Index        int           `json:"index"`
	Text         *string       `json:"text,omitempty"`
	Message      *wholeMessage `json:"message,omitempty"`
	FinishReason string        `json:"finish_reason"`
}

type wholeMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	CompletionTokens int `json:"completion_tokens"`
}

func (a *answer) finishWhole(finish attempt.Finish) error {
	text := string(a.text)
	whole := wholeAnswer{ID: a.call.id, Object: "text_completion", Created: a.created, Model: a.model,
		Choices: []wholeChoice{{FinishReason: finish.Reason}}, Usage: usage{CompletionTokens: finish.Delivered}}
	if a.chat {
		whole.Object = "chat.completion"
		whole.Choices[0].Message = &wholeMessage{Role: "assistant", Content: text}
	} else {
		whole.Choices[0].Text = &text
	}
	body, err := json.Marshal(whole)
	if err != nil {
		return err
	}
	a.call.record.attempts = finish.Attempts
	a.call.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	a.begin("application/json")
	a.call.extendWrite()
	_, err = a.call.writer.Write(body)
	return err
}

// fail ends an answer that is not whole: by status where nothing is out yet,
// else by an error event.
func (a *answer) fail(failure failure) {
	if !a.begun {
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
	a.more = nil
	_ = a.write(append(event, "\n\n"...))
}

const hexDigits = "0123456789abcdef"

// appendJSONString appends the text as a JSON string. Text comes from decoded
// JSON, so it is valid UTF-8.
func appendJSONString(buffer []byte, text string) []byte {
	buffer = append(buffer, '"')
	start := 0
	for index := 0; index < len(text); index++ {
		letter := text[index]
		if letter >= ' ' && letter != '"' && letter != '\\' {
			continue
		}
		buffer = append(buffer, text[start:index]...)
		switch letter {
		case '"', '\\':
			buffer = append(buffer, '\\', letter)
		case '\n':
			buffer = append(buffer, '\\', 'n')
		default:
			buffer = append(buffer, '\\', 'u', '0', '0', hexDigits[letter>>4], hexDigits[letter&0xf])
		}
		start = index + 1
	}
	buffer = append(buffer, text[start:]...)
	return append(buffer, '"')
}
