package platform

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// streamScript says how a streamServer writes its streams. The n-th event of a stream holds the number n.
type streamScript struct {
	Framing streamFraming
	// LineEnd ends the lines of events; empty means a line feed.
	LineEnd string
	Events  int
	Pause   time.Duration
	// BreakEach is how often a stream is broken off, 0 never, and Break how.
	BreakEach int
	Break     streamBreak
	// ResumeOffset shifts the event at which a stream goes on that is taken up again; restarts sets that
	// to the first one.
	ResumeOffset int
	Restarts     bool
	// IDEach is how often an event carries its number as ID; 0 means each does, -1 none.
	IDEach int
	// Padding is the number of bytes that each event has beside its number.
	Padding int
	// HasComments puts a comment before each event.
	HasComments bool
	// IDs is how the IDs of events are written.
	IDs idStyle
	// GoesBack gives the sixth event of a first run the number 4.
	GoesBack bool
	// IsBytewise writes each byte by itself, and IsOnePacket the head with the first event.
	IsBytewise, IsOnePacket bool
	// PlainBytes is the length of the answers to commands.
	PlainBytes int
}

// idStyle says how the IDs of events are written.
type idStyle string

const (
	// numberedIDs rise by one, tenfoldIDs by ten, and wideIDs exceed 64 bits.
	numberedIDs idStyle = ""
	tenfoldIDs  idStyle = "tens"
	wideIDs     idStyle = "wide"
	// paddedIDs have leading zeros, and namedIDs are no numbers.
	paddedIDs idStyle = "padded"
	namedIDs  idStyle = "named"
)

// id is the ID of the n-th event.
func (s streamScript) id(n int) string {
	switch s.IDs {
	case tenfoldIDs:
		return strconv.Itoa(10 * n)
	case wideIDs:
		return "1000000000000000000000" + fmt.Sprintf("%04d", n)
	case paddedIDs:
		return fmt.Sprintf("%06d", n)
	case namedIDs:
		return fmt.Sprintf("event-%d", n)
	default:
		return strconv.Itoa(n)
	}
}

// streamFraming says how the end of a body is told.
type streamFraming string

const (
	framedByChunks streamFraming = "chunks"
	framedByClose  streamFraming = "close"
	framedByLength streamFraming = "length"
)

// streamBreak is a way in which a server breaks off a stream.
type streamBreak string

const (
	// breakBetween and breakWithin close the connection between two events and within one, and
	// resetBetween and resetWithin reset it.
	breakBetween streamBreak = "closed between events"
	breakWithin  streamBreak = "closed within an event"
	resetBetween streamBreak = "reset between events"
	resetWithin  streamBreak = "reset within an event"
)

func (b streamBreak) isWithin() bool { return b == breakWithin || b == resetWithin }
func (b streamBreak) isReset() bool  { return b == resetBetween || b == resetWithin }

func (s streamScript) lineEnd() string {
	if s.LineEnd == "" {
		return "\n"
	}
	return s.LineEnd
}

// event is the n-th event.
func (s streamScript) event(n int) string {
	text := ""
	if s.HasComments {
		text = ": still here\n\n"
	}
	if s.IDEach >= 0 && n%max(1, s.IDEach) == 0 {
		text += "id: " + s.id(n) + "\n"
	}
	text += fmt.Sprintf("data: %d%s\n\n", n, strings.Repeat(" ", s.Padding))
	return strings.ReplaceAll(text, "\n", s.lineEnd())
}

// streamServer is a model server that writes its answers byte by byte as a script says.
type streamServer struct {
	id       string
	listener net.Listener
	script   streamScript
	served   atomic.Int64
	born     int64
}

func newStreamServer(id string, script streamScript) (*streamServer, error) {
	return newStreamServerAt(anyAddress, id, script)
}

// anyAddress has the kernel pick a free port.
const anyAddress = "127.0.0.1:0"

