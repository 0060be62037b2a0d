//go:build deps

// Package deps keeps the modules that parts under construction need.
package deps

import (
	_ "github.com/coder/websocket"
	_ "github.com/dghubble/sling"
	_ "github.com/fxamacker/cbor/v2"
	_ "github.com/google/uuid"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/sirupsen/logrus"
	_ "github.com/spf13/cobra"
	_ "github.com/spf13/cobra/doc"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/term"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "gotest.tools/v3/assert"
	_ "pgregory.net/rapid"
)
