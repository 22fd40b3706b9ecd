package spec

import (
	"dogwoodnotch.example/dogwoodnotch/internal/spec/strict"
)

// Problem is a fault of a text, with its position and remedy.
type Problem = strict.Problem

// MaxBytes is the largest size of a text.
const MaxBytes = strict.MaxBytes

// Check decodes a text and returns every problem in it. The text may be used only when there is none.
func Check(data []byte) (*Text, []Problem) {
	text := &Text{}
	report := strict.Decode(data, text)
	if len(report.Problems()) == 0 {
		c := &checker{text: text, report: report}
		c.checkAll()
	}
	return text, report.Problems()
}

// Parse decodes and checks a text. Its error has the kind Invalid, with a *strict.Error that lists all problems in its chain.
func Parse(data []byte) (*Text, error) {
	text, problems := Check(data)
	if len(problems) > 0 {
		return nil, strict.AsError("the specification", problems)
	}
	return text, nil
}
