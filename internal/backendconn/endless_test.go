package backendconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/bounded"
)

// endlessServer writes the beginning, and then the unit again and again until its connection is closed, or
// mostWritten bytes were read. It counts these.
type endlessServer struct {
	begin, unit string
	read        atomic.Int64
}

const mostWritten = 4 << 20

func (s *endlessServer) dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		_, _ = far.Read(make([]byte, 4096))
		defer far.Close()
		for text := s.begin; s.read.Load() < mostWritten; text = s.unit {
			count, err := io.WriteString(far, text)
			s.read.Add(int64(count))
			if err != nil {
				return
			}
		}
	}()
	return near, nil
}

// Guards against heads and other bytes without end, which were read until memory ran out.
func TestHeadsWithoutEndAreNotReadToTheirEnd(t *testing.T) {
	const status, line = "HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"
	// What is read ahead does not count.
	const readAhead = 4096
	for name, server := range map[string]*endlessServer{
		"status line":           {begin: "HTTP/1.1 200 ", unit: strings.Repeat("o", 1000)},
		"one field":             {begin: status + "X-Field: ", unit: strings.Repeat("v", 1000)},
		"name of a field":       {begin: status, unit: strings.Repeat("n", 1000)},
		"fields":                {begin: status, unit: strings.Repeat(line, 60)},
		"short fields":          {begin: status, unit: "a:\n"},
		"folded field":          {begin: status + "X-Field: a\r\n", unit: " b\r\n"},
		"no line":               {unit: strings.Repeat("\x16", 1000)},
		"lines that are none":   {unit: "nonsense\r\n"},
		"empty lines":           {unit: "\r\n"},
		"zeros":                 {unit: strings.Repeat("\x00", 1000)},
		"informational answers": {unit: "HTTP/1.1 103 Early Hints\r\n" + line + "\r\n"},
		"answers to others":     {unit: "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			pool := New(Options{Dial: server.dial})
			conn, err := pool.Get(context.Background(), "server", "r1")
			if err != nil {
				t.Fatal(err)
			}
			_, err = conn.RoundTrip(context.Background(), Request{
				Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
				Matches: func(header http.Header) bool { return header.Get("X-Id") == "r1" },
			})
			if !errorx.IsOfType(err, ErrMaybeSent) {
				t.Errorf("error %v, want that the request may have been sent", err)
			}
			if read := server.read.Load(); read > bounded.DefaultHeadBytes+readAhead {
				t.Errorf("%d bytes were read, want %d at most", read, bounded.DefaultHeadBytes+readAhead)
			}
		})
	}
}
