package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/spanlanding/spanlanding/internal/backend"
	"github.com/spanlanding/spanlanding/internal/catalog"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

// cpuTime returns the user and system time that the process has used.
func cpuTime() time.Duration {
	var used syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &used)
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// discardWriter is a ResponseWriter that counts flushes and drops the data, so that
// only the gateway's own work is measured.
type discardWriter struct {
	header  http.Header
	flushes int
}

func (d *discardWriter) Header() http.Header            { return d.header }
func (d *discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (d *discardWriter) WriteHeader(int)                {}
func (d *discardWriter) Flush()                         { d.flushes++ }

// benchmarkRelay has the engine write perWrite tokens at a time; the worst case is one.
func benchmarkRelay(b *testing.B, perWrite int) {
	h := newHarness(b, nil)
	h.addEngine("e1", h.backend(func(writer http.ResponseWriter, request *http.Request) {
		engine := scriptedEngine{writer, request}
		id, attempt := engine.header().RequestID, engine.header().Attempt
		var block []byte
		for sequence := range b.N {
			block = fmt.Appendf(block, `data: {"id":%q,"attempt":%d,"sequence":%d,"text":" token"}`+"\n\n", id, attempt, sequence)
			if (sequence+1)%perWrite == 0 {
				_, _ = writer.Write(block)
				writer.(http.Flusher).Flush()
				block = block[:0]
			}
		}
		_, _ = writer.Write(block)
		engine.end(b.N)
	}))
	request := httptest.NewRequest(http.MethodPost, backend.PathCompletions, strings.NewReader(streamBody))
	b.ReportAllocs()
	b.ResetTimer()
	before := cpuTime()
	h.gateway.ServeHTTP(&discardWriter{header: http.Header{}}, request)
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/token")
}

func BenchmarkRelayedTokenAlone(b *testing.B)    { benchmarkRelay(b, 1) }
func BenchmarkRelayedTokenInBlocks(b *testing.B) { benchmarkRelay(b, 16) }

func BenchmarkPlainCall(b *testing.B) {
	h := newHarness(b, nil)
	h.addService("s1", h.backend(func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusNoContent) }))
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			b.ReportAllocs()
			before := cpuTime()
			for b.Loop() {
				h.gateway.ServeHTTP(&discardWriter{header: http.Header{}}, httptest.NewRequest(method, "/turbines/7/ping", nil))
			}
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/call")
		})
	}
}

// BenchmarkWaitingRequest reports the memory that one waiting request uses in
// the gateway, excluding its connection.
func BenchmarkWaitingRequest(b *testing.B) {
	const requests = 2000
	h := newHarness(b, nil)
	h.catalog.model = catalog.ModelRoute{Selector: "all", Deadline: time.Hour, Versions: h.catalog.model.Versions}
	body := `{"model":"notes","stream":true,"prompt":"` + strings.Repeat("x", 1000) + `"}`
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		done := make(chan struct{}, requests)
		for range requests {
			go func() {
				request := httptest.NewRequest(http.MethodPost, backend.PathCompletions, strings.NewReader(body))
				h.gateway.ServeHTTP(&discardWriter{header: http.Header{}}, request)
				done <- struct{}{}
			}()
		}
		for h.waiting() < requests {
			runtime.Gosched()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := int64(after.HeapAlloc+after.StackInuse) - int64(before.HeapAlloc+before.StackInuse)
		b.ReportMetric(float64(used)/requests, "B/waiting")
		h.gateway.running.cancelAll(errDrainLimit)
		for range requests {
			<-done
		}
	}
}

func (h *harness) waiting() int {
	count := 0
	for _, queue := range h.gateway.Queues(h.t.Context()) {
		count += queue.Waiting
	}
	return count
}

