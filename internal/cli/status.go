package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/goccy/go-yaml"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/event"
)

// maxEventBytes is the longest line of the event stream that follow can read.
const maxEventBytes = 1 << 20

// statusCommand shows the status of an instance.
type statusCommand struct{}

// Run prints the sections of the status.
func (*statusCommand) Run(a *app) error { return a.show(a.client, "/v1/status") }

// dumpCommand shows the internal state of one instance.
type dumpCommand struct {
	Instance string `arg:"" optional:"" help:"Address (host:port or URL) of the instance. The default is --server, which must then be an instance, not a balancer."`
}

// Run prints the state dump.
func (c *dumpCommand) Run(a *app) error {
	target := a.client
	if c.Instance != "" {
		target = newClient(c.Instance, a.client.token)
	}
	return a.show(target, "/dump")
}

// show prints an answer with any JSON content.
func (a *app) show(target *client, path string) error {
	ctx, cancel := a.withTimeout()
	defer cancel()
	var body json.RawMessage // decoding into any would turn whole numbers into floating-point ones
	if err := target.call(ctx, http.MethodGet, path, nil, &body); err != nil {
		return err
	}
	return a.print(body, func(w io.Writer) error { return writeYAML(w, body) })
}

func writeYAML(w io.Writer, body json.RawMessage) error {
	data, err := yaml.JSONToYAML(body)
	if err != nil {
		return errkind.Wrap(err, errkind.Internal, "use --output=json", "cannot format the answer")
	}
	_, err = w.Write(data)
	return err
}

// eventsCommand shows the latest events of an instance.
type eventsCommand struct {
	Follow bool   `short:"f" help:"Keep showing new events until interrupted."`
	Since  uint64 `help:"Show events after this sequence number."`
}

// Run prints one event per line; in JSON each line is one object.
func (c *eventsCommand) Run(a *app) error {
	query := url.Values{"since": {strconv.FormatUint(c.Since, 10)}}
	if c.Follow {
		query.Set("follow", "1")
		return a.follow("/v1/events?" + query.Encode())
	}
	ctx, cancel := a.withTimeout()
	defer cancel()
	var body api.EventsBody
	if err := a.client.call(ctx, http.MethodGet, "/v1/events?"+query.Encode(), nil, &body); err != nil {
		return err
	}
	for _, record := range body.Events {
		if err := a.printEvent(record); err != nil {
			return err
		}
	}
	return nil
}

// follow prints the events of a stream until the user interrupts or the instance ends the stream.
func (a *app) follow(path string) error {
	response, err := a.client.send(a.ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(response.Body, maxEventBytes)) // a partial body yields a generic error
		return errorFromAnswer(response.StatusCode, data, nil)
	}
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var record event.Record
		if err := json.Unmarshal(lines.Bytes(), &record); err != nil {
			return errkind.Wrap(err, errkind.Internal, "report this fault", "cannot decode an event")
		}
		if err := a.printEvent(record); err != nil {
			return err
		}
	}
	if a.ctx.Err() != nil {
		return nil // interrupted by the user
	}
	return errkind.New(errkind.Unavailable, "repeat the command with --since", "the instance ended the stream")
}

func (a *app) printEvent(record event.Record) error {
	if a.json {
		return json.NewEncoder(a.stdout).Encode(record)
	}
	_, err := fmt.Fprintf(a.stdout, "%d %s %d %s", record.Sequence, record.Time.Format("15:04:05.000"), record.Number, record.Name)
	for _, name := range sortedNames(record.Fields) {
		fmt.Fprintf(a.stdout, " %s=%q", name, record.Fields[name])
	}
	fmt.Fprintln(a.stdout)
	return err
}
