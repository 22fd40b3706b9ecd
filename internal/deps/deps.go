// Package deps keeps the agreed libraries in go.mod while the packages that use them are being written.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go" // histograms
	_ "github.com/alecthomas/kong"              // command line
	_ "github.com/anishathalye/porcupine"       // histories in tests
	_ "github.com/cenkalti/backoff/v4"          // retries
	_ "github.com/cespare/xxhash/v2"            // hashing
	_ "github.com/goccy/go-yaml"                // settings and specification
	_ "github.com/gorilla/mux"                  // HTTP routes
	_ "github.com/pmezard/go-difflib/difflib"   // differences of texts
	_ "github.com/vmihailenco/msgpack/v5"       // peer messages
	_ "github.com/willabides/kongplete"         // shell completion
	_ "go.uber.org/goleak"                      // leaks in tests
	_ "golang.org/x/sync/errgroup"              // groups of goroutines
	_ "golang.org/x/time/rate"                  // limits
)
