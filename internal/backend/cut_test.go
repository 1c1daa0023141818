package backend

import (
	"errors"
	"net/http"
	"testing"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// TestCutAnswerOfAnEngineTellsNothing guards against an order or a claim that counts as accepted or refused, and a
// state that is believed, though the answer was cut: the engine may have accepted it.
func TestCutAnswerOfAnEngineTellsNothing(t *testing.T) {
	const state = `{"incarnation":7,"models":[{}],"memoryBytes":9}`
	for status, body := range map[string]string{
		"200 OK": state, "202 Accepted": state, "409 Conflict": `{"incarnation":7}`, "422 Unprocessable Entity": `{"reason":"busy"}`,
	} {
		server := cutanswer.NewServer(t)
		server.ForEach(t, status, "Content-Type: application/json\r\n", body, func(t *testing.T, cut cutanswer.Cut) {
			control := NewEngineControl("a")
			defer control.Close()
			before := server.Requests()
			got, err := control.Order(t.Context(), server.Address, Order{ID: "o1", Action: ActionLoad})
			var unknown *UnavailableError
			if isUnknown := errors.As(err, &unknown); isUnknown == cut.IsWhole() || err == nil && (got.Incarnation != 7 || len(got.Models) != 1 || got.MemoryBytes != 9) {
				t.Errorf("state %+v, error %v", got, err)
			}
			if sent := server.Requests() - before; sent != 1 {
				t.Errorf("sent %d times", sent)
			}
		})
	}
}

// TestCutStreamOfAnEngineIsNotDone guards against a stream that counts as complete, or a request as never sent or not
// run, though the answer was cut.
func TestCutStreamOfAnEngineIsNotDone(t *testing.T) {
	const events = "data: {\"id\":\"r1\",\"attempt\":1,\"sequence\":0,\"text\":\"a\"}\n\n" +
		"data: {\"id\":\"r1\",\"attempt\":1,\"sequence\":1,\"finish\":\"stop\"}\n\ndata: [DONE]\n\n"
	opens := map[string]func(t *testing.T, generator *Generator, address string) (*Stream, error){
		"generate": func(t *testing.T, generator *Generator, address string) (*Stream, error) {
			return generator.Open(t.Context(), address, GenerateRequest{RequestID: "r1", Attempt: 1, Path: PathChat, Body: Body{}})
		},
		"resume": func(t *testing.T, generator *Generator, address string) (*Stream, error) {
			return generator.Resume(t.Context(), address, fleet.RequestID("r1"), 1, 0)
		},
	}
	for name, open := range opens {
		t.Run(name, func(t *testing.T) {
			server := cutanswer.NewServer(t)
			server.ForEach(t, "200 OK", "Content-Type: text/event-stream\r\n", events, func(t *testing.T, cut cutanswer.Cut) {
				generator := NewGenerator("a", nil)
				defer generator.Close()
				chunks, err := readToEnd(open(t, generator, server.Address))
				var send *SendError
				var refusal *Refusal
				switch isDone := errors.Is(err, ErrDone); {
				case isDone && len(chunks) != 2, !isDone && cut.IsWhole():
					t.Errorf("%d chunks, error %v", len(chunks), err)
				case errors.As(err, &refusal), errors.As(err, &send) && (send.NeverSent || cut.IsHeadWhole()):
					t.Errorf("error %v", err)
				}
			})
		})
	}
}

// readToEnd returns the chunks of a stream, and the error that ended it.
func readToEnd(stream *Stream, err error) ([]Chunk, error) {
	var chunks []Chunk
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	for {
		var chunk Chunk
		if err := stream.Next(&chunk); err != nil {
			return chunks, err
		}
		chunks = append(chunks, chunk)
	}
}

// TestCutRefusalProvesNothing guards against a refusal that was cut in its head, and counts as a proof that nothing
// ran.
func TestCutRefusalProvesNothing(t *testing.T) {
	server := cutanswer.NewServer(t)
	server.ForEach(t, "503 Service Unavailable", HeaderNotRun+": true\r\nRetry-After: 1\r\n", `{"code":"leaving"}`, func(t *testing.T, cut cutanswer.Cut) {
		generator, services := NewGenerator("a", nil), NewServices("a")
		defer generator.Close()
		defer services.Close()
		_, err := generator.Open(t.Context(), server.Address, GenerateRequest{RequestID: "r1", Attempt: 1, Path: PathChat, Body: Body{}})
		var refusal *Refusal
		if isProven := errors.As(err, &refusal) && refusal.NotRun; isProven != cut.IsHeadWhole() {
			t.Errorf("engine: %v", err)
		}
		answer, err := services.Call(t.Context(), server.Address, ServiceCall{RequestID: "r1", Attempt: 1, Method: http.MethodPost, Target: "/", Body: []byte("b")})
		var send *SendError
		isUnknown := errors.As(err, &send) && !send.NeverSent
		if isProven := answer != nil && answer.NotRun; isProven && !cut.IsHeadWhole() || !isProven && (!isUnknown || cut.IsWhole()) {
			t.Errorf("service: %+v, %v", answer, err)
		}
	})
}
