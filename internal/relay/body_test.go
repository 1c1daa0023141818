package relay

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/spanlanding/spanlanding/internal/membudget"
)

// Guards against a node that keeps the bodies of all waiting requests, until its memory runs out.
func TestRequestsBeyondTheMemoryAreRefused(t *testing.T) {
	const held = 3
	arrived, release := make(chan struct{}, held), make(chan struct{})
	server := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		if strings.HasPrefix(request.Header.Get("X-Id"), "held") {
			arrived <- struct{}{}
			<-release
		}
		return respondWith(http.StatusOK, "whole")(conn, request)
	})
	f := newFixture(t, server)
	body := strings.Repeat("b", 1000)
	memory := membudget.New(held * (requestOverheadBytes + int64(len(body))))
	f.handler.options.Memory = memory
	results := make(chan result, held)
	for number := range held {
		go func() {
			results <- f.send(t, http.MethodPost, "/once/", body, "X-Id", "held"+string(rune('0'+number)))
		}()
	}
	for range held {
		<-arrived
	}
	refused := f.send(t, http.MethodPost, "/once/", body, "X-Id", "refused")
	if refused.status != http.StatusServiceUnavailable || refused.header.Get("Retry-After") == "" || !strings.Contains(refused.body, reasonMemoryFull) {
		t.Errorf("beyond the memory: %d, %v, %q; want 503 with Retry-After", refused.status, refused.header, refused.body)
	}
	close(release)
	for range held {
		if got := <-results; got.status != http.StatusOK || got.body != "whole" {
			t.Errorf("status %d, %q, error %v, want those within the memory served whole", got.status, got.body, got.err)
		}
	}
	if got := f.send(t, http.MethodPost, "/once/", body, "X-Id", "later"); got.status != http.StatusOK {
		t.Errorf("status %d once there is room again, want 200", got.status)
	}
	f.awaitIdle()
	if used, _ := memory.Used(); used != 0 || server.count() != held+1 || f.handler.Metrics.MemoryRefused.Load() != 1 {
		t.Errorf("%d bytes are kept, %d requests were sent, %d are counted as refused", used, server.count(), f.handler.Metrics.MemoryRefused.Load())
	}
}

// Guards against a body in chunks, whose length nobody says before, beyond the memory.
func TestBodyInChunksBeyondTheMemoryIsRefused(t *testing.T) {
	server := newFakeServer(t, respondWith(http.StatusOK, "whole"))
	f := newFixture(t, server)
	f.handler.options.Memory = membudget.New(requestOverheadBytes + 500)
	for length, want := range map[int]int{400: http.StatusOK, 600: http.StatusServiceUnavailable} {
		request, err := http.NewRequest(http.MethodPost, f.url+"/once/", io.MultiReader(strings.NewReader(strings.Repeat("b", length))))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Id", "r1")
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != want {
			t.Errorf("%d bytes in chunks: status %d, want %d", length, response.StatusCode, want)
		}
	}
	f.awaitIdle()
	if used, _ := f.handler.options.Memory.Used(); used != 0 || server.count() != 1 {
		t.Errorf("%d bytes are kept, %d requests were sent", used, server.count())
	}
}

// Guards against long events of many streams, beyond the memory together.
func TestEventsBeyondTheMemoryEndTheirStream(t *testing.T) {
	long := "id: 2\ndata: " + strings.Repeat("x", 100<<10) + "\n\n"
	server := newFakeServer(t, func(conn net.Conn, _ *http.Request) bool {
		write(conn, streamHead+chunk(events(1))+chunk(long)+"0\r\n\r\n")
		return true
	})
	f := newFixture(t, server)
	for room, isWhole := range map[int64]bool{10 << 10: false, 1 << 20: true} {
		f.handler.options.Memory = membudget.New(requestOverheadBytes + room)
		got := f.send(t, http.MethodPost, "/stream/", "")
		if (got.err == nil && got.body == events(1)+long) != isWhole {
			t.Errorf("%d bytes of room: %d bytes, error %v, want whole: %v", room, len(got.body), got.err, isWhole)
		}
		f.awaitIdle()
		if used, _ := f.handler.options.Memory.Used(); used != 0 {
			t.Errorf("%d bytes are kept", used)
		}
	}
}

// Guards against refusals and denials that callers with long bodies don't get, as the connection is reset while
// they still send.
func TestCallersWithLongBodiesGetEarlyResponses(t *testing.T) {
	const callers, bodyBytes = 40, 4 << 20
	body := strings.Repeat("b", bodyBytes)
	for name, c := range map[string]struct {
		path    string
		prepare func(f *fixture)
		want    int
	}{
		"no memory": {"/llm/", func(f *fixture) {
			f.handler.SetTable(engineTable(0))
			f.handler.options.Memory = membudget.New(1)
		}, http.StatusServiceUnavailable},
		"body too long":    {"/once/", func(*fixture) {}, http.StatusRequestEntityTooLarge},
		"no route":         {"/unknown/", func(*fixture) {}, http.StatusNotFound},
		"no configuration": {"/once/", func(f *fixture) { f.handler.table.Store(nil) }, http.StatusServiceUnavailable},
		"stopping":         {"/once/", func(f *fixture) { f.handler.Close() }, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			c.prepare(f)
			var group sync.WaitGroup
			var lost atomic.Int64
			for range callers {
				group.Go(func() {
					if got := f.send(t, http.MethodPost, c.path, body, "Connection", "close"); got.status != c.want {
						lost.Add(1)
					}
				})
			}
			group.Wait()
			if lost.Load() > 0 {
				t.Errorf("%d of %d callers did not get the response", lost.Load(), callers)
			}
		})
	}
}
