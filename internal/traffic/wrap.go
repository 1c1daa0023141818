package traffic

import (
	"context"
	"io"
	"net"
	"net/http"
	"path"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
)

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

func (c *ChannelCounters) instrumentDial(next dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: connection, channel: c}, nil
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	channel *ChannelCounters
}

func (c countedConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	c.channel.bytesReceived.Add(float64(count))
	return count, err
}

func (c countedConn) Write(content []byte) (int, error) {
	count, err := c.Conn.Write(content)
	c.channel.bytesSent.Add(float64(count))
	return count, err
}

type countedListener struct {
	net.Listener
	channel *ChannelCounters
}

func (l countedListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: connection, channel: l.channel}, nil
}

// countedPacketConn counts the datagrams of a connection and their bytes.
type countedPacketConn struct {
	net.PacketConn
	channel *ChannelCounters
}

func (p countedPacketConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	count, from, err := p.PacketConn.ReadFrom(buffer)
	if err == nil {
		p.channel.messagesReceived.Inc()
		p.channel.bytesReceived.Add(float64(count))
	}
	return count, from, err
}

func (p countedPacketConn) WriteTo(packet []byte, to net.Addr) (int, error) {
	count, err := p.PacketConn.WriteTo(packet, to)
	if err == nil {
		p.channel.messagesSent.Inc()
		p.channel.bytesSent.Add(float64(count))
	}
	return count, err
}

// roundTripper counts requests and responses, and the bytes of their bodies by
// call.
type roundTripper struct {
	channel *ChannelCounters
	next    *http.Transport
}

func (r *roundTripper) RoundTrip(request *http.Request) (*http.Response, error) {
	call := callName(request.URL.Path)
	r.channel.messagesSent.Inc()
	r.channel.callBytes.WithLabelValues(r.channel.name, call, DirectionSent).Add(float64(max(0, request.ContentLength)))
	response, err := r.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	r.channel.messagesReceived.Inc()
	response.Body = countedBody{
		ReadCloser: response.Body,
		bytes:      r.channel.callBytes.WithLabelValues(r.channel.name, call, DirectionReceived),
	}
	return response, nil
}

// CloseIdleConnections is called by http.Client.CloseIdleConnections.
func (r *roundTripper) CloseIdleConnections() { r.next.CloseIdleConnections() }

// objectPathPrefix is the prefix of paths that end in the name of an object.
const objectPathPrefix = "/v1/objects"

// callName returns the label value for a path. It leaves out names of objects, so
// that the number of label values is bounded.
func callName(urlPath string) string {
	if strings.HasPrefix(urlPath, objectPathPrefix) {
		return "objects"
	}
	return path.Base(urlPath)
}

type countedBody struct {
	io.ReadCloser
	bytes prometheus.Counter
}

func (b countedBody) Read(buffer []byte) (int, error) {
	count, err := b.ReadCloser.Read(buffer)
	b.bytes.Add(float64(count))
	return count, err
}

// countedWriter counts the bytes of a response body.
type countedWriter struct {
	http.ResponseWriter
	bytes prometheus.Counter
}

func (w *countedWriter) Write(content []byte) (int, error) {
	count, err := w.ResponseWriter.Write(content)
	w.bytes.Add(float64(count))
	return count, err
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *countedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
