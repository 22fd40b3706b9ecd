package cli

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// maxLineBytes is the longest log line that trace can read.
const maxLineBytes = 1 << 20

// traceCommand merges the log lines of one job, task or worker from several instances.
type traceCommand struct {
	ID    string   `arg:"" help:"Id of a job, task or worker."`
	Files []string `arg:"" type:"existingfile" help:"Log files of instances."`
}

// traceLine is a log line that mentions the id.
type traceLine struct {
	Time     time.Time `json:"time"`
	Event    int       `json:"event"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	fields   []string  // other fields as key=value, sorted
}

// Run prints the lines that mention the id in the order of their times.
func (c *traceCommand) Run(a *app) error {
	var lines []traceLine
	for _, name := range c.Files {
		found, err := traceFile(name, c.ID)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		return errkind.New(errkind.NotFound, "give the logs of all instances and the whole id", "no line mentions %s", c.ID)
	}
	slices.SortStableFunc(lines, func(x, y traceLine) int { return x.Time.Compare(y.Time) })
	for _, l := range lines {
		fmt.Fprintf(a.stdout, "%s  %d %-24s %-20s %s\n", l.Time.Format("15:04:05.000"), l.Event, l.Message, l.Instance, strings.Join(l.fields, " "))
	}
	return nil
}

// traceFile returns the lines of a log file that mention an id.
func traceFile(name, id string) ([]traceLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "check the path", "cannot read %s", name)
	}
	defer func() { _ = file.Close() }() // harmless after reading
	lines, err := traceLines(file, id)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "give a log file of an instance", "cannot read %s", name)
	}
	return lines, nil
}

// traceLines returns the JSON lines that mention an id. It ignores everything before the first brace of a line, such as the
// prefix of a log collector, and skips lines that are not JSON.
func traceLines(r io.Reader, id string) ([]traceLine, error) {
	var lines []traceLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, object, isObject := strings.Cut(scanner.Text(), "{")
		if !isObject || !strings.Contains(object, id) {
			continue
		}
		var l traceLine
		fields := map[string]any{}
		data := []byte("{" + object)
		if json.Unmarshal(data, &l) != nil || json.Unmarshal(data, &fields) != nil {
			continue
		}
		if !mentions(fields, id) {
			continue
		}
		for _, known := range []string{"time", "event", "instance", "message", "level"} {
			delete(fields, known)
		}
		for key, value := range fields {
			l.fields = append(l.fields, fmt.Sprintf("%s=%v", key, value))
		}
		slices.Sort(l.fields)
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// mentions reports whether a field is the id, or the id of a task or unit of the job with that id. A unit is a task or a
// whole gang. Both ids start with the job's id and a dot.
func mentions(fields map[string]any, id string) bool {
	for _, value := range fields {
		text, ok := value.(string)
		if ok && (text == id || strings.HasPrefix(text, id+".")) {
			return true
		}
	}
	return false
}
