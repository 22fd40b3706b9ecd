// Command soak runs entry instances against stand-ins of the users' platform, injects faults drawn from a seed, and prints its
// verdict as the last line. It is not part of a release.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/alecthomas/kong"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/soak"
)

func main() {
	var flags struct {
		Daemon    string        `required:"" type:"existingfile" help:"Path of the dogwoodnotch binary."`
		Standin   string        `required:"" type:"existingfile" help:"Path of the standin binary."`
		Directory string        `type:"path" help:"Directory for settings and logs, removed on success (default: a temporary directory)."`
		Instances int           `default:"5" help:"Number of entry instances."`
		Seed      uint64        `default:"1" help:"Seed that determines the faults and the load."`
		Runs      uint64        `default:"1" help:"Number of runs; each one uses the next seed."`
		Length    time.Duration `default:"30s" help:"Duration of the load in each run."`
		Calm      time.Duration `default:"9s" help:"Time for which the load goes on after the last fault. Jobs that stand beside free resources are found from 7 s after it on."`
	}
	kong.Parse(&flags, kong.Description("Injects faults drawn from a seed and checks the invariants that callers and workers can see."))
	for seed := flags.Seed; seed < flags.Seed+flags.Runs; seed++ {
		options := soak.Options{Daemon: flags.Daemon, Standin: flags.Standin, Directory: flags.Directory, Instances: flags.Instances, Seed: seed, Length: flags.Length, Calm: flags.Calm, Progress: os.Stdout}
		if err := run(options); err != nil {
			fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", seed, err)
			os.Exit(1)
		}
	}
}

// run executes one run. It keeps the directory with the logs if an invariant was violated.
func run(o soak.Options) error {
	if o.Directory == "" {
		created, err := os.MkdirTemp("", "dogwoodnotch-soak-")
		if err != nil {
			return err
		}
		o.Directory = created
	}
	verdict, err := soak.Run(context.Background(), o)
	if err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, o.Directory)
	}
	for _, problem := range slices.Concat(verdict.Lost, verdict.FalseRefusals, verdict.Unasked, verdict.Stuck, verdict.Standing, verdict.Workers.Violations) {
		fmt.Println("problem:", problem)
	}
	fmt.Printf("%v seed=%d\n", verdict, o.Seed)
	if !verdict.Passed() {
		return fmt.Errorf("an invariant was violated (logs are in %s)", o.Directory)
	}
	return os.RemoveAll(o.Directory)
}
