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

// fault describes what is wrong with a network link between two processes.
type fault struct {
	// delay postpones each chunk, in either direction.
	delay time.Duration
	// blockTo blocks bytes to the process behind the proxy, and blockFrom bytes from it.
	// Connections stay open, so either side sees only silence.
	blockTo, blockFrom bool
	// refuse closes new connections immediately.
	refuse bool
	// loss is the fraction of datagrams that are dropped.
	loss float64
	// containing limits blockTo to chunks that contain the text and to what follows them on the
	// same connection.
	containing string
	// openedBefore limits the fault to connections opened before that time, so that these go
	// silent while new ones work; zero means all connections.
	openedBefore time.Time
}

// proxy is a loopback proxy in front of one process. It forwards connections and, where
// configured, datagrams, subject to the current fault. A fault may apply to a single sender,
// identified by its address.
type proxy struct {
	target   string
	listener net.Listener
	packets  *net.UDPConn

	mu     sync.Mutex
	faults map[string]fault
	random *rand.Rand
	conns  []net.Conn
}

// anySender selects faults that apply to all senders.
const anySender = ""

// newProxy forwards connections from the address to the target; port 0 picks a free port.
func newProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	w := &proxy{target: target, listener: listener, faults: make(map[string]fault), random: rand.New(rand.NewPCG(1, 1))}
	t.Cleanup(func() { _ = listener.Close(); w.reset() })
	go w.accept()
	return w
}

// newPeerProxy additionally forwards datagrams.
func newPeerProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	w := newProxy(t, address, target)
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	if w.packets, err = net.ListenUDP("udp4", local); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = w.packets.Close() })
	go w.forwardPackets()
	return w
}

func (w *proxy) address() string { return w.listener.Addr().String() }

// set installs a fault for a sender; the zero fault removes it.
func (w *proxy) set(sender string, f fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults[sender] = f
}

// faultFor returns the fault that applies to a connection or datagram of the sender opened
// at the given time.
func (w *proxy) faultFor(sender string, opened time.Time) fault {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, concerned := range []string{sender, anySender} {
		f := w.faults[concerned]
		if f != (fault{}) && (f.openedBefore.IsZero() || opened.Before(f.openedBefore)) {
			return f
		}
	}
	return fault{}
}

func (w *proxy) dropsPacket(f fault) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return f.blockTo || w.random.Float64() < f.loss
}

// reset resets all connections.
func (w *proxy) reset() {
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

func (w *proxy) accept() {
	for {
		conn, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.forward(conn)
	}
}

func (w *proxy) forward(client net.Conn) {
	sender, _, _ := strings.Cut(client.RemoteAddr().String(), ":")
	opened := time.Now()
	if w.faultFor(sender, opened).refuse {
		_ = client.Close()
		return
	}
	upstream, err := net.Dial("tcp", w.target)
	if err != nil {
		_ = client.Close()
		return
	}
	w.mu.Lock()
	w.conns = append(w.conns, client, upstream)
	w.mu.Unlock()
	go w.copy(upstream, client, func(piece []byte) (fault, bool) {
		f := w.faultFor(sender, opened)
		return f, f.blockTo && bytes.Contains(piece, []byte(f.containing))
	})
	w.copy(client, upstream, func([]byte) (fault, bool) { f := w.faultFor(sender, opened); return f, f.blockFrom })
	w.removeConns(client, upstream)
}

func (w *proxy) removeConns(ended ...net.Conn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conns = slices.DeleteFunc(w.conns, func(conn net.Conn) bool { return slices.Contains(ended, conn) })
}

// blockedPollInterval is the interval at which a blocked direction is checked again. TCP
// retransmits lost segments, so a block delays bytes; they are lost only if the sender has
// reset the connection. After an ordinary close they are still delivered.
const blockedPollInterval = 20 * time.Millisecond

// copy forwards bytes until either end closes.
func (w *proxy) copy(to, from net.Conn, state func(piece []byte) (f fault, deaf bool)) {
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
				time.Sleep(blockedPollInterval)
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

// isReset reports whether the peer has reset the connection.
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

func (w *proxy) forwardPackets() {
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
		f := w.faultFor(sender.IP.String(), time.Now())
		if w.dropsPacket(f) {
			continue
		}
		packet := slices.Clone(buffer[:count])
		time.AfterFunc(f.delay, func() { _, _ = w.packets.WriteToUDP(packet, target) })
	}
}

// TestWayHarmsWhatItIsToldTo checks that each fault takes effect: a proxy that forwards
// everything would make the other tests meaningless.
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
	w := newProxy(t, "127.0.0.1:0", listener.Addr().String())
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
		t.Error("a proxy without a fault does not forward")
	}
	for name, f := range map[string]fault{"deaf to": {blockTo: true}, "deaf from": {blockFrom: true}, "slow": {delay: time.Second}} {
		w.set("127.0.0.1", f)
		if echoes(dial()) {
			t.Errorf("fault %q: the proxy still forwards", name)
		}
		w.set("127.0.0.1", fault{})
	}
	w.set(anySender, fault{refuse: true})
	if echoes(dial()) {
		t.Error("a proxy that refuses connections still forwards")
	}
	w.set(anySender, fault{})
	w.reset()
	if echoes(conn) {
		t.Error("a connection still forwards after a reset")
	}
	if !echoes(dial()) {
		t.Error("a new connection does not forward after a reset")
	}
}

// TestWayHoldsBytesAsAKernelDoes: bytes written before an ordinary close arrive once the
// fault is removed, and bytes written before a reset do not.
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
		w := newProxy(t, "127.0.0.1:0", listener.Addr().String())
		conn, err := net.Dial("tcp", w.address())
		if err != nil {
			t.Fatal(err)
		}
		w.set(anySender, fault{blockTo: true})
		_, _ = conn.Write([]byte("order"))
		time.Sleep(5 * blockedPollInterval)
		if c.resets {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
		time.Sleep(5 * blockedPollInterval)
		w.set(anySender, fault{})
		if text := <-got; (text == "order") != c.arrives {
			t.Errorf("%s: %q arrived", name, text)
		}
		_ = listener.Close()
	}
}

// TestWaySilencesOpenConnectionsAlone: with openedBefore set, older connections go silent
// and new ones work.
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
	for name, f := range map[string]fault{"to": {blockTo: true}, "from": {blockFrom: true}} {
		w := newProxy(t, "127.0.0.1:0", listener.Addr().String())
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
			t.Fatalf("%s: a proxy without a fault does not forward", name)
		}
		f.openedBefore = time.Now()
		w.set(anySender, f)
		after, err := net.Dial("tcp", w.address())
		if err != nil {
			t.Fatal(err)
		}
		if echoes(before) {
			t.Errorf("%s: a connection opened before the fault still forwards", name)
		}
		if !echoes(after) {
			t.Errorf("%s: a new connection does not forward", name)
		}
		_ = before.Close()
		_ = after.Close()
	}
}
