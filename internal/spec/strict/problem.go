// Package strict decodes one YAML document into a struct and reports every problem with its line and column.
//
// The strict decoding of goccy/go-yaml stops at the first error, so this package walks the syntax tree itself. It refuses
// anchors, aliases, merge keys and tags, because an alias can expand to far more than the size limit.
package strict

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
)

// maxProblems bounds the problems of a report, and with them the size of an error answer.
const maxProblems = 200

// Problem is a fault of a document.
type Problem struct {
	Line    int    `json:"line"`   // from 1
	Column  int    `json:"column"` // from 1
	Path    string `json:"path"`   // path of the value, such as customers[0].guarantees[1].size; empty for the whole document
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String returns the problem as line:column: path: message (remedy).
func (p Problem) String() string {
	where := fmt.Sprintf("%d:%d: ", p.Line, p.Column)
	if p.Path != "" {
		where += p.Path + ": "
	}
	return where + p.Message + " (" + p.Remedy + ")"
}

// Error is the error for an invalid document. It lists all problems.
type Error struct{ Problems []Problem }

// Error returns the problems, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// AsError returns nil when there are no problems, and otherwise an error of kind Invalid with an *Error in its chain. what
// names the document in the message.
func AsError(what string, problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return errkind.Wrap(&Error{Problems: problems}, errkind.Invalid, "correct each listed line", "%s has %d problem(s)", what, len(problems))
}

// Report collects the problems of a decoded document and knows the position of each of its values.
type Report struct {
	positions map[string]position // by path
	problems  []Problem
}

type position struct{ line, column int }

// Add reports a problem at path. When the document has no value there, the position is that of the nearest parent.
func (r *Report) Add(path, remedy, format string, args ...any) {
	r.addAt(r.positionAt(path), path, remedy, format, args...)
}

func (r *Report) addAt(at position, path, remedy, format string, args ...any) {
	if len(r.problems) >= maxProblems {
		return
	}
	problem := Problem{Line: at.line, Column: at.column, Path: path, Message: fmt.Sprintf(format, args...), Remedy: remedy}
	r.problems = append(r.problems, problem)
}

// Present reports whether the document has a value at path.
func (r *Report) Present(path string) bool {
	_, found := r.positions[path]
	return found
}

// Problems returns the reported problems in the order of their positions.
func (r *Report) Problems() []Problem {
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return r.problems
}

// positionAt returns the position of the value at path, or of its nearest parent in the document.
func (r *Report) positionAt(path string) position {
	for path != "" {
		if at, found := r.positions[path]; found {
			return at
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return position{line: 1, column: 1}
}
