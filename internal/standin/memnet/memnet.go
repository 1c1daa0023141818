// Package memnet is a network within the process, for tests on a virtual clock: testing/synctest advances its
// clock only while no goroutine waits for a real socket.
//
// It may import the standard library only.
package memnet

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Network connects listeners and packet connections with those that dial or send to their addresses. The zero
// value is ready to use. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	lastPort  uint16
	listeners map[string]*Listener
	packets   map[netip.AddrPort]*PacketConn
}

const firstPort = 1024

// nextAddress returns an address that was not used before. n.mu must be held.
func (n *Network) nextAddress() netip.AddrPort {
	n.lastPort = max(n.lastPort+1, firstPort)
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), n.lastPort)
}

// Listen returns a listener at a new address.
func (n *Network) Listen() *Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	listener := &Listener{
		network: n, address: net.TCPAddrFromAddrPort(n.nextAddress()), accepted: make(chan net.Conn), closed: make(chan struct{}),
	}
	if n.listeners == nil {
		n.listeners = make(map[string]*Listener)
	}
	n.listeners[listener.address.String()] = listener
	return listener
}

// DialContext connects to a listener, as net.Dialer.DialContext does. The error is a *net.OpError if nobody
// listens there.
func (n *Network) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[address]
	n.mu.Unlock()
	if listener == nil {
		return nil, &net.OpError{Op: "dial", Net: network, Err: fmt.Errorf("nobody listens at %s", address)}
	}
	client, server := net.Pipe()
	select {
	case listener.accepted <- server:
		return client, nil
	case <-listener.closed:
		return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
}

// Listener implements net.Listener.
type Listener struct {
	network   *Network
	address   net.Addr
	accepted  chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address.String())
	})
	return nil
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// maxQueuedPackets is the number of packets that wait to be read at one address; more are lost.
const maxQueuedPackets = 256

// ListenPacket returns a packet connection at a new address.
func (n *Network) ListenPacket() *PacketConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	conn := &PacketConn{network: n, address: n.nextAddress(), received: make(chan packet, maxQueuedPackets), closed: make(chan struct{})}
	if n.packets == nil {
		n.packets = make(map[netip.AddrPort]*PacketConn)
	}
	n.packets[conn.address] = conn
	return conn
}

type packet struct {
	from    netip.AddrPort
	payload []byte
}

// PacketConn has the methods of a *net.UDPConn that nodes use.
type PacketConn struct {
	network   *Network
	address   netip.AddrPort
	received  chan packet
	closeOnce sync.Once
	closed    chan struct{}
}

// ReadFromUDPAddrPort waits for the next packet.
func (c *PacketConn) ReadFromUDPAddrPort(buffer []byte) (int, netip.AddrPort, error) {
	select {
	case received := <-c.received:
		return copy(buffer, received.payload), received.from, nil
	case <-c.closed:
		return 0, netip.AddrPort{}, net.ErrClosed
	}
}

// WriteToUDP sends a packet, which is lost if nobody is at the address or too many wait there.
func (c *PacketConn) WriteToUDP(payload []byte, to *net.UDPAddr) (int, error) {
	address := netip.AddrPortFrom(to.AddrPort().Addr().Unmap(), uint16(to.Port))
	c.network.mu.Lock()
	target := c.network.packets[address]
	c.network.mu.Unlock()
	if target != nil {
		select {
		case target.received <- packet{from: c.address, payload: append([]byte(nil), payload...)}:
		default:
		}
	}
	return len(payload), nil
}

// LocalAddr returns the address of the connection.
func (c *PacketConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.address) }

// Close ends reads; packets that arrive later are lost.
func (c *PacketConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		defer c.network.mu.Unlock()
		delete(c.network.packets, c.address)
	})
	return nil
}
