package relay

import (
	"net/http"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/cutanswer"
)

// earlySends is how often each way to end a connection is met.
const earlySends = 5

// Guards against callers who get a part of an answer that looks whole: it has no length, and its server reset the
// connection while a long upload was being written to it. A reset is reported to one call on the socket only; if that
// is the write, the read finds an end in order.
func TestEarlyAnswerWhoseConnectionBreaksIsNotWhole(t *testing.T) {
	upload := strings.Repeat("x", cutanswer.UploadBytes)
	head := "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n"
	for name, c := range map[string]struct{ path, body string }{
		"command":                {"/once/", "part"},
		"may be repeated":        {"/often/", "part"},
		"long":                   {"/once/", strings.Repeat("p", 2*maxBufferedBytes)},
		"stream":                 {"/stream/", events(1)},
		"stream that may resume": {"/resume/", events(1)},
	} {
		for _, ending := range cutanswer.EarlyEndings {
			t.Run(name+", "+ending.Name, func(t *testing.T) {
				t.Parallel()
				server := cutanswer.NewEarlyServer(t, head+c.body, ending)
				f := newFixture(t, &fakeServer{address: server.Address})
				f.takeUploads()
				for range earlySends {
					checkEarly(t, ending, c.body, f.send(t, http.MethodPost, c.path, upload))
				}
				if ending.IsWhole && server.WholeRequests.Load() != server.Requests.Load() {
					t.Errorf("%d of %d requests came whole", server.WholeRequests.Load(), server.Requests.Load())
				}
			})
		}
	}
}

// Guards against the same where a peer passes the answer on.
func TestEarlyAnswerThatBreaksAtAPeerIsNotWhole(t *testing.T) {
	for _, ending := range cutanswer.EarlyEndings {
		t.Run(ending.Name, func(t *testing.T) {
			t.Parallel()
			server := cutanswer.NewEarlyServer(t, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\npart", ending)
			node, peer, _ := newCutOff(t, &fakeServer{address: server.Address})
			node.takeUploads()
			peer.takeUploads()
			for range earlySends {
				checkEarly(t, ending, "part", node.send(t, http.MethodPost, "/once/", strings.Repeat("x", cutanswer.UploadBytes)))
			}
		})
	}
}

// Guards against the same where the caller knows no chunks, so that its answer ends with its connection too.
func TestEarlyAnswerThatBreaksIsNotWholeForCallersWithoutChunks(t *testing.T) {
	for _, ending := range cutanswer.EarlyEndings {
		t.Run(ending.Name, func(t *testing.T) {
			t.Parallel()
			server := cutanswer.NewEarlyServer(t, "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\n"+events(1), ending)
			f := newFixture(t, &fakeServer{address: server.Address})
			f.takeUploads()
			for range earlySends {
				checkEarly(t, ending, events(1), f.sendUnframed(t, "/stream/", strings.Repeat("x", cutanswer.UploadBytes)))
			}
		})
	}
}

// takeUploads allows bodies of cutanswer.UploadBytes.
func (f *fixture) takeUploads() {
	table := testTable()
	table.Limits.MaxBodyBytes = 2 * cutanswer.UploadBytes
	f.handler.SetTable(table)
}

func checkEarly(t *testing.T, ending cutanswer.EarlyEnding, body string, got result) {
	t.Helper()
	isWhole := got.err == nil && got.status == http.StatusOK && got.body == body
	switch {
	case ending.IsWhole && !isWhole:
		t.Errorf("status %d, %d bytes, error %v, want the whole answer", got.status, len(got.body), got.err)
	case !ending.IsWhole && got.err == nil && got.status == http.StatusOK:
		t.Errorf("status %d, %d bytes taken for whole", got.status, len(got.body))
	case got.err == nil && promisesNotRun(got.status):
		t.Errorf("status %d, for a request that may have run", got.status)
	}
}
