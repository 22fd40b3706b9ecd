package cli

import (
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/api"
	"dogwoodnotch.example/dogwoodnotch/internal/configcheck"
	"dogwoodnotch.example/dogwoodnotch/internal/configuration"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/settings"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
	"dogwoodnotch.example/dogwoodnotch/internal/spec/strict"
)

// checkCommand checks a file. It needs a server only to fetch a version to compare with.
type checkCommand struct {
	File         string `arg:"" type:"path" help:"Specification, operator's record (JSON) of a platform, or settings file with --settings."`
	Settings     bool   `help:"The file is the settings file of an instance."`
	Against      string `placeholder:"VERSION-OR-FILE" help:"Also report entries that can never match, limits that contradict each other, and differences from a version (0: the one in force) or a file (./7 for a file named 7)."`
	Accelerators int64  `help:"Accelerators of the fleet, with which the guarantees of an operator's record are compared. 0: unknown."`
}

// checkResult is the JSON output of check.
type checkResult struct {
	Valid    bool             `json:"valid"`
	Problems []strict.Problem `json:"problems"`
}

// Run prints every problem of the file.
func (c *checkCommand) Run(a *app) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	if c.Against != "" && c.Settings {
		return errkind.New(errkind.Invalid, "leave out --against or --settings", "settings are not compared")
	}
	if c.Against != "" || !c.Settings && configcheck.FormatOf(data) == configcheck.Record {
		return c.examine(a, data)
	}
	var problems []strict.Problem
	if c.Settings {
		_, problems = settings.Check(data)
	} else {
		_, problems = spec.Check(data)
	}
	result := checkResult{Valid: len(problems) == 0, Problems: append([]strict.Problem{}, problems...)}
	err = a.print(result, func(w io.Writer) error {
		for _, p := range problems {
			fmt.Fprintf(w, "%s:%s\n", c.File, p)
		}
		if result.Valid {
			fmt.Fprintf(w, "%s: valid\n", c.File)
		}
		return nil
	})
	if err == nil && !result.Valid {
		err = errkind.New(errkind.Invalid, "correct each listed line", "%s has %d problem(s)", c.File, len(problems))
	}
	return err
}

// examineResult is the JSON output of check with --against, and of a check of an operator's record.
type examineResult struct {
	Valid    bool                  `json:"valid"`
	Format   configcheck.Format    `json:"format"`
	Against  string                `json:"against"` // empty if the file was not compared
	Findings []configcheck.Finding `json:"findings"`
}

// examine prints the findings of package configcheck. Differences alone are no error.
func (c *checkCommand) examine(a *app, data []byte) error {
	findings := configcheck.Check(data, configcheck.Options{Accelerators: c.Accelerators})
	result := examineResult{Format: configcheck.FormatOf(data)}
	if c.Against != "" {
		older, name, err := c.older(a)
		if err != nil {
			return err
		}
		result.Against = name
		differences, err := configcheck.Compare(older, data)
		if err != nil && !configcheck.IsFault(findings) { // a file that cannot be decoded has findings that say why
			return err
		}
		findings = append(findings, differences...)
		configcheck.Sort(findings)
	}
	result.Valid, result.Findings = !configcheck.IsFault(findings), append([]configcheck.Finding{}, findings...)
	err := a.print(result, func(w io.Writer) error {
		for _, f := range findings {
			fmt.Fprintf(w, "%s:%s\n", c.File, f)
		}
		if result.Valid {
			fmt.Fprintf(w, "%s: valid\n", c.File)
		}
		return nil
	})
	if err == nil && !result.Valid {
		faults := slices.DeleteFunc(slices.Clone(findings), func(f configcheck.Finding) bool { return f.Kind == configcheck.Differs })
		err = errkind.New(errkind.Invalid, "correct each listed line that is no difference", "%s has %d problem(s)", c.File, len(faults))
	}
	return err
}

// older returns the configuration to compare with and its name.
func (c *checkCommand) older(a *app) (data []byte, name string, err error) {
	number, err := strconv.ParseUint(c.Against, 10, 64)
	if err != nil {
		data, err = readFile(c.Against)
		return data, c.Against, err
	}
	body, err := a.version(number)
	return []byte(body.Text), fmt.Sprintf("version %d", body.Version), err
}

// publishCommand publishes a specification.
type publishCommand struct {
	File      string `arg:"" type:"path" help:"Specification to publish."`
	Base      int64  `default:"-1" help:"Version on which the text is based; 0 for the first text. The default is the current version, which overwrites changes that another operator has made since you read the text."`
	Author    string `default:"${author}" help:"Name of the operator who publishes."`
	PublishID string `help:"Identifier of this publish; use the same one to repeat a publish whose outcome is unknown. Random by default."`
}

