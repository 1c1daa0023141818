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
	readyPollInterval = 200 * time.Millisecond
	statusTimeout     = 2 * time.Second
)

// nodeStatus is the part of a node's status that has the numbers of back ends it
// knows.
type nodeStatus struct {
	Zones []struct {
		Engines  int `json:"engines"`
		Services int `json:"services"`
	} `json:"zones"`
}

// awaitReady waits until the machine list and every node have the expected number
// of back ends. After options.Ready it returns an error that lists what is
// missing.
func awaitReady(ctx context.Context, options Options) error {
	ctx, cancel := context.WithTimeout(ctx, options.Ready)
	defer cancel()
	for {
		missing := errors.Join(missingBackends(ctx, options)...)
		if missing == nil {
			return nil
		}
		if !waitUntil(ctx, time.Now().Add(readyPollInterval)) {
			return fmt.Errorf("the fleet was not ready within %s: %w", options.Ready, missing)
		}
	}
}

func missingBackends(ctx context.Context, options Options) []error {
	listed, err := liveBackends(ctx, options.Platform)
	if err != nil {
		return []error{err}
	}
	var missing []error
	if listed < options.Backends {
		missing = append(missing, fmt.Errorf("the platform lists %d of %d back ends", listed, options.Backends))
	}
	for _, address := range options.Operators {
		var status nodeStatus
		if err := getJSON(ctx, "http://"+address+"/status", &status); err != nil {
			missing = append(missing, err)
			continue
		}
		known := 0
		for _, zone := range status.Zones {
			known += zone.Engines + zone.Services
		}
		if known < options.Backends {
			missing = append(missing, fmt.Errorf("%s knows %d of %d back ends", address, known, options.Backends))
		}
	}
	return missing
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

func getJSON(ctx context.Context, url string, result any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	return collect.GetJSON(ctx, http.DefaultClient, url, result)
}
