package meter

import (
	"fmt"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which the scope reports its values to the
// Prometheus registry.
const reportInterval = time.Second

// Meter holds the root scope of the program's metrics.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a meter whose metrics all have the given tags.
func New(tags map[string]string) (*Meter, error) {
	registry := prom.NewRegistry()
	var registerErr error
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { registerErr = err },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "bramleyrock",
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	if registerErr != nil {
		return nil, fmt.Errorf("set up metrics: %w", registerErr)
	}
	return &Meter{scope: scope, closer: closer, reporter: reporter}, nil
}

// Scope returns the root scope.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler returns the handler that serves the metrics in Prometheus format.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the current values once more and stops reporting.
func (m *Meter) Close() error { return m.closer.Close() }