// Run checks the file, publishes it and retries until the outcome is known or --timeout has passed.
func (c *publishCommand) Run(a *app) error {
	data, err := readFile(c.File)
	if err != nil {
		return err
	}
	if _, err := spec.Parse(data); err != nil {
		return err
	}
	ctx, cancel := a.withTimeout()
	defer cancel()
	defer a.progress("publishing")()
	request := configuration.PublishRequest{PublishID: c.PublishID, Author: c.Author, Text: string(data)}
	if request.PublishID == "" {
		request.PublishID = rand.Text()
	}
	request.BaseVersion, err = c.base(a)
	if err != nil {
		return err
	}
	var result configuration.PublishResult
	err = retry(ctx, func() error { return a.client.call(ctx, http.MethodPost, "/v1/config", request, &result) })
	if errkind.Is(err, errkind.Unknown) {
		return errkind.Wrap(err, errkind.Unknown, "repeat with --publish-id="+request.PublishID+" --base="+strconv.FormatUint(request.BaseVersion, 10),
			"the outcome of the publish is not known")
	}
	if err != nil && result.Result == "" {
		return err
	}
	printErr := a.print(result, func(w io.Writer) error {
		if result.Result == configuration.Accepted {
			fmt.Fprintf(w, "accepted as version %d\n", result.Version)
			return nil
		}
		_, err := fmt.Fprint(w, result.Difference)
		return err
	})
	if err != nil {
		return err
	}
	return printErr
}

// base returns the version on which the text is based.
func (c *publishCommand) base(a *app) (uint64, error) {
	if c.Base >= 0 {
		return uint64(c.Base), nil
	}
	ctx, cancel := a.withTimeout()
	defer cancel()
	var current api.ConfigBody
	err := retry(ctx, func() error { return a.client.call(ctx, http.MethodGet, "/v1/config", nil, &current) })
	return current.Version, err
}

// showCommand shows a version of the specification.
type showCommand struct {
	Version uint64 `help:"Version to show. The default is the current one."`
}

// Run prints the text of the version.
func (c *showCommand) Run(a *app) error {
	body, err := a.version(c.Version)
	if err != nil {
		return err
	}
	return a.print(body, func(w io.Writer) error {
		_, err := fmt.Fprint(w, body.Text)
		return err
	})
}

// version fetches a version of the specification; 0 stands for the current one.
func (a *app) version(number uint64) (api.ConfigBody, error) {
	ctx, cancel := a.withTimeout()
	defer cancel()
	path := "/v1/config"
	if number > 0 {
		path = "/v1/config/versions/" + strconv.FormatUint(number, 10)
	}
	var body api.ConfigBody
	err := a.client.call(ctx, http.MethodGet, path, nil, &body)
	return body, err
}

// historyCommand lists the latest publishes.
type historyCommand struct{}

// Run prints one publish per line.
func (*historyCommand) Run(a *app) error {
	ctx, cancel := a.withTimeout()
	defer cancel()
	var body api.HistoryBody
	if err := a.client.call(ctx, http.MethodGet, "/v1/config/history", nil, &body); err != nil {
		return err
	}
	return a.print(body, func(w io.Writer) error {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "VERSION\tRESULT\tBASE\tAUTHOR\tTIME\tPUBLISH ID")
		for _, e := range body.Entries {
			result := configuration.LostRace
			if e.Accepted {
				result = configuration.Accepted
			}
			fmt.Fprintf(table, "%d\t%s\t%d\t%s\t%s\t%s\n", e.Version, result, e.BaseVersion, e.Author, e.Time.Format(time.RFC3339), e.PublishID)
		}
		return table.Flush()
	})
}

// diffCommand compares two versions, or a version and a file.
type diffCommand struct {
	File string `arg:"" optional:"" type:"path" help:"File to compare with."`
	From uint64 `help:"Older version. The default is the current version when a file is given, and otherwise the one before --to."`
	To   uint64 `help:"Newer version; ignored when a file is given. The default is the current version."`
}

// diffResult is the JSON output of diff.
type diffResult struct {
	From       string `json:"from"`
	To         string `json:"to"`
	Difference string `json:"difference"`
}

// Run prints the difference in the unified format.
func (c *diffCommand) Run(a *app) error {
	older, newer, name, err := c.texts(a)
	if err != nil {
		return err
	}
	result := diffResult{From: fmt.Sprintf("version %d", older.Version), To: name}
	result.Difference = spec.Diff(result.From, older.Text, result.To, newer)
	return a.print(result, func(w io.Writer) error {
		_, err := fmt.Fprint(w, result.Difference)
		return err
	})
}

// texts returns the two texts to compare and the name of the newer one.
func (c *diffCommand) texts(a *app) (older api.ConfigBody, newer, name string, err error) {
	if c.File != "" {
		data, err := readFile(c.File)
		if err != nil {
			return older, "", "", err
		}
		older, err = a.version(c.From)
		return older, string(data), c.File, err
	}
	to, err := a.version(c.To)
	if err != nil {
		return older, "", "", err
	}
	from := c.From
	if from == 0 && to.Version > 1 {
		from = to.Version - 1
	}
	if from > 0 {
		older, err = a.version(from)
	}
	return older, to.Text, fmt.Sprintf("version %d", to.Version), err
}

// defaultAuthor returns the value of --author when it is not given: the user's login name.
func defaultAuthor() string {
	if user := os.Getenv("USER"); user != "" {
		return user
	}
	return "operator"
}
