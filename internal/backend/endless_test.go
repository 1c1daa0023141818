package backend

import (
	"context"
	"net/http"
	"testing"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
)

// Guards against answers without end of engines and services, which are kept until memory runs out.
func TestAnswersWithoutEndAreNotReadToTheirEnd(t *testing.T) {
	control, generator, services := NewEngineControl("a"), NewGenerator("a", nil), NewServices("a")
	t.Cleanup(control.Close)
	t.Cleanup(generator.Close)
	t.Cleanup(services.Close)
	for name, c := range map[string]struct {
		most int64
		call func(t *testing.T, ctx context.Context, address string)
	}{
		"order": {maxStateBytes, func(t *testing.T, ctx context.Context, address string) {
			if state, err := control.Order(ctx, address, Order{ID: "o1", Action: ActionLoad}); err == nil {
				t.Errorf("state %+v", state)
			}
		}},
		"stream": {maxEventBytes, func(t *testing.T, ctx context.Context, address string) {
			stream, err := generator.Open(ctx, address, GenerateRequest{RequestID: "r1", Attempt: 1, Path: PathChat, Body: Body{}})
			if err != nil {
				return
			}
			defer stream.Close()
			if err := stream.Next(new(Chunk)); err == nil {
				t.Error("a chunk was read")
			}
		}},
		"cancel": {maxRefusalBytes, func(_ *testing.T, _ context.Context, address string) { _ = generator.Cancel(address, "r1", 1) }},
		"call": {maxServiceAnswerBytes, func(t *testing.T, ctx context.Context, address string) {
			answer, err := services.Call(ctx, address, ServiceCall{RequestID: "r1", Attempt: 1, Method: http.MethodPost, Target: "/", Body: []byte("b")})
			if err == nil {
				t.Errorf("answer with status %d", answer.Status)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			cutanswer.ForEachEndless(t, c.most, func(ctx context.Context, address string) { c.call(t, ctx, address) })
		})
	}
}
