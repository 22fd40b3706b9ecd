// Package metrics sets up the process's tally scope and its report over HTTP.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally hands its values to the reporter.
const reportInterval = time.Second

// New returns the root scope, the handler that serves its values in the Prometheus text format, and the closer that
// flushes it.
func New(tags map[string]string) (tally.Scope, http.Handler, io.Closer) {
	registry := client.NewRegistry() // of its own, so that a process may hold several instances
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	options := tally.ScopeOptions{
		Prefix:         "dogwoodnotch",
		Tags:           tags,
		CachedReporter: reporter,
		Separator:      prometheus.DefaultSeparator,
	}
	scope, closer := tally.NewRootScope(options, reportInterval)
	return scope, reporter.HTTPHandler(), closer
}
