package edge

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
)

// Guards against a peer's response without end, which was kept until memory ran out.
func TestPeersResponseWithoutEndIsNotKept(t *testing.T) {
	const mostTaken, mostWritten = 8 * maxPeerBodyBytes, 32 * maxPeerBodyBytes
	filler, written := strings.Repeat("x", 64<<10), 0
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		for written < mostWritten {
			count, err := io.WriteString(writer, filler)
			written += count
			if err != nil {
				return
			}
		}
	}))
	_, err := peerpb.NewNodesProtobufClient(server.URL, newSnapshots(nil).client).Snapshot(context.Background(), &peerpb.SnapshotRequest{})
	server.Close()
	if err == nil || written > mostTaken {
		t.Errorf("%d bytes were taken, error %v, want an error after %d at most", written, err, mostTaken)
	}
}
