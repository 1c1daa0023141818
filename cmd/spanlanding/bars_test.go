package main

import (
	"bytes"
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
)

// fakePeerNode has one barred request until the bar is lifted.
type fakePeerNode struct {
	peerpb.Nodes
	barred []byte
}

func (n *fakePeerNode) Bars(context.Context, *peerpb.BarsRequest) (*peerpb.BarsResponse, error) {
	if n.barred == nil {
		return &peerpb.BarsResponse{}, nil
	}
	return &peerpb.BarsResponse{Bars: []*peerpb.Bar{{Fingerprint: n.barred, LeftMs: 12_000, Servers: []string{"i-1", "i-2"}}}}, nil
}

func (n *fakePeerNode) LiftBar(_ context.Context, request *peerpb.LiftBarRequest) (*peerpb.LiftBarResponse, error) {
	matched := n.barred != nil && bytes.Equal(n.barred, request.Fingerprint)
	if matched {
		n.barred = nil
	}
	return &peerpb.LiftBarResponse{WasBarred: matched}, nil
}

func TestBars(t *testing.T) {
	fingerprint := poison.NewFingerprint(poison.Identity{Target: "/x"})
	server := httptest.NewServer(peerpb.NewNodesServer(&fakePeerNode{barred: fingerprint[:]}))
	t.Cleanup(server.Close)
	peerArgument := "--peer=" + strings.TrimPrefix(server.URL, "http://")
	for _, step := range []struct {
		line, output string
		want         operator.ExitCode
	}{
		{"bars " + peerArgument, fingerprint.String() + "  barred for 12 s yet  ended i-1, i-2", operator.ExitDone},
		{"bars -o json " + peerArgument, `"leftSeconds": 12`, operator.ExitDone},
		{"bars lift " + peerArgument + " nothing", "", operator.ExitUsage},
		{"bars lift " + peerArgument + " " + strings.Repeat("00", 16), "", operator.ExitNotFound},
		{"bars lift " + peerArgument + " " + fingerprint.String(), "may run again", operator.ExitDone},
		{"bars " + peerArgument, "no request is barred", operator.ExitDone},
		{"bars --peer=nowhere", "", operator.ExitUsage},
		{"bars --peer=127.0.0.1:1", "", operator.ExitUnreachable},
		{"bars", "", operator.ExitUsage},
	} {
		code, printed := run(t, strings.Fields(step.line)...)
		if code != step.want || !strings.Contains(printed, step.output) {
			t.Errorf("%s: exit %d, want %d; printed %q", step.line, code, step.want, printed)
		}
	}
}
