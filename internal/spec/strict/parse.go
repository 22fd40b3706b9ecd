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

// Bounds of a document, checked before it is parsed. The parser is recursive, so nesting must be bounded first.
const (
	// MaxBytes bounds a document.
	MaxBytes = 1 << 20
	// maxNesting bounds open brackets, and markers of one line that can nest. The deepest valid document nests 7 deep.
	maxNesting = 32
	// maxMarks bounds line ends and the characters of markChars. The parser's time grows with the square of the number of
	// entries: a list of 1 MiB took 62 s, one of 65,000 marks 4.9 s. A text with 390 customers is estimated at 20,000.
	maxMarks = 40000
)

const markChars = ",:[]{}\"'\n"

const remedyYAML = "correct the YAML; the file must be one YAML document"

type tokenError interface {
	GetToken() *token.Token
	GetMessage() string
}

// parse returns the root of the document, or nil after it has reported why there is none.
func parse(data []byte, r *Report) (root ast.Node) {
	start := position{line: 1, column: 1}
	defer func() {
		if cause := recover(); cause != nil { // a fault of the parser must not end the daemon
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
	if marks := countMarks(data); marks > maxMarks {
		r.addAt(start, "", "shorten the file", "the file has %d line ends, quotes, brackets, commas and colons; at most %d are allowed", marks, maxMarks)
		return nil
	}
	tokens := lexer.Tokenize(string(data))
	if at, nested := tooNested(tokens); nested {
		r.addAt(at, "", "remove the nesting", "more than %d levels of nesting", maxNesting)
		return nil
	}
	file, err := parser.Parse(tokens, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		at, message := start, err.Error()
		var located tokenError
		if errors.As(err, &located) {
			at, message = at.of(located.GetToken()), located.GetMessage()
		}
		r.addAt(at, "", remedyYAML, "not valid YAML: %s", message)
		return nil
	}
	return onlyDocument(file, r)
}

func onlyDocument(file *ast.File, r *Report) ast.Node {
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

func countMarks(data []byte) int {
	marks := 0
	for _, char := range []byte(markChars) {
		marks += bytes.Count(data, []byte{char})
	}
	return marks
}

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

// tooNested finds the token that opens a level beyond maxNesting, by brackets or by markers repeated on one line.
// Nesting by indentation needs no check: its depth grows with the square root of the size only.
func tooNested(tokens token.Tokens) (position, bool) {
	open, line, markers := 0, 0, 0
	for _, t := range tokens {
		if t.Position.Line != line {
			line, markers = t.Position.Line, 0
		}
		switch t.Type {
		case token.MappingStartType, token.SequenceStartType:
			open++
		case token.MappingEndType, token.SequenceEndType:
			open = max(0, open-1)
		case token.SequenceEntryType, token.MappingKeyType, token.AnchorType, token.TagType, token.AliasType:
			markers++
		case token.MappingValueType:
			if open == 0 {
				markers++
			}
		}
		if open > maxNesting || markers > maxNesting {
			return position{}.of(t), true
		}
	}
	return position{}, false
}

func positionOf(node ast.Node) position {
	if mapping, ok := node.(*ast.MappingNode); ok && !mapping.IsFlowStyle && len(mapping.Values) > 0 {
		return positionOf(mapping.Values[0].Key)
	}
	if value, ok := node.(*ast.MappingValueNode); ok {
		return positionOf(value.Key)
	}
	return position{line: 1, column: 1}.of(node.GetToken())
}

// of returns the token's position, or p when the token has none.
func (p position) of(t *token.Token) position {
	if t == nil || t.Position == nil {
		return p
	}
	return position{line: t.Position.Line, column: t.Position.Column}
}

func index(path string, i int) string { return fmt.Sprintf("%s[%d]", path, i) }

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
