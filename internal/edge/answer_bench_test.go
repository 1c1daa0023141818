package edge

import (
	"fmt"
	"testing"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// BenchmarkAnswerViews measures repeated requests for views to a leader of 3,000 servers, within
// the interval in which only one reply is sent.
func BenchmarkAnswerViews(b *testing.B) {
	node := newTestNode(b)
	var views []dispatch.View
	for i := range 3000 {
		views = append(views, dispatch.View{ServerID: fmt.Sprint("i-", i), Digest: uint64(i + 1)})
	}
	for more := true; more; {
		_, more = node.peers.changedViews(views)
	}
	asker := &peerpb.NodeState{Address: "127.0.0.1:9"}
	for range b.N {
		node.peers.replyViews(asker, 7, 0, func(func(string) bool) []dispatch.View { return nil })
	}
}
