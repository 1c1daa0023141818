package cutanswer

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// endlessUnit is the least that is written at a time of an answer without end.
	endlessUnit = 64 << 10
	// mostWritten is where a server gives up an answer whose caller reads on and on.
	mostWritten = 512 << 20
	// keptInSockets is what the kernel's buffers of a connection may take.
	keptInSockets = 48 << 20
	// endlessCallTime is far longer than a call takes that notices that its answer has no end.
	endlessCallTime = 30 * time.Second
)

// endlessAnswers are bytes that go on until the connection is closed: how they begin, and what then comes again and
// again.
var endlessAnswers = []struct{ name, begin, unit string }{
	{"status line", "HTTP/1.1 200 ", "x"},
	{"field", "HTTP/1.1 200 OK\r\nField: ", "x"},
	{"name of a field", "HTTP/1.1 200 OK\r\n", "x"},
	{"fields", "HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
	{"bytes that are no answer", "", "\x16"},
	{"early answers", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	{"body without a length", "HTTP/1.1 200 OK\r\n\r\n{\"a\":\"", "x"},
	{"body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf("x")},
	{"extension of a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "x"},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n"},
	{"blanks in a body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf(" ")},
	{"failure", "HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf("x")},
	{"rejection", "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n", chunkOf("x")},
}

// chunkOf returns a chunk of the character, large enough that its length hardly counts.
func chunkOf(character string) string { return "400\r\n" + strings.Repeat(character, 1024) + "\r\n" }

// ForEachEndless starts a server for each kind of answer without end. call makes one call of a client that keeps most
// bytes of an answer at most; it must return before its context ends, and not have read much more.
func ForEachEndless(t *testing.T, most int64, call func(ctx context.Context, address string)) {
	t.Helper()
	for _, answer := range endlessAnswers {
		t.Run(answer.name, func(t *testing.T) {
			t.Parallel()
			server := &endlessServer{begin: answer.begin, unit: strings.Repeat(answer.unit, endlessUnit/len(answer.unit)+1)}
			address := listen(t, server.serve)
			ctx, cancel := context.WithTimeout(t.Context(), endlessCallTime)
			defer cancel()
			call(ctx, address)
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				t.Errorf("the call read on until its deadline, %d bytes", server.written.Load())
			}
			if written := server.written.Load(); written > most+keptInSockets {
				t.Errorf("%d bytes were read, want %d at most", written, most)
			}
		})
	}
}

type endlessServer struct {
	begin, unit string
	written     atomic.Int64
}

func (s *endlessServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	for text := s.begin; s.written.Load() < mostWritten; text = s.unit {
		count, err := io.WriteString(conn, text)
		s.written.Add(int64(count))
		if err != nil {
			return
		}
	}
}