// newStreamServerAt listens at the address.
func newStreamServerAt(address, id string, script streamScript) (*streamServer, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &streamServer{id: id, listener: listener, script: script, born: time.Now().UnixMilli()}
	go s.run()
	return s, nil
}

func (s *streamServer) address() string { return s.listener.Addr().String() }

func (s *streamServer) run() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			s.serve(conn.(*net.TCPConn))
		}()
	}
}

// serve answers the requests of one connection.
func (s *streamServer) serve(conn *net.TCPConn) {
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Request-Id")
		switch {
		case request.URL.Path == "/api/report":
			report, _ := json.Marshal(map[string]any{"models": []loadedModel{{Name: "m1", Version: 1, Adapters: []string{}}}, "busy": false, "sequence": 0, "born": s.born})
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		case request.URL.Path == "/api/order":
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		case request.Header.Get("Expect-Instance") != s.id:
			fmt.Fprintf(conn, "HTTP/1.1 421 X\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n", s.id, id)
		case strings.HasPrefix(request.URL.Path, "/command/"):
			if !s.answer(conn, id) {
				return
			}
		case !s.stream(conn, id, request.Header.Get("Last-Event-Id")):
			return
		}
	}
}

// stream writes one stream. It returns false if the connection is to be closed.
func (s *streamServer) stream(conn *net.TCPConn, id, lastEventID string) bool {
	first := s.script.firstEvent(lastEventID)
	end, isBroken := s.script.Events, false
	if number := int(s.served.Add(1)); s.script.BreakEach > 0 && number%s.script.BreakEach == 0 {
		end, isBroken = min(end, first+number/s.script.BreakEach%5-1), true
	}
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + s.id + "\r\nContent-Type: text/event-stream\r\n"
	length := 0
	for n := first; n <= s.script.Events; n++ {
		length += len(s.script.event(n))
	}
	switch s.script.Framing {
	case framedByChunks:
		head += "Transfer-Encoding: chunked\r\n"
	case framedByClose:
		head += "Connection: close\r\n"
	case framedByLength:
		head += "Content-Length: " + strconv.Itoa(length) + "\r\n"
	}
	head += "\r\n"
	if !s.script.IsOnePacket || first > end {
		_, _ = io.WriteString(conn, head)
		head = ""
	}
	for n := first; n <= end; n++ {
		event := s.script.event(n)
		if s.script.GoesBack && first == 1 && n == 6 {
			event = s.script.event(4)
		}
		if head != "" {
			_, _ = io.WriteString(conn, head+s.framed(event))
			head = ""
		} else {
			s.write(conn, event)
		}
		time.Sleep(s.script.Pause)
	}
	if isBroken {
		s.breakOff(conn, end+1)
		return false
	}
	if s.script.Framing == framedByChunks {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	return s.script.Framing != framedByClose
}

// breakOff ends the connection where the n-th event is due.
func (s *streamServer) breakOff(conn *net.TCPConn, n int) {
	if event := s.script.event(n); s.script.Break.isWithin() {
		s.write(conn, event[:len(event)/2])
	}
	if s.script.Break.isReset() {
		time.Sleep(resetDelay)
		_ = conn.SetLinger(0)
	}
}

// resetDelay lets what was written arrive before a reset.
const resetDelay = 2 * time.Millisecond

// answer answers a command, in pieces with pauses between. It returns false if the connection is to be closed.
func (s *streamServer) answer(conn net.Conn, id string) bool {
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: " + s.id + "\r\n"
	if s.script.Framing == framedByChunks {
		head += "Transfer-Encoding: chunked\r\n"
	} else {
		head += "Connection: close\r\n"
	}
	_, _ = io.WriteString(conn, head+"\r\n")
	piece := max(1, s.script.PlainBytes/plainPieces)
	for written := 0; written < s.script.PlainBytes; written += piece {
		s.write(conn, strings.Repeat("x", min(piece, s.script.PlainBytes-written)))
		time.Sleep(s.script.Pause)
	}
	if s.script.Framing == framedByChunks {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	return s.script.Framing == framedByChunks
}

// plainPieces is the number of pieces in which an answer to a command is written.
const plainPieces = 8

func (s *streamServer) write(conn net.Conn, text string) {
	text = s.framed(text)
	if !s.script.IsBytewise {
		_, _ = io.WriteString(conn, text)
		return
	}
	for i := range len(text) {
		_, _ = io.WriteString(conn, text[i:i+1])
	}
}

// framed is the text as a part of a body.
func (s *streamServer) framed(text string) string {
	if s.script.Framing != framedByChunks {
		return text
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
}

// firstEvent is the event with which a stream begins that goes on behind the one with the ID.
func (s streamScript) firstEvent(lastEventID string) int {
	for n := s.Events; n > 0 && !s.Restarts; n-- {
		if s.id(n) == lastEventID {
			return max(1, n+1+s.ResumeOffset)
		}
	}
	return 1
}

// streamServerEntry is a server's entry in the store.
type streamServerEntry struct {
	service, zone, id, address string
	// born is the Unix millisecond of its start.
	born int64
}

func (e streamServerEntry) register(s *store) {
	s.put("servers", e.id, map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
		"models": []loadedModel{{Name: "m1", Version: 1, Adapters: []string{}}}, "sequence": 1, "coldLeftMs": 0, "born": e.born,
	})
}

// streamServerVariable holds the ID and the script of a process that is a streamServer.
const streamServerVariable = "SPANLANDING_TEST_STREAM_SERVER"

type streamServerSettings struct {
	ID      string
	Address string
	Script  streamScript
	// IsStandby has the process wait for a line before it listens.
	IsStandby bool
}

// runStreamServer makes this process a streamServer that prints its address.
func runStreamServer(settings string) error {
	var decoded streamServerSettings
	if err := json.Unmarshal([]byte(settings), &decoded); err != nil {
		return err
	}
	if decoded.IsStandby {
		if _, err := bufio.NewReader(os.Stdin).ReadString('\n'); err != nil {
			return err
		}
	}
	server, err := newStreamServerAt(decoded.Address, decoded.ID, decoded.Script)
	if err != nil {
		return err
	}
	fmt.Println(server.address(), server.born)
	select {}
}

// streamServerProcess is a streamServer that is a process of its own, so that it can be killed.
type streamServerProcess struct {
	id, address string
	born        int64
	cmd         *exec.Cmd
	input       io.Writer
	output      io.Reader
}

func startStreamServerProcess(t *testing.T, id string, script streamScript) *streamServerProcess {
	t.Helper()
	p := newStreamServerProcess(t, streamServerSettings{ID: id, Address: anyAddress, Script: script})
	p.awaitListening(t)
	return p
}

// newStreamServerProcess starts a process that may not listen yet.
func newStreamServerProcess(t *testing.T, settings streamServerSettings) *streamServerProcess {
	t.Helper()
	text, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	p := &streamServerProcess{id: settings.ID, cmd: exec.Command(os.Args[0])}
	p.cmd.Env = append(os.Environ(), streamServerVariable+"="+string(text))
	if p.output, err = p.cmd.StdoutPipe(); err != nil {
		t.Fatal(err)
	}
	if p.input, err = p.cmd.StdinPipe(); err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.kill)
	return p
}

// listen has a standby listen.
func (p *streamServerProcess) listen(t *testing.T) {
	t.Helper()
	_, _ = io.WriteString(p.input, "\n")
	p.awaitListening(t)
}

func (p *streamServerProcess) awaitListening(t *testing.T) {
	t.Helper()
	if _, err := fmt.Fscan(p.output, &p.address, &p.born); err != nil {
		t.Errorf("%s does not start: %v", p.id, err)
	}
}

func (p *streamServerProcess) kill() { p.end(os.Kill) }

// end sends the process a signal under which it ends at once.
func (p *streamServerProcess) end(signal os.Signal) {
	_ = p.cmd.Process.Signal(signal)
	_ = p.cmd.Wait()
}
