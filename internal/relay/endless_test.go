package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

const (
	// mostWritten is what an endless response has if nobody closes its connection, and mostTaken what may be
	// taken of one: the kernel's buffers included.
	mostWritten = 256 << 20
	mostTaken   = 16 << 20
)

// writeEndless writes the unit until the connection is closed, and returns how many bytes were taken.
func writeEndless(conn net.Conn, unit string) int64 {
	var taken int64
	for taken < mostWritten {
		count, err := io.WriteString(conn, unit)
		taken += int64(count)
		if err != nil {
			break
		}
	}
	return taken
}

// Guards against an event without end, which was kept until memory ran out: a stream that may be resumed goes
// on at another server, after its last whole event.
func TestEventsWithoutEndAreNotKept(t *testing.T) {
	unit := strings.Repeat("x", 32<<10)
	for name, c := range map[string]struct {
		path, begin, want string
		isWhole           bool
	}{
		"first event":               {"/stream/", "", "", false},
		"after whole events":        {"/stream/", events(1, 2), events(1, 2), false},
		"after whole ones, resumed": {"/resume/", events(1, 2), events(1, 2, 3, 4), true},
		"first event, begun anew":   {"/resume/", "", events(1, 2, 3, 4), true},
		"lines that end no event":   {"/resume/", events(1) + "id: 2\ndata: ", events(1, 2, 3, 4), true},
	} {
		t.Run(name, func(t *testing.T) {
			var isBroken atomic.Bool
			var taken atomic.Int64
			respond := func(conn net.Conn, request *http.Request) bool {
				if !isBroken.CompareAndSwap(false, true) {
					remaining := map[string]string{"": events(1, 2, 3, 4), "1": events(2, 3, 4), "2": events(3, 4)}[request.Header.Get("X-Last")]
					write(conn, streamHead+chunk(remaining)+"0\r\n\r\n")
					return true
				}
				write(conn, streamHead)
				if c.begin != "" {
					write(conn, chunk(c.begin))
				}
				taken.Store(writeEndless(conn, chunk(unit)))
				return false
			}
			got := newFixture(t, newFakeServer(t, respond), newFakeServer(t, respond)).send(t, http.MethodPost, c.path, "")
			isWhole := got.err == nil && got.status == http.StatusOK
			if isWhole != c.isWhole || got.status == http.StatusOK && got.body != c.want {
				t.Errorf("status %d, %d bytes, error %v, want %q", got.status, len(got.body), got.err, c.want)
			}
			if taken.Load() > mostTaken {
				t.Errorf("%d bytes were taken", taken.Load())
			}
		})
	}
}
