package traffic

import (
	"net"
	"net/http"
	"path"

	"github.com/prometheus/client_golang/prometheus"
)

// Metric names.
const (
	MetricBytes     = "spanlanding_control_bytes_total"
	MetricMessages  = "spanlanding_control_messages_total"
	MetricCallBytes = "spanlanding_control_call_bytes_total"
)

// Metric labels and the values of LabelDirection.
const (
	LabelChannel   = "channel"
	LabelDirection = "direction"
	LabelCall      = "call"

	DirectionSent     = "sent"
	DirectionReceived = "received"
)

// Counters holds the traffic metrics of one node.
type Counters struct {
	bytes     *prometheus.CounterVec
	messages  *prometheus.CounterVec
	callBytes *prometheus.CounterVec
}

// NewCounters creates the metrics and registers them.
func NewCounters(registerer prometheus.Registerer) *Counters {
	counters := &Counters{
		bytes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: MetricBytes,
			Help: "Bytes on the wire, headers of HTTP included, by channel and direction."}, []string{LabelChannel, LabelDirection}),
		messages: prometheus.NewCounterVec(prometheus.CounterOpts{Name: MetricMessages,
			Help: "Datagrams, requests and answers by channel and direction."}, []string{LabelChannel, LabelDirection}),
		callBytes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: MetricCallBytes,
			Help: "Bytes of bodies by channel, call and direction."}, []string{LabelChannel, LabelCall, LabelDirection}),
	}
	registerer.MustRegister(counters.bytes, counters.messages, counters.callBytes)
	return counters
}

// ChannelCounters counts the traffic with one kind of remote party.
type ChannelCounters struct {
	name                           string
	bytesSent, bytesReceived       prometheus.Counter
	messagesSent, messagesReceived prometheus.Counter
	callBytes                      *prometheus.CounterVec
}

// Channel returns the counters for one kind of remote party, such as peer or store.
func (c *Counters) Channel(name string) *ChannelCounters {
	return &ChannelCounters{
		name:             name,
		bytesSent:        c.bytes.WithLabelValues(name, DirectionSent),
		bytesReceived:    c.bytes.WithLabelValues(name, DirectionReceived),
		messagesSent:     c.messages.WithLabelValues(name, DirectionSent),
		messagesReceived: c.messages.WithLabelValues(name, DirectionReceived),
		callBytes:        c.callBytes,
	}
}

// InstrumentClient counts what the client sends and receives. The client must not
// have been used yet, and its transport must be an *http.Transport with a
// DialContext.
func (c *ChannelCounters) InstrumentClient(client *http.Client) {
	transport := client.Transport.(*http.Transport)
	transport.DialContext = c.instrumentDial(transport.DialContext)
	client.Transport = &roundTripper{channel: c, next: transport}
}

// InstrumentListener returns a listener that counts the bytes of the connections
// it accepts.
func (c *ChannelCounters) InstrumentListener(listener net.Listener) net.Listener {
	return countedListener{Listener: listener, channel: c}
}

// InstrumentPacketConn returns a connection that counts datagrams and their bytes.
func (c *ChannelCounters) InstrumentPacketConn(connection net.PacketConn) net.PacketConn {
	return countedPacketConn{PacketConn: connection, channel: c}
}

// InstrumentHandler returns a handler that counts requests, responses and the
// bytes of their bodies.
func (c *ChannelCounters) InstrumentHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		c.messagesReceived.Inc()
		call := path.Base(request.URL.Path)
		c.callBytes.WithLabelValues(c.name, call, DirectionReceived).Add(float64(max(0, request.ContentLength)))
		next.ServeHTTP(&countedWriter{ResponseWriter: writer, bytes: c.callBytes.WithLabelValues(c.name, call, DirectionSent)}, request)
		c.messagesSent.Inc()
	})
}
