package strict

import "github.com/goccy/go-yaml/ast"

// Tree returns the syntax tree of one YAML document, or the problems for which there is none. Anchors, aliases, merge keys and tags are
// not refused, since only Decode does that.
func Tree(data []byte) (ast.Node, []Problem) {
	r := &Report{positions: map[string]position{}}
	root := parse(data, r)
	return root, r.Problems()
}

// PositionOf returns the line and column of a node, from 1.
func PositionOf(node ast.Node) (line, column int) {
	at := positionOf(node)
	return at.line, at.column
}
