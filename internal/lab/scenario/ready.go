package scenario

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/spanlanding/spanlanding/internal/lab/collect"
	"github.com/spanlanding/spanlanding/internal/objectstore"
)

const (
	readyPoll    = 200 * time.Millisecond
	readyTimeout = 2 * time.Second
)

// knownBackends is the part of a node's status that tells whether it can route.
type knownBackends struct {
	Zones []struct {
		Engines  int `json:"engines"`
		Services int `json:"services"`
	} `json:"zones"`
}

// awaitReady returns once the machine list and every node have the back ends,
// or an error that says what they lack.
func awaitReady(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, options.Ready)
	defer cancel()
	for {
		lacking := errors.Join(lackingNodes(ctx, options)...)
		if lacking == nil {
			return nil
		}
		if !wait(ctx, time.Now().Add(readyPoll)) {
			return fmt.Errorf("the fleet was not ready within %s: %w", options.Ready, lacking)
		}
	}
}

func lackingNodes(ctx context.Context, options Options) []error {
	listed, err := liveBackends(ctx, options.Platform)
	if err != nil {
		return []error{err}
	}
	var lacking []error
	if listed < options.Backends {
		lacking = append(lacking, fmt.Errorf("the platform lists %d of %d back ends", listed, options.Backends))
	}
	for _, address := range options.Operators {
		var status knownBackends
		if err := getJSON(ctx, "http://"+address+"/status", &status); err != nil {
			lacking = append(lacking, err)
			continue
		}
		known := 0
		for _, zone := range status.Zones {
			known += zone.Engines + zone.Services
		}
		if known < options.Backends {
			lacking = append(lacking, fmt.Errorf("%s knows %d of %d back ends", address, known, options.Backends))
		}
	}
	return lacking
}

func liveBackends(ctx context.Context, platformURL string) (int, error) {
	var list objectstore.MachineList
	if err := getJSON(ctx, platformURL+"/v1/machines", &list); err != nil {
		return 0, err
	}
	live := 0
	for _, machine := range list.Machines {
		if machine.State == objectstore.MachineLive && machine.Role != "node" {
			live++
		}
	}
	return live, nil
}

func getJSON(ctx context.Context, url string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return collect.GetJSON(ctx, http.DefaultClient, url, into)
}
