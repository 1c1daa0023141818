package relay

import (
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
)

// repeatingServer rejects its first request and runs all others. On the connection of the first it sends
// the rejection again where the response to the next request is due.
func repeatingServer(t *testing.T, runs *atomic.Int64, run func(conn net.Conn, request *http.Request)) *fakeServer {
	t.Helper()
	var rejected atomic.Value
	return newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		rejection := reply(request.Header.Get("X-Id"), http.StatusMisdirectedRequest, "", "X-Not-Run: 1")
		if rejected.CompareAndSwap(nil, conn.RemoteAddr().String()) {
			write(conn, rejection)
			return true
		}
		if rejected.Load() == conn.RemoteAddr().String() {
			write(conn, rejection)
		}
		runs.Add(1)
		run(conn, request)
		return true
	})
}

// TestLateCopyOfARejectionDoesNotAnswerTheNextSend guards against a rejection that a server sends twice:
// its copy was taken for the response to the next send of the request, which ran all the while.
func TestLateCopyOfARejectionDoesNotAnswerTheNextSend(t *testing.T) {
	const served = "id: 1\ndata: a\n\n"
	for name, c := range map[string]struct {
		serversAtAddress   int
		path, model        string
		prepare            func(f *fixture)
		respond            func(conn net.Conn, request *http.Request)
		want               string
		isForwardedByAPeer bool
	}{
		"adapter that is loading, once": {
			serversAtAddress: 1, path: "/llm/", model: "m/a",
			prepare: func(f *fixture) {
				f.handler.SetTable(engineTable(0))
				f.setView(map[string][]string{"m": {"a"}}, nil)
			},
			respond: func(conn net.Conn, request *http.Request) {
				write(conn, reply(request.Header.Get("X-Id"), http.StatusOK, "whole"))
			},
			want: "whole",
		},
		"command, two servers behind one address": {
			serversAtAddress: 2, path: "/command/", prepare: func(*fixture) {},
			respond: func(conn net.Conn, request *http.Request) {
				write(conn, reply(request.Header.Get("X-Id"), http.StatusOK, "whole"))
			},
			want: "whole",
		},
		"stream, two servers behind one address": {
			serversAtAddress: 2, path: "/resume/", prepare: func(*fixture) {},
			respond: func(conn net.Conn, request *http.Request) {
				write(conn, reply(request.Header.Get("X-Id"), http.StatusOK, served))
			},
			want: served,
		},
		"forwarded by a peer": {
			serversAtAddress: 2, path: "/command/", prepare: func(*fixture) {}, isForwardedByAPeer: true,
			respond: func(conn net.Conn, request *http.Request) {
				write(conn, reply(request.Header.Get("X-Id"), http.StatusOK, "whole"))
			},
			want: "whole",
		},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			server := repeatingServer(t, &runs, c.respond)
			servers := []*fakeServer{server}
			for len(servers) < c.serversAtAddress {
				servers = append(servers, server)
			}
			f := newFixture(t, servers...)
			c.prepare(f)
			caller := f
			if c.isForwardedByAPeer {
				caller = newFixture(t)
				caller.cutOff(f.newPeer(t))
			}
			got := caller.send(t, http.MethodPost, c.path, "body", "X-Model", c.model)
			if got.status != http.StatusOK || got.body != c.want || runs.Load() != 1 {
				t.Errorf("status %d, %q, ran %d times, want the whole response of one run", got.status, got.body, runs.Load())
			}
		})
	}
}

// TestLateCopyIsNotTheAnswerToAnotherForward guards against the copy of a whole response that a peer's node
// takes for the response to a second forward of the same request, as after its connection to the peer broke.
func TestLateCopyIsNotTheAnswerToAnotherForward(t *testing.T) {
	var received atomic.Int64
	var first atomic.Value
	server := newFakeServer(t, func(conn net.Conn, request *http.Request) bool {
		id, number := request.Header.Get("X-Id"), received.Add(1)
		if !first.CompareAndSwap(nil, conn.RemoteAddr().String()) && first.Load() == conn.RemoteAddr().String() {
			write(conn, reply(id, http.StatusOK, "run 1"))
		}
		write(conn, reply(id, http.StatusOK, "run "+strconv.FormatInt(number, 10)))
		return true
	})
	peer := newFixture(t, server)
	for number := range 2 {
		node := newFixture(t)
		node.cutOff(peer.newPeer(t))
		want := "run " + strconv.Itoa(number+1)
		if got := node.send(t, http.MethodGet, "/often/", ""); got.body != want {
			t.Errorf("forward %d got %q, want %q", number+1, got.body, want)
		}
	}
}
