// Command soak runs entry instances against stand-ins of the users' platform under faults that a seed decides, and prints its
// verdict as the last line. It is not shipped.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"dogwoodnotch.example/dogwoodnotch/internal/standin/soak"
)

func main() {
	var flags struct {
		Daemon    string        `required:"" type:"existingfile" help:"Path of the dogwoodnotch binary."`
		Standin   string        `required:"" type:"existingfile" help:"Path of the standin binary."`
		Directory string        `type:"path" help:"Directory for settings and logs; a temporary one when empty."`
		Instances int           `default:"5" help:"Entry instances."`
		Seed      uint64        `default:"1" help:"Decides the faults and the load."`
		Runs      uint64        `default:"1" help:"Runs, with this seed and the ones that follow it."`
		Length    time.Duration `default:"30s" help:"Length of the load of one run."`
	}
	kong.Parse(&flags, kong.Description("Plays seeded faults and checks what callers and workers see."))
	for seed := flags.Seed; seed < flags.Seed+flags.Runs; seed++ {
		options := soak.Options{Daemon: flags.Daemon, Standin: flags.Standin, Directory: flags.Directory, Instances: flags.Instances, Seed: seed, Length: flags.Length, Progress: os.Stdout}
		if err := run(options); err != nil {
			fmt.Fprintf(os.Stderr, "soak: seed %d: %v\n", seed, err)
			os.Exit(1)
		}
	}
}

// run makes one run. Its logs are kept when a promise was broken.
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
	for _, problem := range append(verdict.Lost, verdict.FalseRefusals...) {
		fmt.Println("problem:", problem)
	}
	fmt.Printf("%v seed=%d\n", verdict, o.Seed)
	if !verdict.Passed() {
		return fmt.Errorf("a promise was broken (logs are in %s)", o.Directory)
	}
	return os.RemoveAll(o.Directory)
}
