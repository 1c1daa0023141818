package relay

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against a timeout per idle connection: after one kept connection to a silent server failed a
// request, the others are not used any more.
func TestSilentConnectionsAreLeft(t *testing.T) {
	const kept = 3
	var silent atomic.Bool
	var mu sync.Mutex
	old := make(map[net.Conn]bool)
	arrived := make(chan struct{}, kept)
	begin := make(chan struct{})
	server := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		mu.Lock()
		isOld := old[conn]
		if !silent.Load() {
			old[conn] = true
		}
		mu.Unlock()
		if silent.Load() && isOld {
			return true
		}
		if !silent.Load() {
			arrived <- struct{}{}
			<-begin
		}
		write(conn, reply(request.Header.Get("X-Id"), http.StatusOK, "done"))
		return true
	})
	f := newFixture(t, server)
	var group sync.WaitGroup
	for range kept {
		group.Add(1)
		go func() {
			defer group.Done()
			f.send(t, http.MethodPost, "/once/", "b")
		}()
	}
	for range kept {
		<-arrived
	}
	close(begin)
	group.Wait()
	silent.Store(true)
	if got := f.send(t, http.MethodPost, "/once/", "b", "X-Id", "r2", "X-Wait", "200ms"); got.status != http.StatusGatewayTimeout {
		t.Fatalf("status %d on a silent connection, want %d", got.status, http.StatusGatewayTimeout)
	}
	if got := f.send(t, http.MethodPost, "/once/", "b", "X-Id", "r3", "X-Wait", "200ms"); got.status != http.StatusOK {
		t.Errorf("status %d, want 200: another silent connection was used", got.status)
	}
}
