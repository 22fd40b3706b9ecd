// Command dogwoodnotch is the scheduler's daemon and its command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"dogwoodnotch.example/dogwoodnotch/internal/cli"
	"dogwoodnotch.example/dogwoodnotch/internal/server"
	"dogwoodnotch.example/dogwoodnotch/internal/settings"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	cli.Serve = serve
	return cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

func serve(ctx context.Context, s *settings.Settings) error {
	instance, err := server.New(s, os.Stderr)
	if err != nil {
		return err
	}
	return instance.Run(ctx)
}
