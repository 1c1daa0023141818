package platform

import (
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
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

// of is the fault for a sender.
func (w *way) of(sender string) fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	if own, ok := w.faults[sender]; ok && own != (fault{}) {
		return own
	}
	return w.faults[everybody]
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
	if w.of(sender).refuse {
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
	go w.copy(far, near, func() (fault, bool) { f := w.of(sender); return f, f.deafTo })
	w.copy(near, far, func() (fault, bool) { f := w.of(sender); return f, f.deafFrom })
	w.forget(near, far)
}

func (w *way) forget(ended ...net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = slices.DeleteFunc(w.conns, func(conn net.Conn) bool { return slices.Contains(ended, conn) })
}

// heldPause is the time between looks whether a deaf direction passes again: TCP
// sends again what was lost, so silence holds bytes back and drops none.
const heldPause = 20 * time.Millisecond

// copy passes bytes on until either end closes.
func (w *way) copy(to, from net.Conn, state func() (f fault, deaf bool)) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			f, deaf := state()
			time.Sleep(f.delay)
			for ; deaf; _, deaf = state() {
				time.Sleep(heldPause)
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
		f := w.of(sender.IP.String())
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
