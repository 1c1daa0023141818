package backend

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/fleet"
)

// repeatingBackend refuses the first request of each connection, and sends that refusal a second time
// before it answers the second request, which it runs. Where isNamed is not set its answers name no
// attempt.
func repeatingBackend(t *testing.T, isNamed bool) string {
	return rawServer(t, func(_ int, connection net.Conn) {
		reader := bufio.NewReader(connection)
		surplus := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			identity := ""
			if isNamed {
				identity = fmt.Sprintf("%s: %s\r\n%s: %s\r\n", HeaderRequestID, request.Header.Get(HeaderRequestID), HeaderAttempt, request.Header.Get(HeaderAttempt))
			}
			if surplus == "" {
				surplus = "HTTP/1.1 503 Busy\r\n" + identity + HeaderNotRun + ": true\r\nContent-Length: 2\r\n\r\nno"
				_, _ = io.WriteString(connection, surplus)
				continue
			}
			_, _ = io.WriteString(connection, surplus+"HTTP/1.1 200 OK\r\n"+identity+"Content-Length: 3\r\n\r\nran")
		}
	})
}

// TestLateCopyOfARefusalProvesNothing guards against the refusal of an earlier request, which a back end
// sends a second time, being taken for a proof that the next request on its connection did not run.
func TestLateCopyOfARefusalProvesNothing(t *testing.T) {
	send := map[string]func(t *testing.T, address string) func(attempt int) (notRun bool, err error){
		"service": func(t *testing.T, address string) func(int) (bool, error) {
			services := NewServices("a")
			t.Cleanup(services.Close)
			return func(attempt int) (bool, error) {
				call := stopCommand("")
				call.Repeatable, call.Attempt = true, attempt
				answer, err := callOnce(t, services, address, call)
				return answer != nil && answer.NotRun, err
			}
		},
		"engine": func(t *testing.T, address string) func(int) (bool, error) {
			generator := NewGenerator("a", nil)
			t.Cleanup(generator.Close)
			return func(attempt int) (bool, error) {
				_, err := generator.Open(t.Context(), address, GenerateRequest{RequestID: "r1", Attempt: attempt, Model: fleet.ParseModelVersion("m@1"), Path: PathChat, Body: Body{}})
				var refusal *Refusal
				return errors.As(err, &refusal) && refusal.NotRun, err
			}
		},
	}
	for name, newSender := range send {
		for _, isNamed := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, attempts named: %v", name, isNamed), func(t *testing.T) {
				sendAttempt := newSender(t, repeatingBackend(t, isNamed))
				if notRun, err := sendAttempt(1); !notRun {
					t.Fatalf("attempt 1: not run %v (%v), want a refusal", notRun, err)
				}
				// The connection becomes idle shortly after the response was read.
				time.Sleep(20 * time.Millisecond)
				notRun, err := sendAttempt(2)
				var failure *SendError
				if notRun || !errors.As(err, &failure) || failure.NeverSent {
					t.Errorf("attempt 2: not run %v, error %v, want one that says that it may have run", notRun, err)
				}
			})
		}
	}
}
