package httpdriver

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/fleet"
	"github.com/spanlanding/spanlanding/internal/standin/engine"
)

const headerIdempotencyKey = "Idempotency-Key"

func (e *Engine) serveCompletion(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		return
	}
	var completion backend.CompletionRequest
	if err := json.Unmarshal(body, &completion); err != nil {
		writer.Header().Set(backend.HeaderNotRun, "true")
		writeProblem(writer, http.StatusBadRequest, "bad-json", err.Error())
		return
	}
	wanted := engineRequest(request, body, completion)
	id, box := e.call(func(id engine.CallID) engine.Message {
		return engine.Submit{Call: id, Request: wanted}
	})
	answer := &answerWriter{writer: writer, request: request, wanted: wanted, whole: !completion.Stream}
	e.serveAnswer(id, box, answer)
}

func (e *Engine) serveResume(writer http.ResponseWriter, request *http.Request) {
	from, err := queryUint(request, "from")
	if err != nil {
		writeProblem(writer, http.StatusBadRequest, "bad-from", err.Error())
		return
	}
	wanted := engine.Request{
		ID:      fleet.RequestID(request.PathValue("id")),
		Attempt: headerInt(request, backend.HeaderAttempt),
		From:    int(min(from, engine.MaxAnswerTokens)),
	}
	id, box := e.call(func(id engine.CallID) engine.Message {
		return engine.Resume{Call: id, Request: wanted.ID, Attempt: wanted.Attempt, From: wanted.From}
	})
	e.serveAnswer(id, box, &answerWriter{writer: writer, request: request, wanted: wanted})
}

func engineRequest(request *http.Request, body []byte, completion backend.CompletionRequest) engine.Request {
	header := request.Header
	model := fleet.ParseModelVersion(completion.Model)
	if modelHeader := header.Get(backend.HeaderModel); modelHeader != "" {
		model = fleet.ParseModelVersion(modelHeader)
	}
	id := fleet.RequestID(header.Get(backend.HeaderRequestID))
	if id == "" {
		id = fleet.RequestID(fmt.Sprintf("unnamed-%016x", rand.Uint64()))
	}
	prompt := backend.PromptText(body)
	return engine.Request{
		ID:           id,
		Attempt:      headerInt(request, backend.HeaderAttempt),
		Priority:     headerInt(request, backend.HeaderPriority),
		Key:          header.Get(headerIdempotencyKey),
		Model:        model,
		Adapter:      fleet.AdapterName(header.Get(backend.HeaderAdapter)),
		PromptHash:   engine.PromptHash(body),
		PromptTokens: backend.PromptTokens(prompt),
		PrefixHashes: backend.PrefixHashes(prompt),
		From:         len(completion.ContinueFrom),
		MaxTokens:    completion.MaxTokens,
	}
}

// serveAnswer writes the effects of a call up to its last one. If the client
// disconnects, it detaches the call.
func (e *Engine) serveAnswer(id engine.CallID, box *outbox[engine.Effect], answer *answerWriter) {
	ctx, cancel := context.WithCancel(answer.request.Context())
	defer cancel()
	defer context.AfterFunc(e.ctx, cancel)()
	defer e.detach(id)
	for {
		effects, err := box.take(ctx)
		if err != nil {
			if e.ctx.Err() != nil {
				panic(http.ErrAbortHandler)
			}
			return
		}
		for _, effect := range effects {
			if answer.write(effect) {
				return
			}
		}
		answer.flush()
	}
}

// answerWriter writes one answer, either streamed or as a single JSON body.
type answerWriter struct {
	writer  http.ResponseWriter
	request *http.Request
	wanted  engine.Request
	whole   bool
	// tokens collects the answer if it is not streamed.
	tokens []string
}

// write writes one effect and reports whether it was the last one of the call.
func (a *answerWriter) write(effect engine.Effect) (last bool) {
	switch f := effect.(type) {
	case engine.Refused:
		a.refuse(f.Reason)
		return true
	case engine.Accepted:
		a.begin()
		return false
	case engine.Emit:
		return a.writeChunk(f.Chunk)
	case engine.Broken:
		a.flush()
		if f.Clean {
			return true
		}
		panic(http.ErrAbortHandler)
	default:
		return true
	}
}

func (a *answerWriter) refuse(reason engine.RefusalReason) {
	switch reason {
	case engine.RefusedNotReady:
		writeNotRun(a.writer, http.StatusConflict, string(reason))
	case engine.RefusedLeaving, engine.RefusedOverfull:
		writeNotRun(a.writer, http.StatusServiceUnavailable, string(reason))
	case engine.RefusedUnknown:
		writeProblem(a.writer, http.StatusNotFound, string(reason), "")
	default:
		// A later attempt, or an earlier copy of this one, may have run.
		writeProblem(a.writer, http.StatusConflict, string(reason), "")
	}
}

func (a *answerWriter) begin() {
	if a.whole {
		return
	}
	a.writer.Header().Set("Content-Type", contentTypeEvents)
	a.writer.Header().Set("Cache-Control", "no-store")
	a.writer.WriteHeader(http.StatusOK)
	a.flush()
}

func (a *answerWriter) flush() {
	if !a.whole {
		_ = http.NewResponseController(a.writer).Flush()
	}
}

func (a *answerWriter) writeChunk(chunk backend.Chunk) (last bool) {
	if a.whole {
		return a.collect(chunk)
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		return true
	}
	_, _ = fmt.Fprintf(a.writer, "data: %s\n\n", data)
	if chunk.Finish == "" {
		return false
	}
	_, _ = io.WriteString(a.writer, "data: [DONE]\n\n")
	a.flush()
	return true
}

func (a *answerWriter) collect(chunk backend.Chunk) (last bool) {
	if chunk.Finish != "" {
		writeJSON(a.writer, http.StatusOK, a.wholeAnswer(chunk.Finish))
		return true
	}
	if chunk.RequestID == a.wanted.ID && chunk.Sequence == a.wanted.From+len(a.tokens) {
		a.tokens = append(a.tokens, chunk.Text)
	}
	return false
}

// WholeAnswer is the JSON body of an answer that is not streamed.
type WholeAnswer struct {
	ID      fleet.RequestID `json:"id"`
	Object  string          `json:"object"`
	Model   string          `json:"model"`
	Choices []Choice        `json:"choices"`
	Usage   Usage           `json:"usage"`
}

// Choice is one answer: Message is set for chats, Text for completions.
type Choice struct {
	Index        int            `json:"index"`
	Message      *AnswerMessage `json:"message,omitempty"`
	Text         string         `json:"text,omitempty"`
	FinishReason string         `json:"finish_reason"`
}

// AnswerMessage is the message of a chat's answer.
type AnswerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (a *answerWriter) wholeAnswer(finish string) WholeAnswer {
	text := strings.Join(a.tokens, "")
	answer := WholeAnswer{
		ID:      a.wanted.ID,
		Object:  "text_completion",
		Model:   a.wanted.Model.String(),
		Choices: []Choice{{Text: text, FinishReason: finish}},
		Usage: Usage{
			PromptTokens:     a.wanted.PromptTokens,
			CompletionTokens: len(a.tokens),
			TotalTokens:      a.wanted.PromptTokens + len(a.tokens),
		},
	}
	if a.request.URL.Path == backend.PathChat {
		answer.Object = "chat.completion"
		answer.Choices[0] = Choice{Message: &AnswerMessage{Role: "assistant", Content: text}, FinishReason: finish}
	}
	return answer
}
