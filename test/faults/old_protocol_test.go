package faults

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
)

// TestStreamOfAKilledNodeDoesNotLookWhole guards against callers of HTTP/1.0 whose answers end with the connection:
// the kernel closes those of a node that is killed.
func TestStreamOfAKilledNodeDoesNotLookWhole(t *testing.T) {
	f := startFleet(t)
	conn, err := net.Dial("tcp", f.nodes[0].caller())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	const body = `{"stream":true,"max_tokens":400,"messages":[{"role":"user","content":"nuts?"}]}`
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: a\r\nX-Spanlanding-Labels: job=allergy\r\nContent-Length: %d\r\n\r\n%s",
		backend.PathChat, len(body), body); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	events := bufio.NewReader(answer.Body)
	if first, err := events.ReadString('\n'); answer.StatusCode != http.StatusOK || err != nil {
		t.Fatalf("%d %q, %v", answer.StatusCode, first, err)
	}
	f.killNode(f.nodes[0])
	if rest, err := io.ReadAll(events); err == nil || strings.Contains(string(rest), "[DONE]") {
		t.Errorf("the stream goes on with %d bytes and ends with %v", len(rest), err)
	}
}
