// Command dogwoodnotch is the scheduler's daemon and its command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog/diode"

	"dogwoodnotch.example/dogwoodnotch/internal/cli"
	"dogwoodnotch.example/dogwoodnotch/internal/node"
	"dogwoodnotch.example/dogwoodnotch/internal/server"
	"dogwoodnotch.example/dogwoodnotch/internal/settings"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	cli.Serve = serve
	cli.Node = runNode
	return cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

func serve(ctx context.Context, s *settings.Settings) error {
	instance, err := server.New(s, os.Stderr)
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}

// logBuffer is the number of log lines that may wait to be written. Decisions never wait for the reader of the log.
const logBuffer = 4096

func runNode(ctx context.Context, path string) error {
	s, err := node.Load(path)
	if err != nil {
		return err
	}
	out := diode.NewWriter(os.Stdout, logBuffer, 0, nil)
	defer func() { _ = out.Close() }() // nothing can be logged about the log
	n := node.New(s, out)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	go func() {
		for range hangups {
			n.Reload(path)
		}
	}()
	return n.Run(ctx)
}
