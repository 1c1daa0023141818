package platform

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// fault is what is wrong on a way between two processes.
type fault struct {
	// delay holds back each piece, in either direction.
	delay time.Duration
	// deafTo drops what goes towards the process behind the relay, and deafFrom
	// what comes from it; connections stay open. Both are silence.
	deafTo, deafFrom bool
	// refuse closes new connections at once.
	refuse bool
	// loss is the share of datagrams dropped.
	loss float64
	// holds bounds deafTo to pieces that have the text, and what comes after them on
	// their connections.
	holds string
	// openedBefore bounds the fault to connections that were opened before; zero does
	// not. They go silent while new ones work.
	openedBefore time.Time
}

// way is a relay on loopback in front of one process: connections and, where it
// has them, datagrams go through it, as long as its fault lets them. Faults may
// concern one sender alone, by its address.
type way struct {
	target   string
	listener net.Listener
	packets  *net.UDPConn

	mu     sync.Mutex
	faults map[string]fault
	random *rand.Rand
	conns  []net.Conn
}

// everybody is the sender in a fault that concerns all.
const everybody = ""

// newWay relays connections at the address to the target; ":0" is any port.
func newWay(t *testing.T, address, target string) *way {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	w := &way{target: target, listener: listener, faults: make(map[string]fault), random: rand.New(rand.NewPCG(1, 1))}
	t.Cleanup(func() { _ = listener.Close(); w.reset() })
	go w.accept()
	return w
}

// newPeerWay relays datagrams as well.
func newPeerWay(t *testing.T, address, target string) *way {
	t.Helper()
	w := newWay(t, address, target)
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	if w.packets, err = net.ListenUDP("udp4", local); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.packets.Close() })
	go w.passPackets()
	return w
}

func (w *way) address() string { return w.listener.Addr().String() }

// set puts a fault in place for a sender, or ends it with the zero fault.
func (w *way) set(sender string, f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[sender] = f
}

// of is the fault for what a sender opened at the time.
func (w *way) of(sender string, opened time.Time) fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, concerned := range []string{sender, everybody} {
		f := w.faults[concerned]
		if f != (fault{}) && (f.openedBefore.IsZero() || opened.Before(f.openedBefore)) {
			return f
		}
	}
	return fault{}
}

func (w *way) isLost(f fault) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return f.deafTo || w.random.Float64() < f.loss
}

// reset ends all connections without a word.
func (w *way) reset() {
	w.mu.Lock()
	conns := slices.Clone(w.conns)
	w.conns = nil
	w.mu.Unlock()
	for _, conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (w *way) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.relay(conn)
	}
}

func (w *way) relay(near net.Conn) {
	sender, _, _ := strings.Cut(near.RemoteAddr().String(), ":")
	opened := time.Now()
	if w.of(sender, opened).refuse {
		_ = near.Close()
		return
	}
	far, err := net.Dial("tcp", w.target)
	if err != nil {
		_ = near.Close()
		return
	}
	w.mu.Lock()
	w.conns = append(w.conns, near, far)
	w.mu.Unlock()
	go w.copy(far, near, func(piece []byte) (fault, bool) {
		f := w.of(sender, opened)
		return f, f.deafTo && bytes.Contains(piece, []byte(f.holds))
	})
	w.copy(near, far, func([]byte) (fault, bool) { f := w.of(sender, opened); return f, f.deafFrom })
	w.forget(near, far)
}

func (w *way) forget(ended ...net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = slices.DeleteFunc(w.conns, func(conn net.Conn) bool { return slices.Contains(ended, conn) })
}

// heldPause is the time between looks whether a deaf direction passes again: TCP
// sends again what was lost, so silence holds bytes back, and drops them only where
// the sender has reset the connection. A sender that closed it has its bytes sent on.
const heldPause = 20 * time.Millisecond

