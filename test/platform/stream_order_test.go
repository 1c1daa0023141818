package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// caller is how a caller reads streams.
type caller struct {
	path string
	// protocol is the version of HTTP, as 1.1.
	protocol string
	// tries is how often it asks at most: it takes a stream up again that broke off.
	tries int
}

// readEvents is what a caller has of a stream.
type readEvents struct {
	status int
	// numbers are those of the whole events, and lastID the ID of the last one with an ID.
	numbers []int
	lastID  string
	// isEnded is set if the response came to its end as its framing says it.
	isEnded bool
	tries   int
}

// streamVerdict says what a caller made of a stream.
type streamVerdict string

const (
	streamWhole   streamVerdict = "whole"
	streamBroken  streamVerdict = "seen broken"
	streamRefused streamVerdict = "refused"
	// streamShort lacks events and looks whole; streamDisordered has events twice, out of order or not at
	// all before others.
	streamShort      streamVerdict = "short, looks whole"
	streamDisordered streamVerdict = "out of order"
)

func (r readEvents) verdict(events int) streamVerdict {
	inOrder := true
	for i, number := range r.numbers {
		inOrder = inOrder && number == i+1
	}
	switch {
	case !inOrder:
		return streamDisordered
	case len(r.numbers) == events && r.isEnded:
		return streamWhole
	case r.isEnded:
		return streamShort
	case len(r.numbers) == 0 && r.status != http.StatusOK:
		return streamRefused
	default:
		return streamBroken
	}
}

// readFrom reads a stream from the nodes, the first try from the one with the number.
func (c caller) readFrom(f *fleet, number int, id string) (read readEvents) {
	for read.tries < c.tries && !read.isEnded {
		attempt := id
		headers := ""
		if read.tries > 0 {
			attempt = fmt.Sprint(id, "-", read.tries)
			if len(read.numbers) > 0 {
				headers = "Last-Event-Id: " + read.lastID + "\r\nResumes: " + id + "\r\n"
			}
			time.Sleep(retryPause)
		}
		c.readOnce(f.nodes[(number+read.tries)%len(f.nodes)], attempt, id, headers, &read)
		read.tries++
	}
	return read
}

const (
	retryPause     = 20 * time.Millisecond
	streamDeadline = 8 * time.Second
)

// readOnce reads what one try brings. Streams have bodies of their own: nodes refuse requests under which servers
// ended.
func (c caller) readOnce(n *node, id, body, headers string, read *readEvents) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, n.fleet.ports[1]), time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(streamDeadline))
	fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: host.example\r\nConnection: close\r\nContent-Length: %d\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nModel: m1\r\nToken-Count: 100,20\r\n%s\r\n%s",
		c.path, c.protocol, len(body), id, streamDeadline.Milliseconds(), headers, body)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return
	}
	read.status = response.StatusCode
	if response.StatusCode != http.StatusOK {
		return
	}
	text, err := io.ReadAll(response.Body)
	read.isEnded = err == nil
	read.add(string(text))
}

// add takes the whole events of a response.
func (r *readEvents) add(text string) {
	events := strings.Split(strings.ReplaceAll(strings.ReplaceAll(text, "\r\n", "\n"), "\r", "\n"), "\n\n")
	for _, event := range events[:len(events)-1] {
		for line := range strings.SplitSeq(event, "\n") {
			if id, ok := strings.CutPrefix(line, "id: "); ok {
				r.lastID = id
			}
			if data, ok := strings.CutPrefix(line, "data: "); ok {
				number, _ := strconv.Atoi(strings.TrimSpace(data))
				r.numbers = append(r.numbers, number)
			}
		}
	}
}

// streamPlay reads streams of one kind of server by one kind of caller.
type streamPlay struct {
	*fleet
	script   streamScript
	streams  int
	warmUps  int
	verdicts map[streamVerdict]int
	mu       sync.Mutex
	// isAtFirst has all streams begin at the first node.
	isAtFirst bool
}

const (
	streamServerCount = 4
	// killedServerStreams is the number of streams that callers read while servers are killed.
	killedServerStreams = 120
	// serverKillPause is the time between two kills, and entryLapse that until the entry of a killed server goes.
	serverKillPause = 400 * time.Millisecond
	entryLapse      = 300 * time.Millisecond
)

// newStreamFleet returns a fleet with two routes for streams; the servers are up to the caller.
func newStreamFleet(t *testing.T) *fleet {
	t.Helper()
	f := newFleet(t, 4)
	f.putStreamRoutes()
	return f
}

func (f *fleet) putStreamRoutes() {
	f.store.put("config", "main", newConfig(1, map[string]any{
		"name": "resumable", "host": "host.example", "pathPrefix": "/resumable/", "type": "streaming", "resumable": true,
		"service": "models", "goalMs": 5000, "timeoutMs": 8000, "maxAttempts": 3, "sticky": true,
	}))
}

// warmUpStreams is the number of whole streams from which a node knows how a service numbers its events.
const warmUpStreams = 4

