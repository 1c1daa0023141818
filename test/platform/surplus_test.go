package platform

import (
	"bytes"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// repeatingListener accepts connections on which the server may send a rejection a second time, late,
// where the response to the next request is due.
type repeatingListener struct {
	net.Listener
	// isRepeating is set while the server does so, and repeated counts the second copies.
	isRepeating atomic.Bool
	repeated    atomic.Int64
}

// Accept implements net.Listener.
func (l *repeatingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &repeatingConn{TCPConn: conn.(*net.TCPConn), listener: l}, nil
}

// repeatingConn is a connection of a repeatingListener. The server writes one response at a time.
type repeatingConn struct {
	*net.TCPConn
	listener  *repeatingListener
	rejection []byte
}

// Write implements net.Conn.
func (c *repeatingConn) Write(text []byte) (int, error) {
	if len(c.rejection) > 0 && isResponseHead(text) {
		surplus := c.rejection
		c.rejection = nil
		c.listener.repeated.Add(1)
		if _, err := c.TCPConn.Write(surplus); err != nil {
			return 0, err
		}
	}
	if c.listener.isRepeating.Load() && isRejection(text) {
		c.rejection = bytes.Clone(text)
	}
	return c.TCPConn.Write(text)
}

func isResponseHead(text []byte) bool { return bytes.HasPrefix(text, []byte("HTTP/1.1 ")) }

// isRejection reports whether the text is the response to a request that did not run.
func isRejection(text []byte) bool {
	return bytes.Contains(text, []byte("\r\nNot-Executed: 1\r\n")) && bytes.Contains(text, []byte("\r\nRequest-Id: ")) && bytes.HasSuffix(text, []byte("\r\n\r\n"))
}

// surplusKind has a server send its rejections twice.
func surplusKind() kind {
	return kind{"surplus-answers", 2, func(s *soak, d drawnFault) {
		s.serverFault(d, "sends rejections twice", func(m *modelServer, on bool) { m.repeating.isRepeating.Store(on) })
	}}
}

// TestLateCopyOfARejectionDoesNotAnswerTheNextSend guards against a rejection that a server sends twice:
// its copy was taken for the response to the next send of the request, which ran twice, or was refused
// although it ran; and for the response to an order, so that the leader forgot the server.
func TestLateCopyOfARejectionDoesNotAnswerTheNextSend(t *testing.T) {
	t.Parallel()
	const adapters = 12
	f := newFleet(t, 3)
	models := newUnlistedServer(t, "z", "i-models", "models", 50*time.Millisecond, "m1")
	models.set(func() { models.streamPause, models.adapterTime = 10*time.Millisecond, 80*time.Millisecond })
	models.repeating.isRepeating.Store(true)
	models.register(f.store, "ready")
	config := newConfig(1)
	engine := config["services"].([]map[string]any)[1]["engine"].(map[string]any)
	engine["adapterSlots"], engine["models"] = adapters+1, []map[string]any{{"name": "m1", "weightsMb": 60, "loadS": 0.2, "adapters": adapters + 1, "adapterSizeMb": 1}}
	f.store.put("config", "main", config)
	f.awaitReady()
	eventually(t, "an adapter is loaded", func() bool {
		return f.nodes[0].readStream(fmt.Sprint("warm-", time.Now().UnixNano()), "/chat/x", 0, "Model", "m1/a1").isWhole
	})
	for number := range adapters {
		attempt := 0
		eventually(t, "an adapter's request is served", func() bool {
			attempt++
			models.register(f.store, "ready")
			id := fmt.Sprintf("r%d-%d", number, attempt)
			got := f.nodes[(number+attempt)%len(f.nodes)].readStream(id, "/chat/x", 0, "Model", fmt.Sprint("m1/a", number+2))
			runs := 0
			models.set(func() { runs = models.runs[id] })
			if runs > 1 || got.isWhole != (runs == 1) {
				t.Errorf("%s got %d (whole: %v) and ran %d times", id, got.status, got.isWhole, runs)
			}
			return got.isWhole
		})
		// The next request of this connection brings the copy.
		time.Sleep(200 * time.Millisecond)
	}
	if models.repeating.repeated.Load() == 0 {
		t.Error("no rejection was sent twice")
	}
}
