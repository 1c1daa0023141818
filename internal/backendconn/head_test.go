package backendconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"
)

// answerOnce returns a function that opens connections whose server answers the request with the text, and closes
// them.
func answerOnce(text string) func(context.Context, string) (net.Conn, error) {
	return func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go func() {
			defer far.Close()
			_, _ = far.Read(make([]byte, 4096))
			_, _ = io.WriteString(far, text)
		}()
		return near, nil
	}
}

// Guards against answers that are none: a status below 100 that was passed on, a head whose field with a blank in its
// name was left out, or whose length or chunks were overlooked so that the body was not the server's.
func TestMalformedAnswerIsNotPassedOn(t *testing.T) {
	const start, own, end = "HTTP/1.1 200 OK\r\n", "X-Id: r1\r\n", "Content-Length: 2\r\n\r\nok"
	const whole = start + own + end
	for name, c := range map[string]struct {
		text string
		// wantStatus is 0 if the answer is not to be passed on.
		wantStatus int
	}{
		"status 000":                            {"HTTP/1.1 000 OK\r\n" + own + end, 0},
		"status 000 without a length":           {"HTTP/1.1 000 OK\r\n" + own + "\r\nok", 0},
		"status 000 before another head":        {"HTTP/1.1 000 OK\r\n" + own + "\r\n" + whole, 0},
		"status 099":                            {"HTTP/1.1 099 OK\r\n" + own + end, 0},
		"status 050 before another head":        {"HTTP/1.1 050 OK\r\n\r\n" + whole, 0},
		"status +20":                            {"HTTP/1.1 +20 OK\r\n" + own + end, 0},
		"status -20":                            {"HTTP/1.1 -20 OK\r\n" + own + end, 0},
		"status of four digits":                 {"HTTP/1.1 2000 OK\r\n" + own + end, 0},
		"status 600":                            {"HTTP/1.1 600 Odd\r\n" + own + end, 600},
		"status 999":                            {"HTTP/1.1 999 Odd\r\n" + own + end, 999},
		"HTTP/0.9":                              {"HTTP/0.9 200 OK\r\n" + own + end, 0},
		"HTTP/2.0":                              {"HTTP/2.0 200 OK\r\n" + own + end, 0},
		"HTTP/3.7":                              {"HTTP/3.7 200 OK\r\n" + own + end, 0},
		"HTTP/1.0":                              {"HTTP/1.0 200 OK\r\n" + own + end, http.StatusOK},
		"blank in a name":                       {start + own + "Fo o: x\r\n" + end, 0},
		"blank before the colon":                {start + own + "Foo : x\r\n" + end, 0},
		"blank behind Content-Length":           {start + own + "Content-Length : 7\r\n\r\nok and more", 0},
		"blank behind Transfer-Encoding":        {start + own + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0},
		"tab before the colon":                  {start + own + "Foo\t: x\r\n" + end, 0},
		"control byte in a name":                {start + own + "Fo\x01o: x\r\n" + end, 0},
		"NUL in a name":                         {start + own + "Fo\x00o: x\r\n" + end, 0},
		"DEL in a name":                         {start + own + "Fo\x7fo: x\r\n" + end, 0},
		"CR in a name":                          {start + own + "Fo\ro: x\r\n" + end, 0},
		"byte over 7f in a name":                {start + own + "Fo\xe9o: x\r\n" + end, 0},
		"parenthesis in a name":                 {start + own + "Fo(o: x\r\n" + end, 0},
		"empty name":                            {start + own + ": x\r\n" + end, 0},
		"no colon":                              {start + own + "Foo\r\n" + end, 0},
		"control byte in a value":               {start + own + "Foo: \x01\r\n" + end, 0},
		"NUL in a value":                        {start + own + "Foo: a\x00b\r\n" + end, 0},
		"CR in a value":                         {start + own + "Foo: a\rb\r\n" + end, 0},
		"two lengths":                           {start + own + "Content-Length: 3\r\n" + end, 0},
		"signed length":                         {start + own + "Content-Length: +2\r\n\r\nok", 0},
		"coding that is not known":              {start + own + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0},
		"blank in a name of a 103":              {"HTTP/1.1 103 Early Hints\r\nFo o: x\r\n\r\n" + whole, 0},
		"control byte in a name of a 103":       {"HTTP/1.1 103 Early Hints\r\nFo\x01o: x\r\n\r\n" + whole, 0},
		"HTTP/3.7 in a 103":                     {"HTTP/3.7 103 Early Hints\r\n\r\n" + whole, 0},
		"blank in a name of a surplus answer":   {start + "X-Id: r0\r\nFo o: x\r\n" + end + whole, 0},
		"HTTP/3.7 in a surplus answer":          {"HTTP/3.7 200 OK\r\nX-Id: r0\r\n" + end + whole, 0},
		"blank in a name behind a surplus one":  {start + "X-Id: r0\r\n" + end + start + own + "Fo o: x\r\n" + end, 0},
		"whole behind a surplus answer":         {start + "X-Id: r0\r\n" + end + whole, http.StatusOK},
		"blank in a name of a trailer":          {start + own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFo o: x\r\n\r\n", 0},
		"control byte in a name of a trailer":   {start + own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFo\x01o: x\r\n\r\n", 0},
		"whole with a trailer":                  {start + own + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nFoo: x\r\n\r\n", http.StatusOK},
		"blank in a name of a rejection":        {"HTTP/1.1 503 Full\r\n" + own + "Not-Executed: 1\r\nFo o: x\r\n" + end, 0},
		"blank behind the word of a rejection":  {"HTTP/1.1 503 Full\r\n" + own + "Not-Executed : 1\r\n" + end, 0},
		"odd names that the protocol allows":    {start + own + "!#$%&'*+-.^_`|~09aZ: x\r\n" + end, http.StatusOK},
		"folded line":                           {start + own + "Foo: a\r\n b\r\n" + end, http.StatusOK},
		"length beside chunks":                  {start + own + "Content-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", http.StatusOK},
		"whole":                                 {whole, http.StatusOK},
		"whole behind a 103":                    {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + whole, http.StatusOK},
		"bytes over 7f and a tab in a value":    {start + own + "Foo: a\t\xe9\r\n" + end, http.StatusOK},
		"whole, with line feeds alone":          {"HTTP/1.1 200 OK\nX-Id: r1\nContent-Length: 2\n\nok", http.StatusOK},
		"blank in a name, with line feeds only": {"HTTP/1.1 200 OK\nX-Id: r1\nFo o: x\nContent-Length: 2\n\nok", 0},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := New(Options{Dial: answerOnce(c.text)}).Get(t.Context(), "server", "r1")
			if err != nil {
				t.Fatal(err)
			}
			response, err := conn.RoundTrip(t.Context(), Request{
				Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
				Matches: func(header http.Header) bool { return header.Get("X-Id") == "r1" },
			})
			if err != nil && !errorx.IsOfType(err, ErrMaybeSent) {
				t.Errorf("error %v, want that the request may have been sent", err)
			}
			var body []byte
			if err == nil {
				defer response.Close()
				body, err = io.ReadAll(response)
			}
			switch {
			case c.wantStatus == 0 && err == nil:
				t.Errorf("status %d, %q, passed on", response.Status, body)
			case c.wantStatus > 0 && err != nil:
				t.Errorf("error %v, want status %d", err, c.wantStatus)
			case c.wantStatus > 0 && (response.Status != c.wantStatus || string(body) != "ok"):
				t.Errorf("status %d, %q, want %d", response.Status, body, c.wantStatus)
			}
		})
	}
}
