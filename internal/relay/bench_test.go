package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/dispatch"
	"github.com/spanlanding/spanlanding/internal/logging"
	"github.com/spanlanding/spanlanding/internal/membudget"
)

// BenchmarkWaitingRequests reports the memory of a request that waits for a model to be loaded, with a body of
// 1 KB, without its connection. One iteration holds all requests at once.
func BenchmarkWaitingRequests(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			handler := New(Options{
				Dialect: testDialect{}, Dispatch: dispatch.NewShared(dispatch.Options{Zone: "z", Seed: 1}), Logger: logging.Discard(),
				MaxWaiting: count, Memory: membudget.New(1 << 40),
			})
			handler.SetTable(engineTable(time.Minute))
			var perRequest float64
			for b.Loop() {
				before := heapBytes()
				stop := make(chan struct{})
				var group sync.WaitGroup
				for number := range count {
					group.Go(func() { sendAndLeave(handler, number, stop) })
				}
				for handler.Waiting() < int64(count) {
					time.Sleep(time.Millisecond)
				}
				perRequest = float64(heapBytes()-before) / float64(count)
				close(stop)
				group.Wait()
			}
			b.ReportMetric(perRequest, "heap+stack-B/request")
		})
	}
}

// sendAndLeave sends a request that waits, and leaves at the stop.
func sendAndLeave(handler *Handler, number int, stop chan struct{}) {
	ctx, cancel := contextUntil(stop)
	defer cancel()
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1/llm/", strings.NewReader(strings.Repeat("b", 1<<10)))
	request.Header.Set("X-Id", fmt.Sprint("r", number))
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Wait", "1m")
	defer func() { _ = recover() }()
	handler.ServeHTTP(httptest.NewRecorder(), request)
}

// heapBytes is what the heap and the stacks take after a collection.
func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// contextUntil returns a context that ends at the stop.
func contextUntil(stop chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-stop
		cancel()
	}()
	return ctx, cancel
}