// awaitServing waits until each node has served some whole streams, or takes none for whole.
func (p *streamPlay) awaitServing() {
	p.awaitReady()
	for i, n := range p.nodes {
		served := 0
		eventually(p.t, n.name+" takes requests for streams", func() bool {
			p.warmUps++
			got := caller{path: resumablePath, protocol: "1.1", tries: 1}.readFrom(p.fleet, i, fmt.Sprint("warm-", p.warmUps))
			if len(got.numbers) == p.script.Events {
				served++
			}
			return served == warmUpStreams || got.status == http.StatusBadGateway && served == 0
		})
	}
}

// run has callers read streams, some at a time.
func (p *streamPlay) run(c caller, streams int) {
	var running sync.WaitGroup
	places := make(chan struct{}, 8)
	for number := range streams {
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			first := number
			if p.isAtFirst {
				first = 0
			}
			p.count(c, number, c.readFrom(p.fleet, first, fmt.Sprintf("s%s-%s-%d", strings.Trim(c.path, "/x"), c.protocol, number)))
		})
	}
	running.Wait()
	p.streams += streams
}

func (p *streamPlay) count(c caller, number int, read readEvents) {
	p.mu.Lock()
	defer p.mu.Unlock()
	verdict := read.verdict(p.script.Events)
	p.verdicts[verdict]++
	if verdict == streamShort || verdict == streamDisordered {
		p.t.Logf("%s by HTTP/%s, stream %d: %s: %v in %d tries", c.path, c.protocol, number, verdict, read.numbers, read.tries)
	}
}

// describe lists the verdicts.
func (p *streamPlay) describe() string {
	var counts []string
	for _, verdict := range []streamVerdict{streamWhole, streamBroken, streamRefused, streamShort, streamDisordered} {
		counts = append(counts, fmt.Sprintf("%d %s", p.verdicts[verdict], verdict))
	}
	return fmt.Sprintf("of %d streams: %s", p.streams, strings.Join(counts, ", "))
}

// streamCallers are the kinds of callers.
func streamCallers() []caller {
	var callers []caller
	for _, protocol := range []string{"1.1", "1.0"} {
		callers = append(callers, caller{path: resumablePath, protocol: protocol, tries: 4}, caller{path: "/chat/x", protocol: protocol, tries: 1})
	}
	return callers
}

// checkOrder fails the test if callers took streams for whole that are not, or have events out of order.
func (p *streamPlay) checkOrder(what string) {
	p.t.Helper()
	p.t.Logf("%s: %s", what, p.describe())
	if p.verdicts[streamShort] > 0 || p.verdicts[streamDisordered] > 0 {
		p.t.Errorf("%s: %s", what, p.describe())
	}
}

// killServersInTurn keeps killing server processes, some together, and starts others in their places, until
// stop is called. The servers of a zone are killed together.
func (p *streamPlay) killServersInTurn(together int) (stop func()) {
	p.t.Helper()
	servers := make([]*streamServerProcess, streamServerCount)
	start := func(i, generation int) {
		servers[i] = startStreamServerProcess(p.t, fmt.Sprintf("i-%d-%d", i, generation), p.script)
		zone := []string{"z", "far"}[i/together%2]
		streamServerEntry{service: "models", zone: zone, id: servers[i].id, address: servers[i].address, born: servers[i].born}.register(p.store)
	}
	for i := range servers {
		start(i, 0)
	}
	p.awaitServing()
	stopped := make(chan struct{})
	var killing sync.WaitGroup
	killing.Go(func() {
		for round := 0; ; round++ {
			select {
			case <-stopped:
				return
			case <-time.After(serverKillPause):
			}
			first := round * together % len(servers)
			for i := first; i < first+together; i++ {
				killed := servers[i]
				p.t.Logf("%s %s is killed", time.Now().UTC().Format("15:04:05.000"), killed.id)
				killed.kill()
				time.AfterFunc(entryLapse, func() { p.store.remove("servers", killed.id) })
			}
			for i := first; i < first+together; i++ {
				start(i, round+1)
			}
		}
	})
	return func() {
		close(stopped)
		killing.Wait()
	}
}

// TestStreamsOfKilledServersAreNotTakenForWhole guards against callers who get a part of a stream that looks
// whole, since the kernel closes the connections of a process that is killed as if it had ended its answers.
func TestStreamsOfKilledServersAreNotTakenForWhole(t *testing.T) {
	t.Parallel()
	for _, framing := range []streamFraming{framedByChunks, framedByClose} {
		for _, c := range streamCallers() {
			for _, together := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, %s, HTTP %s, %d together", framing, strings.Split(c.path, "/")[1], c.protocol, together), func(t *testing.T) {
					t.Parallel()
					script := streamScript{Framing: framing, Events: 12, Pause: 15 * time.Millisecond}
					p := &streamPlay{fleet: newStreamFleet(t), script: script, verdicts: make(map[streamVerdict]int)}
					stop := p.killServersInTurn(together)
					p.run(c, killedServerStreams)
					stop()
					p.checkOrder(string(framing))
				})
			}
		}
	}
}
