package spec

import (
	"dogwoodnotch.example/dogwoodnotch/internal/spec/strict"
)

// Problem is one reason to refuse a text, with its place and remedy.
type Problem = strict.Problem

// MaxBytes bounds a text.
const MaxBytes = strict.MaxBytes

// Check decodes a text and returns every problem in it. The text is usable only when there is none.
func Check(data []byte) (*Text, []Problem) {
	text := &Text{}
	report := strict.Decode(data, text)
	if len(report.Problems()) == 0 {
		c := &checker{text: text, report: report}
		c.all()
	}
	return text, report.Problems()
}

// Parse decodes and checks a text. The error is of kind Invalid and has a *strict.Error with all problems in its chain.
func Parse(data []byte) (*Text, error) {
	text, problems := Check(data)
	if len(problems) > 0 {
		return nil, strict.AsError("the specification", problems)
	}
	return text, nil
}
