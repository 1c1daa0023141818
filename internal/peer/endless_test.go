package peer

import (
	"context"
	"testing"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// Guards against answers without end of peers, which are kept until memory runs out.
func TestAnswersWithoutEndAreNotReadToTheirEnd(t *testing.T) {
	cutanswer.ForEachEndless(t, maxPeerBodyBytes, func(ctx context.Context, address string) {
		pool := NewPool()
		defer pool.client.CloseIdleConnections()
		if got, err := pool.To(address).Config.Digest(ctx, &peerpb.DigestRequest{}); err == nil {
			t.Errorf("got %v", got)
		}
	})
}
