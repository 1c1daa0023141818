//go:build tools

// Package tools keeps the modules that the design uses in go.mod until code
// imports them.
package tools

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/asynkron/protoactor-go/actor"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/joomcode/errorx"
	_ "github.com/phuslu/log"
	_ "github.com/prometheus/client_golang/prometheus/promhttp"
	_ "github.com/twitchtv/twirp"
	_ "github.com/urfave/cli/v3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "pgregory.net/rapid"
)
