package peer

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/traffic"
)

// Guards against a peer's response without end, which was kept until memory ran out, at a node that counts its
// traffic.
func TestPeersResponseWithoutEndIsNotKept(t *testing.T) {
	const mostTaken, mostWritten = 4 * maxPeerBodyBytes, 16 * maxPeerBodyBytes
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
	pool := NewPool()
	pool.CountTraffic(traffic.NewCounters(prometheus.NewRegistry()).Channel("peer"))
	_, err := pool.To(strings.TrimPrefix(server.URL, "http://")).Config.Digest(context.Background(), &peerpb.DigestRequest{})
	server.Close()
	if err == nil || written > mostTaken {
		t.Errorf("%d bytes were taken, error %v, want an error after %d at most", written, err, mostTaken)
	}
}
