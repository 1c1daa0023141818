package backendconn

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/clock"
	"github.com/spanlanding/spanlanding/internal/cutanswer"
	"github.com/spanlanding/spanlanding/internal/delivery"
)

const unframedAnswer = "HTTP/1.1 200 OK\r\n\r\npart"

func sendEarly(t *testing.T, ctx context.Context, server *cutanswer.EarlyServer, body []byte, wait time.Duration) *Response {
	t.Helper()
	conn, err := New(Options{DialTimeout: cutanswer.DialTimeout}).Get(ctx, server.Address, "r1")
	if err != nil {
		t.Fatal(err)
	}
	response, err := conn.RoundTrip(ctx, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: body, HasBody: true, Deadline: clock.Now().Add(wait),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(response.Close)
	return response
}

// Guards against a reset that comes behind the end of an answer, where the whole request fits into the buffers of the
// connection, so that no write fails.
func TestResetBehindTheEndIsFound(t *testing.T) {
	for _, size := range []int{0, 100, 100_000} {
		ended := make(chan struct{})
		server := cutanswer.NewEarlyServer(t, unframedAnswer, cutanswer.EndingBy(func(close, reset func()) {
			close()
			reset()
			<-ended
		}))
		response := sendEarly(t, t.Context(), server, make([]byte, size), cutanswer.DialTimeout)
		if text, err := io.ReadAll(response); err == nil && string(text) != "part" {
			t.Errorf("%d bytes: got %q", size, text)
		}
		for !delivery.IsBroken(response.conn.Conn) {
			time.Sleep(time.Millisecond)
		}
		if response.ConfirmEnd(t.Context()) {
			t.Errorf("%d bytes: the end is confirmed after a reset", size)
		}
		close(ended)
	}
}

// Guards against exchanges that last for ever, since a server has ended its answer and reads no more.
func TestEndIsNotAwaitedBeyondTheDeadline(t *testing.T) {
	ended := make(chan struct{})
	defer close(ended)
	server := cutanswer.NewEarlyServer(t, unframedAnswer, cutanswer.EndingBy(func(close, _ func()) {
		close()
		<-ended
	}))
	response := sendEarly(t, t.Context(), server, make([]byte, cutanswer.UploadBytes), 300*time.Millisecond)
	if _, err := io.ReadAll(response); err == nil {
		t.Error("the answer is taken for whole")
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	response = sendEarly(t, ctx, server, make([]byte, cutanswer.UploadBytes), time.Hour)
	time.AfterFunc(100*time.Millisecond, func() { cancel(os.ErrClosed) })
	if _, err := io.ReadAll(response); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("error %v after the caller has gone", err)
	}
}
