// Command dogwoodnotch is the scheduler's daemon and command-line client.
package main

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"github.com/rs/zerolog/diode"

	"dogwoodnotch.example/dogwoodnotch/internal/cli"
	"dogwoodnotch.example/dogwoodnotch/internal/hangup"
	"dogwoodnotch.example/dogwoodnotch/internal/node"
	"dogwoodnotch.example/dogwoodnotch/internal/server"
	"dogwoodnotch.example/dogwoodnotch/internal/settings"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if !slices.Contains(os.Args, "node") {
		hangup.Restore()
	}
	cli.Serve = serve
	cli.Node = runNode
	return cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// serve runs the daemon of the serve command until ctx ends.
func serve(ctx context.Context, s *settings.Settings) error {
	instance, err := server.New(s, os.Stderr)
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

// logBuffer is the number of log lines that are buffered. Lines beyond it are dropped, so that decisions never wait for the reader
// of the log.
const logBuffer = 4096

// runNode runs the daemon of the node command until ctx ends, and reloads its settings on SIGHUP.
func runNode(ctx context.Context, path string) error {
	s, err := node.Load(path)
	if err != nil {
		return err
	}
	out := diode.NewWriter(os.Stdout, logBuffer, 0, nil)
	defer func() { _ = out.Close() }() // an error of the log itself cannot be logged
	n := node.New(s, out)
	go func() {
		for range hangup.Signals {
			n.Reload(path)
		}
	}()
	return n.Run(ctx)
}
