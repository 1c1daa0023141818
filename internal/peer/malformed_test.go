package peer

import (
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// Guards against messages of peers that are believed though their heads are malformed.
func TestMalformedAnswerOfAPeerIsNotBelieved(t *testing.T) {
	text, err := proto.Marshal(&peerpb.DigestResponse{Version: 9, Full: true, Loaded: true})
	if err != nil {
		t.Fatal(err)
	}
	server := cutanswer.NewServer(t)
	server.ForEachMalformed(t, "200 OK", "Content-Type: application/protobuf\r\n", string(text), func(t *testing.T) {
		pool := NewPool()
		defer pool.client.CloseIdleConnections()
		if got, err := pool.To(server.Address).Config.Digest(t.Context(), &peerpb.DigestRequest{}); err == nil {
			t.Errorf("got %v", got)
		}
	})
}
