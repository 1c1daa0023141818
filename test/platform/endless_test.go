package platform

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// endlessAnswer is an answer that goes on until its connection is closed: how it begins, and what then comes
// again and again.
type endlessAnswer struct {
	name, begin, unit string
	// bytesPerSecond is how fast it is written at most.
	bytesPerSecond float64
}

// endlessAnswers lists all of them; REQUEST stands for the ID of the request.
func endlessAnswers() []endlessAnswer {
	const (
		identified = "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\n"
		chunked    = "Transfer-Encoding: chunked\r\n\r\n"
	)
	filler := strings.Repeat("x", endlessUnitBytes)
	piece := fmt.Sprintf("%x\r\n%s\r\n", len(filler), filler)
	return []endlessAnswer{
		{"field", "HTTP/1.1 200 OK\r\nField: ", filler, endlessBytesPerSecond},
		{"fields", "HTTP/1.1 200 OK\r\n", strings.Repeat("Field: value\r\n", endlessUnitBytes/14), endlessBytesPerSecond},
		{"junk", "", filler, endlessBytesPerSecond},
		{"event", identified + "Server-Stamp: s\r\nContent-Type: text/event-stream\r\n" + chunked + "14\r\nid: 1\ndata: m\n\nid: 2\r\n", piece, endlessBytesPerSecond},
		{"rejection", strings.Replace(identified, "200 OK", "503 X", 1) + "Not-Executed: 1\r\n" + chunked, piece, endlessBytesPerSecond},
		{"failure", strings.Replace(identified, "200 OK", "500 X", 1) + chunked, "4\r\nbody\r\n", failureBytesPerSecond},
	}
}

const (
	endlessUnitBytes      = 64 << 10
	endlessBytesPerSecond = 100 << 20
	// failureBytesPerSecond is that of an answer that is passed on to its caller, who may read slowly.
	failureBytesPerSecond = 1 << 10
)

// write writes the answer to the request until the connection is closed.
func (a endlessAnswer) write(writer http.ResponseWriter, requestID string) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	_, err = conn.Write([]byte(strings.ReplaceAll(a.begin, "REQUEST", requestID)))
	unit := []byte(a.unit)
	if a.bytesPerSecond >= endlessUnitBytes {
		unit = bytes.Repeat(unit, max(1, endlessUnitBytes/len(unit)))
	}
	pause := time.Duration(float64(len(unit)) / a.bytesPerSecond * float64(time.Second))
	for err == nil {
		_, err = conn.Write(unit)
		time.Sleep(pause)
	}
}

// peakMemory returns the largest resident memory of the node's process so far, in bytes.
func (n *node) peakMemory() (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process().Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) == 3 && fields[0] == "VmHWM:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no VmHWM in the status of %s", n.name)
}

// machineMemoryMb is the memory of the smallest machines, and mostMemoryShare the part of it that a node may
// take.
const (
	machineMemoryMb = 184
	mostMemoryShare = 0.8
)

// checkMemory checks that each node has stayed within its share of the machine's memory.
func (f *fleet) checkMemory() {
	f.t.Helper()
	for _, n := range f.nodes {
		peak, err := n.peakMemory()
		if err != nil {
			f.t.Errorf("%s: %v", n.name, err)
			continue
		}
		f.t.Logf("%s: %d MB at most", n.name, peak>>20)
		if float64(peak) > mostMemoryShare*machineMemoryMb*(1<<20) {
			f.t.Errorf("%s took %d MB, of %d may be %.0f", n.name, peak>>20, machineMemoryMb, mostMemoryShare*machineMemoryMb)
		}
	}
}

// Guards against answers without end, which were kept until the node's memory ran out.
func TestNodesOutliveAnswersWithoutEnd(t *testing.T) {
	t.Parallel()
	for _, answer := range endlessAnswers() {
		for _, route := range []struct{ path, service, model string }{{"/command/x", "commands", ""}, {"/chat/x", "models", "m1"}} {
			t.Run(answer.name+route.path, func(t *testing.T) {
				t.Parallel()
				f := newFleetWithOptions(t, fleetOptions{count: 3, seeds: `"127.0.0.1:1", "127.0.0.2:1"`, memoryMb: machineMemoryMb})
				load := &promiseLoad{fleet: f, path: route.path, model: route.model, duration: 3 * time.Second, interval: 20 * time.Millisecond}
				for number := range 3 {
					m := newServerIn(t, f.store, "z", fmt.Sprint("i-", route.service, number), route.service, 50*time.Millisecond, "m1")
					m.set(func() { m.endless, m.endlessEach = &answer, 20 })
					load.servers = append(load.servers, m)
				}
				f.store.put("config", "main", newConfig(1))
				f.awaitReady()
				load.run()
				counts, endless := load.countStatuses(), 0
				for _, m := range load.servers {
					m.set(func() { endless += m.endlessCount })
				}
				t.Logf("responses by status: %v, answers without end: %d", counts, endless)
				f.checkMemory()
				if endless == 0 {
					t.Error("no answer had no end")
				}
				if found := load.falsePromises(); len(found) > 0 {
					t.Errorf("requests that ran and were refused with a promise, by status: %v", found)
				}
				if total := len(load.statuses); counts[http.StatusOK] < total*9/10 {
					t.Errorf("%d of %d requests were served, want nine tenths", counts[http.StatusOK], total)
				}
			})
		}
	}
}
