// Package cli implements the command line: starting the daemon, and the commands of operators and callers.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/settings"
)

// Serve runs an entry instance until ctx ends. The main package sets it, so that this package does not import the server.
var Serve func(ctx context.Context, s *settings.Settings) error

// Node runs an entry instance on a platform where no machine is reserved for control and none has a disk (package node)
// until ctx ends, with the settings file at path. The main package sets it.
var Node func(ctx context.Context, path string) error

// errorKinds lists the kinds of errors with which a command can end. Kinds that share an exit code are in the order in
// which the help text shows them.
var errorKinds = []errkind.Kind{
	errkind.Internal, errkind.Invalid, errkind.TooLarge, errkind.KeyRequired, errkind.Unauthorised, errkind.Forbidden,
	errkind.NotFound, errkind.Conflict, errkind.LostRace, errkind.InProgress, errkind.KeyExpired, errkind.Overloaded,
	errkind.Deadline, errkind.Unavailable, errkind.Dependency, errkind.Unknown, errkind.CannotRun,
}

// grammar declares the commands and common flags for kong.
type grammar struct {
	Output  string        `enum:"text,json" default:"text" short:"o" help:"Form of results and errors: ${enum}."`
	Server  string        `env:"DOGWOODNOTCH_SERVER" default:"http://127.0.0.1:7100" help:"URL of an entry instance or of the balancer."`
	Token   string        `env:"DOGWOODNOTCH_TOKEN" help:"Bearer token of the operator or customer. Prefer the environment variable: other users can see arguments."`
	Timeout time.Duration `default:"60s" help:"Longest time for a command, including retries. Waiting for a job has its own timeout; following events has none."`

	Serve   serveCommand   `cmd:"" help:"Run an entry instance until SIGTERM, then drain it."`
	Node    nodeCommand    `cmd:"" help:"Run an entry instance until SIGTERM, on a platform where no machine is reserved for control and none has a disk. One instance at a time is the scheduler."`
	Check   checkCommand   `cmd:"" help:"Check a specification, operator's record or settings file. A server is contacted only for a version to compare with."`
	Publish publishCommand `cmd:"" help:"Publish a specification. Retries with the same publish id until the outcome is known."`
	Show    showCommand    `cmd:"" help:"Show the specification in force, or an older version."`
	History historyCommand `cmd:"" help:"List the latest publishes, including those that lost a race."`
	Diff    diffCommand    `cmd:"" help:"Show the difference between two versions, or between a version and a file."`
	Status  statusCommand  `cmd:"" help:"Show the status of an instance and of its data centre."`
	Events  eventsCommand  `cmd:"" help:"Show the latest events of an instance."`
	Explain explainCommand `cmd:"" help:"Show why a job is waiting or has ended."`
	Dump    dumpCommand    `cmd:"" help:"Show the internal state of an instance."`
	Trace   traceCommand   `cmd:"" help:"Show the log lines of one job, task or worker from several instances in the order of their times."`
	Job     jobCommand     `cmd:"" help:"Submit, show, wait for and cancel jobs."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install or print shell completions."`
}

// app holds the context, outputs and options of one command.
type app struct {
	ctx     context.Context
	stdout  io.Writer
	stderr  io.Writer
	json    bool
	timeout time.Duration
	client  *client
}

// exitCode is the panic value with which the exit function given to kong leaves its parser.
type exitCode int

// Run runs one command and returns the process's exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		cause := recover()
		if exit, ok := cause.(exitCode); ok {
			code = int(exit)
		} else if cause != nil {
			panic(cause)
		}
	}()
	g := &grammar{}
	parser, err := kong.New(g,
		kong.Name("dogwoodnotch"),
		kong.Description("Scheduler daemon and its command line.\n\n"+exitCodeHelp()),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitCode(code)) }),
		kong.Vars{"author": defaultAuthor()},
	)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return errkind.Internal.Exit
	}
	kongplete.Complete(parser)
	command, err := parser.Parse(args)
	if err != nil {
		a := &app{stderr: stderr, json: wantsJSON(args)}
		return a.fail(errkind.Wrap(err, errkind.Invalid, "see dogwoodnotch --help", "cannot understand the command"))
	}
	a := &app{ctx: ctx, stdout: stdout, stderr: stderr, json: g.Output == "json", timeout: g.Timeout, client: newClient(g.Server, g.Token)}
	if err := command.Run(a); err != nil {
		return a.fail(err)
	}
	return 0
}

