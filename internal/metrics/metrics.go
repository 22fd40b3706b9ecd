// Package metrics sets up the tally scope that collects an instance's metrics and the HTTP handler that serves them.
package metrics

import (
	"io"
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is how often tally passes its values to the reporter.
const reportInterval = time.Second

// New returns the root scope with the given tags, the handler that serves its values in the Prometheus text format, and a
// closer that flushes the scope and ends its reports.
func New(tags map[string]string) (tally.Scope, http.Handler, io.Closer) {
	registry := client.NewRegistry() // not the global one, so that a process can run several instances
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
