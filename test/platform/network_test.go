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
	p := &proxy{target: target, listener: listener, faults: make(map[string]fault), random: rand.New(rand.NewPCG(1, 1))}
	t.Cleanup(func() { _ = listener.Close(); p.reset() })
	go p.accept()
	return p
}

// newPeerProxy additionally forwards datagrams.
func newPeerProxy(t *testing.T, address, target string) *proxy {
	t.Helper()
	p := newProxy(t, address, target)
	local, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		t.Fatal(err)
	}
	if p.packets, err = net.ListenUDP("udp4", local); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.packets.Close() })
	go p.forwardPackets()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

// set installs a fault for a sender; the zero fault removes it.
func (p *proxy) set(sender string, f fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults[sender] = f
}

// faultFor returns the fault that applies to a connection or datagram of the sender opened
// at the given time.
func (p *proxy) faultFor(sender string, opened time.Time) fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, key := range []string{sender, anySender} {
		f := p.faults[key]
		if f != (fault{}) && (f.openedBefore.IsZero() || opened.Before(f.openedBefore)) {
			return f
		}
	}
	return fault{}
}

func (p *proxy) dropsPacket(f fault) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return f.blockTo || p.random.Float64() < f.loss
}

// reset resets all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	conns := slices.Clone(p.conns)
	p.conns = nil
	p.mu.Unlock()
	for _, conn := range conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// end closes the listener and all connections, as a kernel does when a process ends.
func (p *proxy) end() {
	_ = p.listener.Close()
	p.mu.Lock()
	conns := slices.Clone(p.conns)
	p.conns = nil
	p.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
	}
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(conn)
	}
}

func (p *proxy) forward(client net.Conn) {
	sender, _, _ := strings.Cut(client.RemoteAddr().String(), ":")
	opened := time.Now()
	if p.faultFor(sender, opened).refuse {
		_ = client.Close()
		return
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns = append(p.conns, client, upstream)
	p.mu.Unlock()
	go p.copy(upstream, client, func(chunk []byte) (fault, bool) {
		f := p.faultFor(sender, opened)
		return f, f.blockTo && bytes.Contains(chunk, []byte(f.containing))
	})
	p.copy(client, upstream, func([]byte) (fault, bool) { f := p.faultFor(sender, opened); return f, f.blockFrom })
	p.removeConns(client, upstream)
}

func (p *proxy) removeConns(ended ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(conn net.Conn) bool { return slices.Contains(ended, conn) })
}

// blockedPollInterval is the interval at which a blocked direction is checked again. TCP
// retransmits lost segments, so a block delays bytes; they are lost only if the sender has
// reset the connection. After an ordinary close they are still delivered.
const blockedPollInterval = 20 * time.Millisecond

// copy forwards bytes until either end closes.
func (p *proxy) copy(to, from net.Conn, state func(chunk []byte) (f fault, blocked bool)) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, 16<<10)
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			f, blocked := state(buffer[:count])
			time.Sleep(f.delay)
			wasBlocked := blocked
			for ; blocked; _, blocked = state(buffer[:count]) {
				time.Sleep(blockedPollInterval)
			}
			if wasBlocked && isReset(from) {
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

func (p *proxy) forwardPackets() {
	target, err := net.ResolveUDPAddr("udp4", p.target)
	if err != nil {
		return
	}
	buffer := make([]byte, 64<<10)
	for {
		count, sender, err := p.packets.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		f := p.faultFor(sender.IP.String(), time.Now())
		if p.dropsPacket(f) {
			continue
		}
		packet := slices.Clone(buffer[:count])
		time.AfterFunc(f.delay, func() { _, _ = p.packets.WriteToUDP(packet, target) })
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
	p := newProxy(t, "127.0.0.1:0", listener.Addr().String())
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", p.address())
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
	for name, f := range map[string]fault{"block to target": {blockTo: true}, "block from target": {blockFrom: true}, "delay": {delay: time.Second}} {
		p.set("127.0.0.1", f)
		if echoes(dial()) {
			t.Errorf("fault %q: the proxy still forwards", name)
		}
		p.set("127.0.0.1", fault{})
	}
	p.set(anySender, fault{refuse: true})
	if echoes(dial()) {
		t.Error("a proxy that refuses connections still forwards")
	}
	p.set(anySender, fault{})
	p.reset()
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
		received := make(chan string, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			text, _ := io.ReadAll(conn)
			received <- string(text)
		}()
		p := newProxy(t, "127.0.0.1:0", listener.Addr().String())
		conn, err := net.Dial("tcp", p.address())
		if err != nil {
			t.Fatal(err)
		}
		p.set(anySender, fault{blockTo: true})
		_, _ = conn.Write([]byte("order"))
		time.Sleep(5 * blockedPollInterval)
		if c.resets {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
		time.Sleep(5 * blockedPollInterval)
		p.set(anySender, fault{})
		if text := <-received; (text == "order") != c.arrives {
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
		p := newProxy(t, "127.0.0.1:0", listener.Addr().String())
		echoes := func(conn net.Conn) bool {
			_, _ = conn.Write([]byte("x"))
			_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
			_, err := conn.Read(make([]byte, 1))
			return err == nil
		}
		before, err := net.Dial("tcp", p.address())
		if err != nil {
			t.Fatal(err)
		}
		if !echoes(before) {
			t.Fatalf("%s: a proxy without a fault does not forward", name)
		}
		f.openedBefore = time.Now()
		p.set(anySender, f)
		after, err := net.Dial("tcp", p.address())
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
