package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"dogwoodnotch.example/dogwoodnotch/internal/spec/strict"
)

type position struct{ line, column int }

// value is a decoded value with its position.
type value struct {
	position
	members []member // of a mapping
	items   []*value // of a list
	scalar  string   // of any other value
	kind    kind
}

// member is a key of a mapping with its value.
type member struct {
	position
	key   string
	value *value
}

type kind int

const (
	scalar kind = iota
	mapping
	list
)

func (v *value) member(key string) *value {
	if v == nil {
		return nil
	}
	for i := len(v.members) - 1; i >= 0; i-- { // the last one counts, as in instances
		if strings.EqualFold(v.members[i].key, key) {
			return v.members[i].value
		}
	}
	return nil
}

// at returns the position of the value at a path, or of its nearest parent.
func (v *value) at(path string) position {
	at := position{1, 1}
	for _, part := range strings.FieldsFunc(path, func(c rune) bool { return c == '.' || c == '[' || c == ']' }) {
		var next *value
		if i, err := strconv.Atoi(part); err == nil && v.kind == list {
			if i < len(v.items) {
				next = v.items[i]
			}
		} else {
			next = v.member(part)
		}
		if next == nil {
			return at
		}
		v, at = next, next.position
	}
	return at
}

// parse returns the tree of a configuration.
func parse(data []byte) (*value, error) {
	if FormatOf(data) == Record {
		return parseJSON(data)
	}
	root, problems := strict.Tree(data)
	if err := strict.AsError("the text", problems); err != nil {
		return nil, err
	}
	return fromYAML(root), nil
}

// parseJSON returns the tree of a JSON document.
func parseJSON(data []byte) (*value, error) {
	var document json.RawMessage
	if err := json.Unmarshal(data, &document); err != nil { // also limits the nesting
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	p := &jsonParser{data: data, decoder: d, line: 1}
	return p.value()
}

type jsonParser struct {
	data    []byte
	decoder *json.Decoder

	offset, line, lineStart int // how far positions are known, and the line there
}

// next returns the next token and its position.
func (p *jsonParser) next() (json.Token, position, error) {
	start := int(p.decoder.InputOffset())
	for start < len(p.data) && strings.IndexByte(" \t\r\n:,", p.data[start]) >= 0 {
		start++
	}
	for ; p.offset < start; p.offset++ {
		if p.data[p.offset] == '\n' {
			p.line, p.lineStart = p.line+1, p.offset+1
		}
	}
	token, err := p.decoder.Token()
	return token, position{p.line, start - p.lineStart + 1}, err
}

func (p *jsonParser) value() (*value, error) {
	token, at, err := p.next()
	if err != nil {
		return nil, err
	}
	v := &value{position: at}
	switch token {
	case json.Delim('{'):
		v.kind = mapping
		for p.decoder.More() {
			key, keyAt, err := p.next()
			if err != nil {
				return nil, err
			}
			name, isString := key.(string)
			if !isString {
				return nil, errors.New("a key is not a string")
			}
			content, err := p.value()
			if err != nil {
				return nil, err
			}
			v.members = append(v.members, member{keyAt, name, content})
		}
		_, _, err = p.next()
	case json.Delim('['):
		v.kind = list
		for p.decoder.More() {
			item, err := p.value()
			if err != nil {
				return nil, err
			}
			v.items = append(v.items, item)
		}
		_, _, err = p.next()
	default:
		v.scalar = fmt.Sprint(token)
	}
	return v, err
}

// positionIn returns the line and column of an offset.
func positionIn(data []byte, offset int) position {
	before := data[:min(max(offset, 0), len(data))]
	return position{1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')}
}

// fromYAML returns the tree of a YAML document.
func fromYAML(node ast.Node) *value {
	if node == nil { // a key without a value
		return &value{position: position{1, 1}}
	}
	v := &value{}
	v.line, v.column = strict.PositionOf(node)
	switch n := node.(type) {
	case *ast.MappingNode:
		v.kind = mapping
		for _, pair := range n.Values {
			v.members = append(v.members, memberFromYAML(pair))
		}
	case *ast.MappingValueNode: // the parser represents a mapping of one pair by that pair alone
		v.kind = mapping
		v.members = []member{memberFromYAML(n)}
	case *ast.SequenceNode:
		v.kind = list
		for _, item := range n.Values {
			v.items = append(v.items, fromYAML(item))
		}
	case *ast.StringNode:
		v.scalar = n.Value
	case *ast.LiteralNode:
		v.scalar = n.Value.Value
	default:
		v.scalar = n.GetToken().Value
	}
	return v
}

func memberFromYAML(pair *ast.MappingValueNode) member {
	m := member{key: pair.Key.GetToken().Value, value: fromYAML(pair.Value)}
	m.line, m.column = strict.PositionOf(pair.Key)
	return m
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