// copy passes bytes on until either end closes.
func (w *way) copy(to, from net.Conn, state func(piece []byte) (f fault, deaf bool)) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			f, deaf := state(buffer[:count])
			time.Sleep(f.delay)
			isHeld := deaf
			for ; deaf; _, deaf = state(buffer[:count]) {
				time.Sleep(heldPause)
			}
			if isHeld && isReset(from) {
				return
			}
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// isReset reports whether the other end has reset the connection.
func isReset(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	state := uint8(0)
	err = control.Control(func(descriptor uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return err != nil || state == unix.BPF_TCP_CLOSE
}

func (w *way) passPackets() {
	target, err := net.ResolveUDPAddr("udp4", w.target)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		count, sender, err := w.packets.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f := w.of(sender.IP.String(), time.Now())
		if w.isLost(f) {
			continue
		}
		packet := slices.Clone(buffer[:count])
		time.AfterFunc(f.delay, func() { _, _ = w.packets.WriteToUDP(packet, target) })
	}
}

// TestWayHarmsWhatItIsToldTo: a relay that passes all on proves nothing.
func TestWayHarmsWhatItIsToldTo(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	w := newWay(t, "127.0.0.1:0", listener.Addr().String())
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", w.address())
		if err != nil {
			t.Fatal(err)
		}
		return conn
	}
	echoes := func(conn net.Conn) bool {
		_, _ = conn.Write([]byte("x"))
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		_, err := conn.Read(make([]byte, 1))
		return err == nil
	}
	conn := dial()
	if !echoes(conn) {
		t.Error("a sound way does not pass")
	}
	for name, f := range map[string]fault{"deaf to": {deafTo: true}, "deaf from": {deafFrom: true}, "slow": {delay: time.Second}} {
		w.set("127.0.0.1", f)
		if echoes(dial()) {
			t.Errorf("%s: passes", name)
		}
		w.set("127.0.0.1", fault{})
	}
	w.set(everybody, fault{refuse: true})
	if echoes(dial()) {
		t.Error("a way that refuses passes")
	}
	w.set(everybody, fault{})
	w.reset()
	if echoes(conn) {
		t.Error("a connection that was reset passes")
	}
	if !echoes(dial()) {
		t.Error("a new connection does not pass after a reset")
	}
}

// TestWayHoldsBytesAsAKernelDoes: what was written before an ordinary close arrives once
// the way is sound again, and what was written before a reset does not.
func TestWayHoldsBytesAsAKernelDoes(t *testing.T) {
	for name, c := range map[string]struct{ resets, arrives bool }{"closed": {false, true}, "reset": {true, false}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		got := make(chan string, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			text, _ := io.ReadAll(conn)
			got <- string(text)
		}()
		w := newWay(t, "127.0.0.1:0", listener.Addr().String())
		conn, err := net.Dial("tcp", w.address())
		if err != nil {
			t.Fatal(err)
		}
		w.set(everybody, fault{deafTo: true})
		_, _ = conn.Write([]byte("order"))
		time.Sleep(5 * heldPause)
		if c.resets {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
		time.Sleep(5 * heldPause)
		w.set(everybody, fault{})
		if text := <-got; (text == "order") != c.arrives {
			t.Errorf("%s: %q arrived", name, text)
		}
		_ = listener.Close()
	}
}

// TestWaySilencesOpenConnectionsAlone: one that was opened before goes silent, and a new
// one works.
func TestWaySilencesOpenConnectionsAlone(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	for name, f := range map[string]fault{"to": {deafTo: true}, "from": {deafFrom: true}} {
		w := newWay(t, "127.0.0.1:0", listener.Addr().String())
		echoes := func(conn net.Conn) bool {
			_, _ = conn.Write([]byte("x"))
			_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			_, err := conn.Read(make([]byte, 1))
			return err == nil
		}
		before, err := net.Dial("tcp", w.address())
		if err != nil {
			t.Fatal(err)
		}
		if !echoes(before) {
			t.Fatalf("%s: a sound way does not pass", name)
		}
		f.openedBefore = time.Now()
		w.set(everybody, f)
		after, err := net.Dial("tcp", w.address())
		if err != nil {
			t.Fatal(err)
		}
		if echoes(before) {
			t.Errorf("%s: a connection passes that was opened before", name)
		}
		if !echoes(after) {
			t.Errorf("%s: a new connection does not pass", name)
		}
		_ = before.Close()
		_ = after.Close()
	}
}
