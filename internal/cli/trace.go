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

// longestLine bounds a log line that trace can read, in bytes.
const longestLine = 1 << 20

// traceCommand puts the log lines of one job from several instances in order.
type traceCommand struct {
	ID    string   `arg:"" help:"Id of a job, task or worker."`
	Files []string `arg:"" type:"existingfile" help:"Logs of instances."`
}

// traceLine is a log line that names the id.
type traceLine struct {
	Time     time.Time `json:"time"`
	Event    int       `json:"event"`
	Instance string    `json:"instance"`
	Message  string    `json:"message"`
	fields   []string
}

// Run prints the lines in the order of their times.
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
		return errkind.New(errkind.NotFound, "give the logs of all instances and the whole id", "no line names %s", c.ID)
	}
	slices.SortStableFunc(lines, func(x, y traceLine) int { return x.Time.Compare(y.Time) })
	for _, l := range lines {
		fmt.Fprintf(a.stdout, "%s  %d %-24s %-20s %s\n", l.Time.Format("15:04:05.000"), l.Event, l.Message, l.Instance, strings.Join(l.fields, " "))
	}
	return nil
}

func traceFile(name, id string) ([]traceLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "check the path", "cannot read %s", name)
	}
	defer func() { _ = file.Close() }() // it was only read
	lines, err := traceLines(file, id)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "give a log of an instance", "cannot read %s", name)
	}
	return lines, nil
}

// traceLines returns the JSON lines that name an id. What stands before the first brace of a line, such as a prefix of a log
// collector, is left out, and so are lines that are not JSON.
func traceLines(r io.Reader, id string) ([]traceLine, error) {
	var lines []traceLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
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
		if !names(fields, id) {
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

// names reports whether a field holds the id, or a task or unit of the job with that id.
func names(fields map[string]any, id string) bool {
	for _, value := range fields {
		text, ok := value.(string)
		if ok && (text == id || strings.HasPrefix(text, id+".")) {
			return true
		}
	}
	return false
}