// wantsJSON reports whether arguments that kong could not parse ask for JSON output.
func wantsJSON(args []string) bool {
	joined := strings.Join(args, " ")
	return strings.Contains(joined, "--output=json") || strings.Contains(joined, "--output json") || strings.Contains(joined, "-o json")
}

// exitCodeHelp returns the help text on exit codes, generated from errorKinds.
func exitCodeHelp() string {
	codes := map[int][]string{}
	for _, kind := range errorKinds {
		codes[kind.Exit] = append(codes[kind.Exit], kind.Code)
	}
	lines := []string{"Exit codes: 0 success"}
	for code := 1; code < 256; code++ {
		if names := codes[code]; len(names) > 0 {
			lines = append(lines, fmt.Sprintf("%d %s", code, strings.Join(names, " or ")))
		}
	}
	return strings.Join(lines, "; ") + "."
}

// fail reports an error and returns its exit code.
func (a *app) fail(err error) int {
	typed := errkind.As(err)
	message := typed.Message
	if typed.Cause != nil {
		message += ": " + typed.Cause.Error()
	}
	if a.json {
		_ = json.NewEncoder(a.stderr).Encode(api.ErrorBody{Kind: typed.Kind.Code, Message: message, Remedy: typed.Remedy})
		return typed.Kind.Exit
	}
	fmt.Fprintf(a.stderr, "error: %s\n", message)
	if typed.Remedy != "" {
		fmt.Fprintf(a.stderr, "remedy: %s\n", typed.Remedy)
	}
	return typed.Kind.Exit
}

// print writes a result as JSON, or as text with the given function.
func (a *app) print(value any, text func(w io.Writer) error) error {
	if !a.json {
		return text(a.stdout)
	}
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// withTimeout returns a context that ends after --timeout.
func (a *app) withTimeout() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.timeout)
}

// progress shows on a terminal for how long the command has waited, until the returned function is called.
func (a *app) progress(what string) (stop func()) {
	file, isFile := a.stderr.(*os.File)
	if !isFile || a.json || !isTerminal(file) {
		return func() {}
	}
	ctx, cancel := context.WithCancel(a.ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		showProgress(ctx, file, what)
	}()
	return func() { cancel(); <-ended }
}

// showProgress updates a line with the elapsed time once a second until ctx ends, then clears it.
func showProgress(ctx context.Context, w io.Writer, what string) {
	const interval = time.Second
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	started := time.Now()
	for {
		select {
		case <-ticker.C:
			fmt.Fprintf(w, "\r%s, %v ", what, time.Since(started).Round(interval))
		case <-ctx.Done():
			fmt.Fprint(w, "\r\x1b[K") // clears the line
			return
		}
	}
}

func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func readFile(path string) ([]byte, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.NotFound, "give the path of a readable file", "cannot read the file")
	}
	return data, nil
}

// serveCommand runs an entry instance.
type serveCommand struct {
	Settings string `required:"" type:"path" help:"Settings file of the instance."`
}

// Run starts the instance.
func (c *serveCommand) Run(a *app) error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if Serve == nil {
		return errkind.Wrap(errors.New("cli.Serve is not set"), errkind.Internal, "report this fault", "this program has no server")
	}
	return Serve(a.ctx, s)
}

// nodeCommand runs an entry instance on a platform where no machine is reserved for control and none has a disk.
type nodeCommand struct {
	Settings string `required:"" type:"path" help:"Settings file of the instance."`
}

// Run starts the instance.
func (c *nodeCommand) Run(a *app) error {
	if Node == nil {
		return errkind.Wrap(errors.New("cli.Node is not set"), errkind.Internal, "report this fault", "this program does not include package node")
	}
	return Node(a.ctx, c.Settings)
}
