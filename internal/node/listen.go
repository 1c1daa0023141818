package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/pprof"
	"time"

	"github.com/phuslu/log"

	"github.com/spanlanding/spanlanding/internal/callerconn"
	"github.com/spanlanding/spanlanding/internal/fleet"
)

const (
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds a request's headers.
	maxHeaderBytes   = 32 << 10
	keepAliveTimeout = 120 * time.Second
)

// sockets holds the bound sockets of a node. All are bound before anything starts, so that a
// second process with the same addresses fails at once.
type sockets struct {
	caller   net.Listener
	operator net.Listener
	peer     net.Listener
	gossip   net.PacketConn
}

func bind(listen ListenSettings) (sockets, error) {
	var bound sockets
	var errs [4]error
	bound.caller, errs[0] = net.Listen("tcp", listen.Caller)
	bound.operator, errs[1] = net.Listen("tcp", listen.Operator)
	bound.peer, errs[2] = net.Listen("tcp", listen.Peer)
	bound.gossip, errs[3] = net.ListenPacket("udp", listen.Gossip)
	err := errors.Join(errs[:]...)
	if err != nil {
		bound.close()
	}
	return bound, err
}

func (s sockets) close() {
	for _, listener := range []net.Listener{s.caller, s.operator, s.peer} {
		if listener != nil {
			_ = listener.Close()
		}
	}
	if s.gossip != nil {
		_ = s.gossip.Close()
	}
}

// servers holds the HTTP servers of a node.
type servers struct {
	logger *log.Logger
	node   fleet.NodeName
	all    []*http.Server
}

// serve starts serving the handler on the listener.
func (s *servers) serve(name string, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       keepAliveTimeout,
		ConnContext:       callerconn.WithConn,
	}
	s.all = append(s.all, server)
	go pprof.Do(context.Background(), profileLabels(s.node, name), func(context.Context) {
		err := server.Serve(listener)
		if err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.logger.Error().Str("server", name).Err(err).Msg("server_failed")
		}
	})
	return server
}

// shutdown lets each server finish its requests until the context ends, and then closes it.
func (s *servers) shutdown(ctx context.Context) {
	for _, server := range s.all {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
}
