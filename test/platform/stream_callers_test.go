package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// calmStreams is the script of servers that break nothing off.
func calmStreams(framing streamFraming) streamScript {
	return streamScript{Framing: framing, Events: 12, Pause: 10 * time.Millisecond}
}

// isInOrder reports whether a caller that had the events up to one has those that follow it.
func (r readEvents) isInOrder(last int) bool {
	for i, number := range r.numbers {
		if number != last+1+i {
			return false
		}
	}
	return true
}

// TestCallersOfOneRequestIDGetTheirOwnStreams guards against events of one run in the answer to another caller
// with the same Request-Id.
func TestCallersOfOneRequestIDGetTheirOwnStreams(t *testing.T) {
	t.Parallel()
	for _, framing := range []streamFraming{framedByChunks, framedByClose} {
		t.Run(string(framing), func(t *testing.T) {
			t.Parallel()
			p := newStreamPlay(t, calmStreams(framing))
			for _, c := range streamCallers() {
				c.tries = 1
				var running sync.WaitGroup
				for number := range scriptedStreams {
					// Each ID is used by two callers at once, at one node or at two, and by two more behind them.
					running.Go(func() {
						id := fmt.Sprintf("%s-%s-%d", c.path, c.protocol, number/4)
						time.Sleep(time.Duration(number%4/2) * 30 * time.Millisecond)
						p.count(c, number, c.readFrom(p.fleet, number/4+number%4*(number/4%2), id))
					})
				}
				running.Wait()
				p.streams += scriptedStreams
			}
			p.checkOrder(string(framing))
			if p.verdicts[streamWhole] != p.streams {
				t.Errorf("%s", p.describe())
			}
		})
	}
}

// begin sends a request, and returns its response once events up to the one with the number have come. The rest
// is left on the connection.
func (c caller) begin(n *node, id string, events int) (response *bufio.Reader, conn net.Conn, err error) {
	conn, err = net.DialTimeout("tcp", fmt.Sprintf("%s:%d", n.ip, n.fleet.ports[1]), time.Second)
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(streamDeadline))
	fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: host.example\r\nConnection: close\r\nContent-Length: 4\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nModel: m1\r\nToken-Count: 100,20\r\n\r\nbody",
		c.path, c.protocol, id, streamDeadline.Milliseconds())
	answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, conn, err
	}
	response = bufio.NewReader(answer.Body)
	for line := ""; err == nil && line != fmt.Sprintf("data: %d\n", events); {
		line, err = response.ReadString('\n')
	}
	return response, conn, err
}

// TestStreamsTakenUpWhileTheirFirstRunWritesKeepTheirOrder guards against events of both runs in one answer, where
// a caller takes a stream up and leaves its first connection open.
func TestStreamsTakenUpWhileTheirFirstRunWritesKeepTheirOrder(t *testing.T) {
	t.Parallel()
	const held = 4
	for _, framing := range []streamFraming{framedByChunks, framedByClose} {
		t.Run(string(framing), func(t *testing.T) {
			t.Parallel()
			p := newStreamPlay(t, calmStreams(framing))
			for number := range scriptedStreams / 2 {
				c := caller{path: resumablePath, protocol: []string{"1.1", "1.0"}[number%2], tries: 1}
				// Some callers use the ID of their first attempt again.
				id := fmt.Sprint("held-", number)
				secondID := []string{id, id + "-1"}[number/2%2]
				first, conn, err := c.begin(p.nodes[number%len(p.nodes)], id, held)
				if err != nil {
					t.Errorf("stream %d does not begin: %v", number, err)
					continue
				}
				var second readEvents
				c.readOnce(p.nodes[number/4%len(p.nodes)], secondID, "body", fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", held, id), &second)
				if !second.isInOrder(held) || !second.isEnded || len(second.numbers) != p.script.Events-held {
					t.Errorf("stream %d goes on with %v, status %d, ended %v", number, second.numbers, second.status, second.isEnded)
				}
				rest, err := io.ReadAll(first)
				_ = conn.Close()
				var firstRead readEvents
				firstRead.add(string(rest))
				if err != nil || !firstRead.isInOrder(held) || len(firstRead.numbers) != p.script.Events-held {
					t.Errorf("the first run of stream %d goes on with %v, error %v", number, firstRead.numbers, err)
				}
			}
		})
	}
}

// TestStreamsTakenUpAtAnyEventAreInOrder guards against answers that look whole and do not go on behind the event
// that their caller names, whatever it names.
func TestStreamsTakenUpAtAnyEventAreInOrder(t *testing.T) {
	t.Parallel()
	p := newStreamPlay(t, calmStreams(framedByChunks))
	const first = "taken-up"
	p.count(caller{}, 0, caller{path: resumablePath, protocol: "1.1", tries: 1}.readFrom(p.fleet, 0, first))
	resumes := "Resumes: " + first + "\r\n"
	for name, c := range map[string]struct {
		headers string
		// last is the event behind which the stream may go on, and isServed set if it has to.
		last     int
		isServed bool
	}{
		"an event":                               {"Last-Event-Id: 5\r\n" + resumes, 5, true},
		"an event, without the first ID":         {"Last-Event-Id: 5\r\n", 5, true},
		"the last event":                         {"Last-Event-Id: 12\r\n" + resumes, 12, true},
		"no event":                               {resumes, 0, true},
		"an empty ID":                            {"Last-Event-Id: \r\n" + resumes, 0, true},
		"an empty ID, without the first ID":      {"Last-Event-Id: \r\n", 0, true},
		"an event, and the ID of another stream": {"Last-Event-Id: 5\r\nResumes: other\r\n", 5, true},
		"an event not yet sent":                  {"Last-Event-Id: 13\r\n" + resumes, 13, false},
		"an event far beyond the last":           {"Last-Event-Id: 99999999999999999999999\r\n" + resumes, 13, false},
		"a negative event":                       {"Last-Event-Id: -3\r\n" + resumes, 0, false},
		"an ID that is no number":                {"Last-Event-Id: abc\r\n" + resumes, 0, false},
		"a long ID":                              {"Last-Event-Id: " + strings.Repeat("7", 8000) + "\r\n" + resumes, 13, false},
		"two IDs":                                {"Last-Event-Id: 5\r\nLast-Event-Id: 7\r\n" + resumes, 5, false},
		"two first IDs":                          {"Last-Event-Id: 5\r\n" + resumes + "Resumes: other\r\n", 5, false},
	} {
		for i, protocol := range []string{"1.1", "1.0"} {
			var read readEvents
			caller{path: resumablePath, protocol: protocol}.readOnce(p.nodes[1+i], fmt.Sprint("at-", len(name), protocol, name[:2]), "body", c.headers, &read)
			isWhole := read.isEnded && read.isInOrder(c.last) && len(read.numbers) == max(0, p.script.Events-c.last)
			t.Logf("%s, HTTP/%s: status %d, ended %v, %v", name, protocol, read.status, read.isEnded, read.numbers)
			if c.isServed && !isWhole || read.isEnded && !isWhole {
				t.Errorf("%s, HTTP/%s: status %d, ended %v, %v", name, protocol, read.status, read.isEnded, read.numbers)
			}
		}
	}
}
