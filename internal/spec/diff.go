package spec

import (
	"github.com/pmezard/go-difflib/difflib"
)

const diffContext = 3 // unchanged lines around a change, as in diff -u

// Diff returns the difference between two texts in the unified format, empty when they are equal.
func Diff(fromName, from, toName, to string) string {
	if from == to {
		return ""
	}
	unified := difflib.UnifiedDiff{
		A:        difflib.SplitLines(from),
		B:        difflib.SplitLines(to),
		FromFile: fromName,
		ToFile:   toName,
		Context:  diffContext,
	}
	text, err := difflib.GetUnifiedDiffString(unified)
	if err != nil { // cannot happen: it writes to memory
		return err.Error()
	}
	return text
}