// BenchmarkFirstToken measures the time to the first token of an engine called
// directly and through the gateway, alternating in one run.
func BenchmarkFirstToken(b *testing.B) {
	h := newHarness(b, nil)
	address := h.backend(completeEngine)
	h.addEngine("e1", address)
	var direct, proxied []time.Duration
	for b.Loop() {
		direct = append(direct, firstToken(b, "http://"+address+backend.PathCompletions))
		proxied = append(proxied, firstToken(b, h.server.URL+backend.PathCompletions))
	}
	slices.Sort(direct)
	slices.Sort(proxied)
	for _, share := range []int{50, 99} {
		at := (len(direct) - 1) * share / 100
		b.ReportMetric(float64(direct[at].Microseconds()), fmt.Sprintf("p%d-direct-us", share))
		b.ReportMetric(float64(proxied[at].Microseconds()), fmt.Sprintf("p%d-through-us", share))
	}
}

func firstToken(b *testing.B, url string) time.Duration {
	start := time.Now()
	answer, err := http.Post(url, "application/json", strings.NewReader(streamBody))
	if err != nil {
		b.Fatal(err)
	}
	defer answer.Body.Close()
	if _, err := answer.Body.Read(make([]byte, 1)); err != nil {
		b.Fatal(err)
	}
	elapsed := time.Since(start)
	_, _ = io.Copy(io.Discard, answer.Body)
	return elapsed
}

// pacedEngine sends a token every 10 ms, as a busy engine does.
func pacedEngine(writer http.ResponseWriter, request *http.Request) {
	engine := scriptedEngine{writer, request}
	for sequence := range 20 {
		time.Sleep(10 * time.Millisecond)
		engine.tokens(sequence, sequence+1)
	}
	engine.end(20)
}

// BenchmarkAddedTimes compares first tokens and gaps between tokens, read from
// an engine directly and through the gateway, with equally many concurrent streams
// of either kind: half of the slots of four engines.
func BenchmarkAddedTimes(b *testing.B) {
	const streams = 32
	h := newHarness(b, nil)
	addresses := make([]string, 4)
	for index := range addresses {
		addresses[index] = h.backend(pacedEngine)
		h.addEngine(fleet.BackendName(fmt.Sprint("e", index)), addresses[index])
	}
	direct, proxied := new(streamTimings), new(streamTimings)
	for b.Loop() {
		var group sync.WaitGroup
		for index := range streams {
			// Start times are spread, as those of callers are.
			begins := time.Duration(index) * 200 * time.Millisecond / streams
			group.Go(func() {
				time.Sleep(begins)
				direct.read(b, "http://"+addresses[index%len(addresses)]+backend.PathCompletions)
			})
			group.Go(func() {
				time.Sleep(begins)
				proxied.read(b, h.server.URL+backend.PathCompletions)
			})
		}
		group.Wait()
	}
	for _, share := range []int{50, 99} {
		b.ReportMetric(percentile(proxied.first, share)-percentile(direct.first, share), fmt.Sprintf("p%d-first-added-us", share))
		b.ReportMetric(percentile(proxied.first, share)/percentile(direct.first, share), fmt.Sprintf("p%d-first-ratio", share))
		b.ReportMetric(percentile(proxied.gaps, share)-percentile(direct.gaps, share), fmt.Sprintf("p%d-gap-added-us", share))
		b.ReportMetric(percentile(proxied.gaps, share)/percentile(direct.gaps, share), fmt.Sprintf("p%d-gap-ratio", share))
	}
}

// percentile returns a percentile in microseconds.
func percentile(samples []time.Duration, percent int) float64 {
	slices.Sort(samples)
	return float64(samples[(len(samples)-1)*percent/100].Nanoseconds()) / 1000
}

// streamTimings collects the timings of many streams.
type streamTimings struct {
	mutex       sync.Mutex
	first, gaps []time.Duration
}

func (t *streamTimings) read(b *testing.B, url string) {
	last := time.Now()
	answer, err := http.Post(url, "application/json", strings.NewReader(streamBody))
	if err != nil {
		b.Error(err)
		return
	}
	defer answer.Body.Close()
	var gaps []time.Duration
	for lines := bufio.NewScanner(answer.Body); lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data:") {
			now := time.Now()
			gaps = append(gaps, now.Sub(last))
			last = now
		}
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(gaps) > 0 {
		t.first = append(t.first, gaps[0])
		t.gaps = append(t.gaps, gaps[1:]...)
	}
}
