package backendconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
)

// BenchmarkExchange measures one request and its response of ten fields on a kept connection in memory.
func BenchmarkExchange(b *testing.B) {
	const response = "HTTP/1.1 200 OK\r\nDate: Fri, 04 Dec 2026 12:00:00 GMT\r\nContent-Type: application/json\r\nContent-Length: 2\r\n" +
		"Request-Id: 9c41d07be2a35f68\r\nServer-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nInstance-Load: 3,0,8\r\nWeight-Versions: 1\r\n" +
		"Instance-Id: i-7f3a91c2\r\nKeep-Alive: timeout=30\r\nServer: s\r\n\r\n{}"
	pool := New(Options{Dial: func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			reader := bufio.NewReader(far)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				if _, err := io.WriteString(far, response); err != nil {
					return
				}
			}
		}()
		return near, nil
	}})
	request := Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Request-Id": {"9c41d07be2a35f68"}}}
	body := make([]byte, 16)
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		number++
		conn, err := pool.Get(context.Background(), "server", strconv.Itoa(number))
		if err != nil {
			b.Fatal(err)
		}
		got, err := conn.RoundTrip(context.Background(), request)
		if err != nil {
			b.Fatal(err)
		}
		for err == nil {
			_, err = got.Read(body)
		}
	}
}
