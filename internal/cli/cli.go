// Package cli is the command line: the daemon's start and the commands of operators and callers.
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

// Serve runs an entry instance until ctx ends. The program sets it, so that this package does not depend on the server.
var Serve func(ctx context.Context, s *settings.Settings) error

// Node runs an entry instance on the platform until ctx ends, with the settings file at path. The program sets it.
var Node func(ctx context.Context, path string) error

// kinds are the errors that the command line can end with, in the order of the help text.
var kinds = []errkind.Kind{
	errkind.Internal, errkind.Invalid, errkind.TooLarge, errkind.KeyRequired, errkind.Unauthorised, errkind.Forbidden,
	errkind.NotFound, errkind.Conflict, errkind.LostRace, errkind.InProgress, errkind.KeyExpired, errkind.Overloaded,
	errkind.Deadline, errkind.Unavailable, errkind.Dependency, errkind.Unknown, errkind.CannotRun,
}

// grammar declares the commands.
type grammar struct {
	Output  string        `enum:"text,json" default:"text" short:"o" help:"Form of results and errors: ${enum}."`
	Server  string        `env:"DOGWOODNOTCH_SERVER" default:"http://127.0.0.1:7100" help:"URL of an entry instance or of the balancer."`
	Token   string        `env:"DOGWOODNOTCH_TOKEN" help:"Bearer token of the operator or customer. Prefer the variable: other users can see arguments."`
	Timeout time.Duration `default:"60s" help:"Longest time for a command, retries included. Waiting and following have their own."`

	Serve   serveCommand   `cmd:"" help:"Run an entry instance until SIGTERM, then drain it."`
	Node    nodeCommand    `cmd:"" help:"Run an entry instance on a platform without control machines, until SIGTERM."`
	Check   checkCommand   `cmd:"" help:"Check a specification or settings file without a server."`
	Publish publishCommand `cmd:"" help:"Publish a specification. Retries with the same publish id until the outcome is known."`
	Show    showCommand    `cmd:"" help:"Show the specification in force, or an older version."`
	History historyCommand `cmd:"" help:"List the latest publishes, lost races included."`
	Diff    diffCommand    `cmd:"" help:"Show the difference of two versions, or of the current version and a file."`
	Status  statusCommand  `cmd:"" help:"Show the status of an instance and what it knows of the deployment."`
	Events  eventsCommand  `cmd:"" help:"Show the latest events of an instance."`
	Explain explainCommand `cmd:"" help:"Show why a job waits or ended."`
	Dump    dumpCommand    `cmd:"" help:"Show the whole state of an instance."`
	Trace   traceCommand   `cmd:"" help:"Put the log lines of one job, task or worker from several instances in order."`
	Job     jobCommand     `cmd:"" help:"Submit, show, wait for and cancel jobs."`

	InstallCompletions kongplete.InstallCompletions `cmd:"" help:"Install or print shell completions."`
}

// app is what the commands work with.
type app struct {
	ctx     context.Context
	stdout  io.Writer
	stderr  io.Writer
	json    bool
	timeout time.Duration
	client  *client
}

// exitCode carries kong's exit out of its parser.
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

func wantsJSON(args []string) bool {
	joined := strings.Join(args, " ")
	return strings.Contains(joined, "--output=json") || strings.Contains(joined, "--output json") || strings.Contains(joined, "-o json")
}

// exitCodeHelp documents the exit codes from the kinds of errors.
func exitCodeHelp() string {
	codes := map[int][]string{}
	for _, kind := range kinds {
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

// print writes a result as JSON, or by the given function.
func (a *app) print(value any, text func(w io.Writer) error) error {
	if !a.json {
		return text(a.stdout)
	}
	encoder := json.NewEncoder(a.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// limited returns the context of a command that is bounded by --timeout.
func (a *app) limited() (context.Context, context.CancelFunc) {
	return context.WithTimeout(a.ctx, a.timeout)
}

// progress shows on a terminal how long a wait has taken, until the returned function is called.
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
		return errkind.Wrap(errors.New("cli.Serve is not set"), errkind.Internal, "report this fault", "this program cannot serve")
	}
	return Serve(a.ctx, s)
}

// nodeCommand runs an entry instance on the platform.
type nodeCommand struct {
	Settings string `required:"" type:"path" help:"Settings file of the instance."`
}

// Run starts the instance.
func (c *nodeCommand) Run(a *app) error {
	if Node == nil {
		return errkind.Wrap(errors.New("cli.Node is not set"), errkind.Internal, "report this fault", "this program cannot run an instance")
	}
	return Node(a.ctx, c.Settings)
}
