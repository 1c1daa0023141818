package backendconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"github.com/spanlanding/spanlanding/internal/bounded"
	"github.com/spanlanding/spanlanding/internal/clock"
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

// respondOnce has a server send the text and then nothing, with its connection open.
func respondOnce(text string) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Read(make([]byte, 4096))
			_, _ = io.WriteString(far, text)
			_, _ = io.Copy(io.Discard, far)
		}()
		return near, nil
	}
}

// Guards against bytes that are no answer, or several ones, taken for a response.
func TestWhatIsNoResponseIsNotTakenForOne(t *testing.T) {
	const status = "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string]string{
		"TLS":                             "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\n",
		"HTTP/2":                          "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"empty line":                      "\r\n",
		"no status":                       "HTTP/1.1\r\n\r\n",
		"status that is no number":        "HTTP/1.1 two OK\r\n\r\n",
		"field without a name":            status + ": v\r\n\r\n",
		"field without a colon":           status + "Field\r\n\r\n",
		"NUL in a value":                  status + "Field: a\x00b\r\n\r\n",
		"bare CR in a value":              status + "Field: a\rb\r\n\r\n",
		"two lengths":                     status + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
		"negative length":                 status + "Content-Length: -1\r\n\r\n",
		"length that is no number":        status + "Content-Length: 1x\r\n\r\n",
		"length beyond 63 bits":           status + "Content-Length: 9223372036854775808\r\n\r\n",
		"unknown encoding of its framing": status + "Transfer-Encoding: gzip\r\n\r\n",
	} {
		pool := New(Options{Dial: respondOnce(text)})
		conn, err := pool.Get(context.Background(), "server", "r1")
		if err != nil {
			t.Fatal(err)
		}
		request := Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Deadline: clock.Now().Add(5 * time.Second)}
		if _, err := conn.RoundTrip(context.Background(), request); !errorx.IsOfType(err, ErrMaybeSent) {
			t.Errorf("%s: error %v, want that the request may have been sent", name, err)
		}
	}
}

// Guards against a connection that is used again after a response whose end is in doubt, and against a body
// that looks whole and is not.
func TestBodiesInDoubtEndTheirConnection(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		text    string
		isWhole bool
	}{
		"second answer behind the first": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n\r\n", true},
		"bytes behind the answer":        {chunked + "2\r\nab\r\n0\r\n\r\nxx", true},
		"chunk of 2^63 bytes":            {chunked + "8000000000000000\r\nab\r\n0\r\n\r\n", false},
		"chunk of 2^64 bytes":            {chunked + "10000000000000000\r\nab\r\n0\r\n\r\n", false},
		"chunk without a length":         {chunked + "\r\nab\r\n0\r\n\r\n", false},
		"negative chunk":                 {chunked + "-2\r\nab\r\n0\r\n\r\n", false},
		"chunk that is longer":           {chunked + "1\r\nab\r\n0\r\n\r\n", false},
		"endless extension of a chunk":   {chunked + "2;" + strings.Repeat("x", 1<<20) + "\r\nab\r\n0\r\n\r\n", false},
		"endless trailer":                {chunked + "2\r\nab\r\n0\r\n" + strings.Repeat("A: b\r\n", 1<<16) + "\r\n", false},
	} {
		pool := New(Options{Dial: respondOnce(c.text)})
		conn, err := pool.Get(context.Background(), "server", "r1")
		if err != nil {
			t.Fatal(err)
		}
		deadline := clock.Now().Add(time.Second)
		response, err := conn.RoundTrip(context.Background(), Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Deadline: deadline})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		body, err := io.ReadAll(response)
		response.Close()
		if isWhole := err == nil && string(body) == "ab"; isWhole != c.isWhole {
			t.Errorf("%s: body %.20q, error %v, want whole: %v", name, body, err, c.isWhole)
		}
		if len(pool.idle["server"]) > 0 {
			t.Errorf("%s: the connection is kept", name)
		}
	}
}

// Guards against a body that is taken for a head: the head of a response may have come together with a response
// before it, and what follows is its body, which may be long and slow.
func TestBodyBehindHeadsThatCameTogetherIsWhole(t *testing.T) {
	const partialTimeout = 50 * time.Millisecond
	body := strings.Repeat("a line of the body\n", 20_000)
	final := "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: " + strconv.Itoa(2*len(body)) + "\r\n\r\n"
	for name, before := range map[string]string{
		"alone":                    "",
		"an informational answer":  "HTTP/1.1 103 Early Hints\r\n\r\n",
		"an answer to another one": "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nab",
	} {
		pool := New(Options{Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				_, _ = far.Read(make([]byte, 4096))
				_, _ = io.WriteString(far, before+final+body)
				time.Sleep(3 * partialTimeout)
				_, _ = io.WriteString(far, body)
			}()
			return near, nil
		}})
		conn, err := pool.Get(context.Background(), "server", "r1")
		if err != nil {
			t.Fatal(err)
		}
		response, err := conn.RoundTrip(context.Background(), Request{
			Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Deadline: clock.Now().Add(10 * time.Second), PartialTimeout: partialTimeout,
			Matches: func(header http.Header) bool { return header.Get("X-Id") == "r1" },
		})
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if text, err := io.ReadAll(response); err != nil || string(text) != body+body {
			t.Errorf("%s: %d bytes of %d, error %v", name, len(text), 2*len(body), err)
		}
	}
}
