package peer

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// Guards against a part of a peer's answer that is taken for the whole, as a part of a message may be a message: a
// stored answer would come without its body, and a command whose record is missing would run again.
func TestPartOfAPeersAnswerIsNotBelieved(t *testing.T) {
	calls := map[string]struct {
		whole proto.Message
		call  func(ctx context.Context, clients Clients) (proto.Message, error)
	}{
		"stored answer": {
			&peerpb.GrantResponse{Verdict: peerpb.GrantResponse_DONE, Answer: &peerpb.StoredAnswer{Status: 200, Body: []byte("whole")}},
			func(ctx context.Context, clients Clients) (proto.Message, error) {
				return clients.Claims.Grant(ctx, &peerpb.GrantRequest{Key: "k"})
			},
		},
		"configuration": {
			&peerpb.DigestResponse{Version: 9, Objects: []*peerpb.ConfigObject{{}, {}}, Full: true, Loaded: true},
			func(ctx context.Context, clients Clients) (proto.Message, error) {
				return clients.Config.Digest(ctx, &peerpb.DigestRequest{})
			},
		},
	}
	for name, c := range calls {
		t.Run(name, func(t *testing.T) {
			text, err := proto.Marshal(c.whole)
			if err != nil {
				t.Fatal(err)
			}
			server := cutanswer.NewServer(t)
			server.ForEach(t, "200 OK", "Content-Type: application/protobuf\r\n", string(text), func(t *testing.T, cut cutanswer.Cut) {
				before, pool := server.Requests(), NewPool()
				defer pool.client.CloseIdleConnections()
				got, err := c.call(t.Context(), pool.To(server.Address))
				switch {
				case err == nil && (!cut.IsWhole() || !proto.Equal(got, c.whole)):
					t.Errorf("got %v", got)
				case err != nil && cut.IsWhole() && !cut.Form.IsUnframed:
					t.Errorf("error %v for a whole answer", err)
				}
				if sent := server.Requests() - before; sent != 1 {
					t.Errorf("%d calls were sent", sent)
				}
			})
		})
	}
}
