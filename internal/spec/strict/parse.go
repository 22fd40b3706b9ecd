package strict

import (
	"bytes"
	"errors"
	"fmt"
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// Limits of a document. They are checked before it is parsed because the parser is recursive and slow on long lists.
const (
	// MaxBytes is the largest size of a document.
	MaxBytes = 1 << 20
	// maxNesting bounds the open brackets, and the markers on one line that can nest. Valid documents have at most 7 levels.
	maxNesting = 32
	// maxStructuralChars bounds the number of structuralChars, because the parser's time grows with the square of the number
	// of entries: it takes 62 s for a list of 1 MiB and 4.9 s for one with 65,000 of these characters. A text with 390
	// customers has an estimated 20,000.
	maxStructuralChars = 40000
)

// structuralChars are the characters that separate or enclose entries and values.
const structuralChars = ",:[]{}\"'\n"

// remedyYAML is the remedy for a file that is not one YAML document.
const remedyYAML = "correct the YAML; the file must be one YAML document"

// tokenError is implemented by the parser's errors that have a position.
type tokenError interface {
	GetToken() *token.Token
	GetMessage() string
}

// parse returns the root of the document, or reports a problem and returns nil.
func parse(data []byte, r *Report) (root ast.Node) {
	start := position{line: 1, column: 1}
	defer func() {
		if cause := recover(); cause != nil { // a panic in the parser must not end the daemon
			r.addAt(start, "", remedyYAML, "not valid YAML: %v", cause)
			root = nil
		}
	}()
	if len(data) > MaxBytes {
		r.addAt(start, "", "shorten the file", "the file has %d bytes; at most %d are allowed", len(data), MaxBytes)
		return nil
	}
	if line, valid := invalidLine(data); !valid {
		r.addAt(position{line: line, column: 1}, "", "save the file as UTF-8", "the line is not valid UTF-8")
		return nil
	}
	if count := countStructuralChars(data); count > maxStructuralChars {
		r.addAt(start, "", "shorten the file", "the file has %d line ends, quotes, brackets, commas and colons; at most %d are allowed", count, maxStructuralChars)
		return nil
	}
	tokens := lexer.Tokenize(string(data))
	if at, excessive := findExcessNesting(tokens); excessive {
		r.addAt(at, "", "remove the nesting", "more than %d levels of nesting", maxNesting)
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		at, message := start, err.Error()
		var located tokenError
		if errors.As(err, &located) {
			at, message = at.fromToken(located.GetToken()), located.GetMessage()
		}
		r.addAt(at, "", remedyYAML, "not valid YAML: %s", message)
		return nil
	}
	return singleDocument(file, r)
}

// singleDocument returns the root of the only document in the file, or reports a problem and returns nil.
func singleDocument(file *ast.File, r *Report) ast.Node {
	var bodies []ast.Node
	for _, document := range file.Docs {
		if document.Body != nil {
			bodies = append(bodies, document.Body)
		}
	}
	if len(bodies) == 0 {
		r.addAt(position{line: 1, column: 1}, "", remedyYAML, "the file is empty")
		return nil
	}
	if len(bodies) > 1 {
		r.addAt(positionOf(bodies[1]), "", remedyYAML, "the file has %d documents", len(bodies))
		return nil
	}
	return bodies[0]
}

func countStructuralChars(data []byte) int {
	count := 0
	for _, char := range []byte(structuralChars) {
		count += bytes.Count(data, []byte{char})
	}
	return count
}

// invalidLine returns the line of the first byte that is not valid UTF-8, and whether all of data is valid.
func invalidLine(data []byte) (int, bool) {
	line := 1
	for len(data) > 0 {
		char, size := utf8.DecodeRune(data)
		if char == utf8.RuneError && size <= 1 {
			return line, false
		}
		if char == '\n' {
			line++
		}
		data = data[size:]
	}
	return line, true
}

// findExcessNesting returns the position of the token that opens a level beyond maxNesting, with brackets or with repeated
// markers on one line. Nesting by indentation needs no limit, because its depth grows only with the square root of the
// document's size.
func findExcessNesting(tokens token.Tokens) (position, bool) {
	brackets, line, markers := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, markers = t.Position.Line, 0
		}
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			brackets++
		case token.MappingEndType, token.SequenceEndType:
			brackets = max(0, brackets-1)
		case token.SequenceEntryType, token.MappingKeyType, token.AnchorType, token.TagType, token.AliasType:
			markers++
		case token.MappingValueType:
			if brackets == 0 {
				markers++
			}
		}
		if brackets > maxNesting || markers > maxNesting {
			return position{}.fromToken(t), true
		}
	}
	return position{}, false
}

// positionOf returns the position of a node. Mappings in block style start at their first key.
func positionOf(node ast.Node) position {
	if mapping, ok := node.(*ast.MappingNode); ok && !mapping.IsFlowStyle && len(mapping.Values) > 0 {
		return positionOf(mapping.Values[0].Key)
	}
	if value, ok := node.(*ast.MappingValueNode); ok {
		return positionOf(value.Key)
	}
	return position{line: 1, column: 1}.fromToken(node.GetToken())
}

// fromToken returns the token's position, or p when the token has none.
func (p position) fromToken(t *token.Token) position {
	if t == nil || t.Position == nil {
		return p
	}
	return position{line: t.Position.Line, column: t.Position.Column}
}

func indexPath(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
