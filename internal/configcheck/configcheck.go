// Package configcheck examines a configuration before it is sent. Beyond errors it finds entries that can never match, limits that contradict
// each other, and differences from another version. It knows both forms of configuration: the text that operators publish (package spec),
// and the record that the operator of a platform writes to the log (package platform). It uses no network.
package configcheck

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/spec"
)

// Kind classifies a finding.
type Kind string

// Kinds of findings. All but Differs are faults.
const (
	Error        Kind = "error"         // instances refuse or ignore the configuration
	NeverMatches Kind = "never matches" // an entry that has no effect
	Contradicts  Kind = "contradicts"   // entries that cannot all be kept
	Differs      Kind = "differs"       // a difference from the other version
)

// Finding is one result of the check.
type Finding struct {
	Kind    Kind   `json:"kind"`
	Line    int    `json:"line"`   // from 1; of the entry that would hold it for what was removed
	Column  int    `json:"column"` // from 1
	Path    string `json:"path"`   // such as routes[plans].timeout_ms; empty for the whole document
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the finding as line:column: kind: path: message (remedy).
func (f Finding) String() string {
	where := fmt.Sprintf("%d:%d: %s: ", f.Line, f.Column, f.Kind)
	if f.Path != "" {
		where += f.Path + ": "
	}
	return where + f.Message + " (" + f.Remedy + ")"
}

// Format is a form of configuration.
type Format string

// Forms of configuration.
const (
	Text   Format = "text"   // YAML, published with dogwoodnotch publish
	Record Format = "record" // JSON, written to the platform's log
)

// Options are facts that a configuration does not hold itself.
type Options struct {
	Accelerators int64 // accelerators of the fleet, against which a record's guarantees are checked; 0 if unknown
}

// FormatOf returns the form of a configuration. A record is a JSON object, and a text begins with a key or a comment.
func FormatOf(data []byte) Format {
	if bytes.HasPrefix(bytes.TrimSpace(data), []byte("{")) {
		return Record
	}
	return Text
}

// Check returns the faults of a configuration in the order of their positions.
func Check(data []byte, options Options) []Finding {
	r := &report{}
	if FormatOf(data) == Record {
		checkRecord(r, data, options)
	} else {
		checkText(r, data)
	}
	Sort(r.findings)
	return r.findings
}

// Compare returns the differences of a configuration from an earlier version, in the order of their positions in the newer one. Its error
// has the kind Invalid.
func Compare(older, newer []byte) ([]Finding, error) {
	if from, to := FormatOf(older), FormatOf(newer); from != to {
		return nil, errkind.New(errkind.Invalid, "compare two configurations of one form", "the configurations have different forms: %s and %s", from, to)
	}
	from, err := parse(older)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "give a version that can be decoded", "cannot decode the version to compare with")
	}
	to, err := parse(newer)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Invalid, "correct the file", "cannot decode the file")
	}
	r := &report{root: to}
	r.compare("", from, to)
	if FormatOf(newer) == Record {
		r.checkVersion(from, to)
	}
	Sort(r.findings)
	return r.findings, nil
}

// IsFault reports whether any finding is more than a difference.
func IsFault(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Kind != Differs })
}

// report collects findings.
type report struct {
	root     *value
	findings []Finding
}

// add adds a finding at a path such as routes[0].timeout_ms, or at its nearest parent in the document.
func (r *report) add(kind Kind, path, remedy, format string, args ...any) {
	r.addAt(kind, r.root.at(path), path, remedy, format, args...)
}

func (r *report) addAt(kind Kind, at position, path, remedy, format string, args ...any) {
	f := Finding{Kind: kind, Line: at.line, Column: at.column, Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	r.findings = append(r.findings, f)
}

// Sort puts findings in the order of their positions.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}

// checkText checks a text.
func checkText(r *report, data []byte) {
	text, problems := spec.Check(data)
	for _, p := range problems {
		r.findings = append(r.findings, Finding{Kind: Error, Line: p.Line, Column: p.Column, Path: p.Path, Message: p.Message, Remedy: p.Remedy})
	}
	if len(problems) > 0 {
		return // what depends on wrong values would be found as well
	}
	root, err := parse(data)
	if err != nil {
		r.addAt(Error, position{1, 1}, "", "report this fault", "cannot parse the text: %v", err)
		return
	}
	r.root = root
	for i, customer := range text.Customers {
		path := fmt.Sprintf("customers[%d]", i)
		if len(customer.TokenSHA256) == 0 {
			r.add(NeverMatches, path+".token_sha256", "add the digest of a token, or remove the customer", "nobody can act for customer %q, which has no token", customer.Name)
		}
		r.checkTasksWithinQuota(path, customer, text.Services)
	}
	for i, kind := range text.JobKinds {
		if largest, bounded := largestQuota(text.Customers); bounded && kind.MaxAccelerators > largest {
			r.add(Contradicts, fmt.Sprintf("job_kinds[%d].max_accelerators", i), "raise a quota or lower the value",
				"a job may have %d accelerators, but no customer's quota is above %d", kind.MaxAccelerators, largest)
		}
	}
}

// checkTasksWithinQuota compares the tasks that services keep running for a customer with its quota in each data centre.
func (r *report) checkTasksWithinQuota(path string, customer spec.Customer, services []spec.Service) {
	if customer.Quota.Accelerators == 0 {
		return
	}
	used := map[string]int{}
	for _, service := range services {
		for _, task := range service.Tasks {
			if task.Customer != customer.Name {
				continue
			}
			for _, centre := range task.DataCentres {
				used[string(centre)] += task.Count * task.Accelerators
			}
		}
	}
	for _, centre := range sortedKeys(used) {
		if used[centre] > customer.Quota.Accelerators {
			r.add(Contradicts, path+".quota.accelerators", "raise the quota or lower the tasks",
				"the services' tasks need %d accelerators in %s, above the quota of %d", used[centre], centre, customer.Quota.Accelerators)
		}
	}
}

// largestQuota returns the largest quota of the customers, and whether all of them have one.
func largestQuota(customers []spec.Customer) (largest int, bounded bool) {
	for _, c := range customers {
		if c.Quota.Accelerators == 0 {
			return 0, false
		}
		largest = max(largest, c.Quota.Accelerators)
	}
	return largest, len(customers) > 0
}
