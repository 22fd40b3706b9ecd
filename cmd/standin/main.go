// Command standin runs stand-ins for the services around the daemon. The commands platform, workers and minions serve daemons
// started with dogwoodnotch serve; store and tasks serve those started with dogwoodnotch node. It is for tests and demonstrations
// and is not part of a release.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"golang.org/x/sync/errgroup"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/instancelist"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/logservice"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/minion"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/store"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/taskworker"
	"dogwoodnotch.example/dogwoodnotch/internal/standin/worker"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

const readHeaderTimeout = 5 * time.Second

type platformCommand struct {
	Listen    string        `required:"" help:"Address to listen on, shared by the log service and the instance list."`
	Retention time.Duration `default:"1h" help:"How long the log keeps records."`
	Rate      float64       `default:"300" help:"Appends per second that the log accepts."`
}

func (c *platformCommand) Run(ctx context.Context) error {
	list := instancelist.New()
	log := logservice.New(logservice.Options{Retention: c.Retention, Rate: c.Rate})
	routes := http.NewServeMux()
	routes.Handle("/instances", list)
	routes.Handle("/instances/", list)
	routes.Handle("/control/list", list)
	routes.Handle("/", log)
	return serve(ctx, c.Listen, &http.Server{Handler: routes, ReadHeaderTimeout: readHeaderTimeout})
}

type workersCommand struct {
	Listen       string             `required:"" help:"Address to listen on, shared by all workers."`
	Worker       []structs.WorkerID `required:"" help:"Identifier of a worker; repeat for more workers."`
	Accelerators int                `default:"8" help:"Accelerators of each worker."`
	Cores        int                `default:"64" help:"Processor cores of each worker."`
	MemoryMB     int64              `default:"262144" help:"Memory of each worker in MB."`
}

func (c *workersCommand) Run(ctx context.Context) error {
	options := worker.Options{Accelerators: c.Accelerators, Cores: c.Cores, MemoryMB: c.MemoryMB, UsageLag: time.Second}
	fleet := worker.NewFleet(options, c.Worker...)
	return serve(ctx, c.Listen, &http.Server{Handler: fleet.Handler(), ReadHeaderTimeout: readHeaderTimeout})
}

type minionsCommand struct {
	Address     []string      `required:"" help:"Address of a minion to listen on; repeat for more minions."`
	Slots       int           `default:"8" help:"Slots of each minion."`
	Connections int           `default:"64" help:"Connections of each minion."`
	ServiceTime time.Duration `default:"20ms" help:"Time that each run takes."`
}

func (c *minionsCommand) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, address := range c.Address {
		m := minion.New(minion.Config{Slots: c.Slots, Connections: c.Connections, ServiceTime: c.ServiceTime})
		group.Go(func() error { return serve(ctx, address, m.Server()) })
	}
	return group.Wait()
}

type storeCommand struct {
	Listen string `required:"" help:"Address to listen on."`
}

func (c *storeCommand) Run(ctx context.Context) error {
	return serve(ctx, c.Listen, &http.Server{Handler: store.New(), ReadHeaderTimeout: readHeaderTimeout})
}

type taskWorkersCommand struct {
	Listen   string        `required:"" help:"Address to listen on, shared by all workers."`
	Worker   []string      `required:"" help:"Identifier of a worker; repeat for more workers."`
	MaxLease time.Duration `help:"Length to which workers shorten longer leases (default: none)."`
	HideRuns bool          `help:"Omit running tasks from the workers' answers, which no real worker may do."`
}

func (c *taskWorkersCommand) Run(ctx context.Context) error {
	fleet := taskworker.New(c.Worker...)
	fleet.MaxLease = c.MaxLease
	if c.HideRuns {
		fleet.HideRuns()
	}
	return serve(ctx, c.Listen, &http.Server{Handler: fleet, ReadHeaderTimeout: readHeaderTimeout, ConnContext: taskworker.ConnContext})
}

// serve runs a server until ctx ends.
func serve(ctx context.Context, address string, server *http.Server) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func main() {
	var commands struct {
		Platform platformCommand    `cmd:"" help:"Runs the log service and the instance list."`
		Workers  workersCommand     `cmd:"" help:"Runs workers of one or more racks."`
		Minions  minionsCommand     `cmd:"" help:"Runs minions, each at its own address."`
		Store    storeCommand       `cmd:"" help:"Runs the metadata store of the users' platform."`
		Tasks    taskWorkersCommand `cmd:"" help:"Runs workers of the users' platform."`
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	parsed := kong.Parse(&commands, kong.Description("Runs stand-ins for the platform's services."), kong.BindTo(ctx, (*context.Context)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
}
