package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/spanlanding/spanlanding/internal/operator"
	"github.com/spanlanding/spanlanding/internal/peer/peerpb"
	"github.com/spanlanding/spanlanding/internal/poison"
)

const flagPeer = "peer"

// barsCommand lists and lifts bars. A bar blocks a request after it has crashed
// too many servers.
func barsCommand() *cli.Command {
	return &cli.Command{
		Name:   "bars",
		Usage:  "show the requests that are sent to no server, as they ended several",
		Flags:  []cli.Flag{outputFlag(), peerFlag(), timeoutFlag(defaultTimeout)},
		Action: runBars,
		Commands: []*cli.Command{{
			Name:      "lift",
			Usage:     "let a barred request run again, at all nodes",
			ArgsUsage: "FINGERPRINT",
			Action:    runLiftBar,
		}},
	}
}

func peerFlag() cli.Flag {
	return &cli.StringFlag{
		Name: flagPeer, Usage: "`ADDRESS` (IP:port) at which some node hears the others", Required: true,
		Sources: cli.EnvVars("SPANLANDING_PEER"),
	}
}

// barEntry is one bar as printed.
type barEntry struct {
	Fingerprint string   `json:"fingerprint"`
	LeftSeconds float64  `json:"leftSeconds"`
	Servers     []string `json:"servers"`
}

func peerClient(command *cli.Command) (peerpb.Nodes, error) {
	address := command.String(flagPeer)
	if _, err := netip.ParseAddrPort(address); err != nil {
		return nil, operator.ErrUsage.New("--%s: %q is not IP:PORT", flagPeer, address)
	}
	return peerpb.NewNodesProtobufClient("http://"+address, http.DefaultClient), nil
}

func runBars(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	client, err := peerClient(command)
	if err != nil {
		return err
	}
	response, err := client.Bars(ctx, &peerpb.BarsRequest{})
	if err != nil {
		return operator.ErrUnreachable.Wrap(err, "%s did not list the bars", command.String(flagPeer))
	}
	listed := make([]barEntry, 0, len(response.Bars))
	for _, bar := range response.Bars {
		fingerprint, ok := poison.DecodeFingerprint(bar.Fingerprint)
		if !ok {
			continue
		}
		remaining := time.Duration(bar.LeftMs) * time.Millisecond
		listed = append(listed, barEntry{Fingerprint: fingerprint.String(), LeftSeconds: remaining.Seconds(), Servers: bar.Servers})
	}
	return output(command, listed, func(writer io.Writer) { renderBars(writer, listed) })
}

func renderBars(writer io.Writer, listed []barEntry) {
	if len(listed) == 0 {
		fmt.Fprintln(writer, "no request is barred")
		return
	}
	for _, bar := range listed {
		fmt.Fprintf(writer, "%s  barred for %.0f s yet  ended %s\n", bar.Fingerprint, bar.LeftSeconds, strings.Join(bar.Servers, ", "))
	}
}

func runLiftBar(ctx context.Context, command *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, command.Duration(flagTimeout))
	defer cancel()
	fingerprint, ok := poison.ParseFingerprint(command.Args().First())
	if !ok {
		return operator.ErrUsage.New("bars lift: %q is no fingerprint (32 hexadecimal digits)", command.Args().First())
	}
	client, err := peerClient(command)
	if err != nil {
		return err
	}
	response, err := client.LiftBar(ctx, &peerpb.LiftBarRequest{Fingerprint: fingerprint[:]})
	if err != nil {
		return operator.ErrUnreachable.Wrap(err, "%s did not lift the bar", command.String(flagPeer))
	}
	if !response.WasBarred {
		return operator.ErrNotFound.New("no bar of %s at this node", fingerprint)
	}
	return output(command, barEntry{Fingerprint: fingerprint.String()}, func(writer io.Writer) {
		fmt.Fprintf(writer, "%s may run again\n", fingerprint)
	})
}
