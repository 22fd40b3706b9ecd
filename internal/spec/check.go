package spec

import "dogwoodnotch.example/dogwoodnotch/internal/spec/strict"

type checker struct {
	text   *Text
	report *strict.Report
}

func (c *checker) all() {
	if c.text.Deployment == "" {
		c.report.Add("deployment", "name the deployment", "the key is missing")
	}
}
