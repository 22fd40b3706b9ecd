// Command demo runs the end-to-end demonstration and prints its verdict as the last line. It is not part of a release.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"dogwoodnotch.example/dogwoodnotch/internal/demo"
)

func main() {
	var flags struct {
		Daemon    string       `required:"" type:"existingfile" help:"Path of the dogwoodnotch binary."`
		Standin   string       `required:"" type:"existingfile" help:"Path of the standin binary."`
		Text      string       `required:"" type:"existingfile" help:"Path of the specification."`
		Fault     []demo.Fault `help:"Faults to inject while the load runs: kill, drain, rolling, freeze, log-outage, lost-answers, list-outage, list-lag (default: kill and drain)."`
		Directory string       `type:"path" help:"Directory for settings and logs, removed on success (default: a temporary directory)."`
	}
	kong.Parse(&flags, kong.Description("Runs the scheduler end to end against stand-ins, injects faults and checks the results."))
	if len(flags.Fault) == 0 {
		flags.Fault = demo.DefaultFaults
	}
	if err := runDemo(demo.Options{
		Daemon: flags.Daemon, Standin: flags.Standin, Text: flags.Text, Directory: flags.Directory,
		Progress: os.Stdout, Faults: flags.Fault,
	}); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

// runDemo runs a demonstration and removes its directory if the checks pass.
func runDemo(options demo.Options) error {
	if options.Directory == "" {
		created, err := os.MkdirTemp("", "dogwoodnotch-demo-")
		if err != nil {
			return err
		}
		options.Directory = created
	}
	verdict, err := demo.Run(context.Background(), options)
	if err != nil {
		return fmt.Errorf("%w (logs are in %s)", err, options.Directory)
	}
	for _, problem := range verdict.Problems {
		fmt.Println("problem:", problem)
	}
	fmt.Printf("highest slots=%d connections=%d at a minion\n", verdict.SlotsHighest, verdict.ConnectionsHighest)
	fmt.Println(verdict)
	if !verdict.Passed() {
		return fmt.Errorf("the checks failed (logs are in %s)", options.Directory)
	}
	return os.RemoveAll(options.Directory)
}
