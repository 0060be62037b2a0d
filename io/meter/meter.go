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

// reportInterval is how often the scope hands its values to the page.
const reportInterval = time.Second

// Meter is the root of the program's metrics.
type Meter struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns a meter whose metrics all carry the tags.
func New(tags map[string]string) (*Meter, error) {
	registry := prom.NewRegistry()
	var failed error
	reporter := prometheus.NewReporter(prometheus.Options{
		Registerer:      registry,
		Gatherer:        registry,
		OnRegisterError: func(err error) { failed = err },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "bramleyrock",
		Tags:            tags,
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, reportInterval)
	if failed != nil {
		return nil, fmt.Errorf("set up metrics: %w", failed)
	}
	return &Meter{scope: scope, closer: closer, reporter: reporter}, nil
}

// Scope returns the root scope.
func (m *Meter) Scope() tally.Scope { return m.scope }

// Handler returns the page for Prometheus.
func (m *Meter) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close reports the last values and ends reporting.
func (m *Meter) Close() error { return m.closer.Close() }
