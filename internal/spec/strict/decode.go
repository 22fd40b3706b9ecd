package strict

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

var (
	durationType = reflect.TypeFor[time.Duration]()
	timeType     = reflect.TypeFor[time.Time]()
)

// Decode decodes data into target, a pointer to a struct with yaml tags. The report lists every fault of the YAML, unknown
// and duplicate keys, and values of the wrong type. The caller's own checks of the values can add to the same report.
func Decode(data []byte, target any) *Report {
	r := &Report{positions: make(map[string]position)}
	if root := parse(data, r); root != nil {
		r.decodeValue(root, "", reflect.ValueOf(target).Elem())
	}
	return r
}

func (r *Report) decodeValue(node ast.Node, path string, target reflect.Value) {
	at := positionOf(node)
	if _, known := r.positions[path]; !known {
		r.positions[path] = at
	}
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		r.addAt(at, path, "write the value out in full", "anchors, aliases, merge keys and tags are not allowed")
		return
	case *ast.NullNode:
		r.addAt(at, path, "give a value or remove the key", "the value is empty")
		return
	}
	switch {
	case target.Type() == durationType:
		r.decodeDuration(node, path, target)
	case target.Type() == timeType:
		r.decodeTime(node, path, target)
	case target.Kind() == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		r.decodeValue(node, path, target.Elem())
	case target.Kind() == reflect.Struct:
		r.decodeMapping(node, path, target)
	case target.Kind() == reflect.Slice:
		r.decodeSequence(node, path, target)
	default:
		r.decodeScalar(node, path, target)
	}
}

func (r *Report) decodeMapping(node ast.Node, path string, target reflect.Value) {
	pairs, isMapping := pairsOf(node)
	if !isMapping {
		r.wrongType(node, path, "a mapping of keys to values")
		return
	}
	seen := make(map[string]bool, len(pairs))
	for _, pair := range pairs {
		r.decodePair(pair, path, target, seen)
	}
}

// decodePair decodes one key and its value into the field of target with that key. seen holds the keys of the mapping so far.
func (r *Report) decodePair(pair *ast.MappingValueNode, path string, target reflect.Value, seen map[string]bool) {
	at := positionOf(pair.Key)
	name, isString := pair.Key.(*ast.StringNode)
	if !isString {
		r.addAt(at, path, "use a plain word as the key", "the key %.40q is not a string", pair.Key.String())
		return
	}
	keyPath := joinPath(path, name.Value)
	field, known := fieldOf(target, name.Value)
	if !known {
		r.addAt(at, keyPath, "remove it, or use one of: "+strings.Join(keysOf(target.Type()), ", "), "unknown key %.40q", name.Value)
		return
	}
	if seen[name.Value] {
		r.addAt(at, keyPath, "keep one of the two", "key %q occurs twice in the same mapping", name.Value)
		return
	}
	seen[name.Value] = true
	r.positions[keyPath] = at
	if pair.Value == nil {
		r.addAt(at, keyPath, "give a value or remove the key", "the value is empty")
		return
	}
	r.decodeValue(pair.Value, keyPath, field)
}

func (r *Report) decodeSequence(node ast.Node, path string, target reflect.Value) {
	list, isSequence := node.(*ast.SequenceNode)
	if !isSequence {
		r.wrongType(node, path, "a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		if item == nil {
			r.addAt(positionOf(list), indexPath(path, i), "give a value or remove the entry", "the entry is empty")
			continue
		}
		r.decodeValue(item, indexPath(path, i), target.Index(i))
	}
}

func (r *Report) decodeScalar(node ast.Node, path string, target reflect.Value) {
	switch target.Kind() {
	case reflect.String:
		text, isString := textOf(node)
		if !isString {
			r.wrongType(node, path, "a string (put the value in quotes)")
			return
		}
		target.SetString(text)
	case reflect.Bool:
		value, isBool := node.(*ast.BoolNode)
		if !isBool {
			r.wrongType(node, path, "true or false")
			return
		}
		target.SetBool(value.Value)
	case reflect.Int:
		value, isInteger := integerOf(node)
		if !isInteger {
			r.wrongType(node, path, "a whole number")
			return
		}
		target.SetInt(value)
	case reflect.Float64:
		value, isNumber := numberOf(node)
		if !isNumber {
			r.wrongType(node, path, "a number")
			return
		}
		target.SetFloat(value)
	default:
		panic(fmt.Sprintf("strict: unsupported kind %s at %s", target.Kind(), path))
	}
}

func (r *Report) decodeDuration(node ast.Node, path string, target reflect.Value) {
	const want = "a duration with a unit, such as 250ms, 5s or 6h"
	text, isString := textOf(node)
	if !isString {
		r.wrongType(node, path, want)
		return
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		r.wrongType(node, path, want)
		return
	}
	target.SetInt(int64(value))
}

func (r *Report) decodeTime(node ast.Node, path string, target reflect.Value) {
	const want = "a time such as 2026-01-31T12:00:00Z"
	text, isString := textOf(node)
	if !isString {
		r.wrongType(node, path, want)
		return
	}
	value, err := time.Parse(time.RFC3339, text)
	if err != nil {
		r.wrongType(node, path, want)
		return
	}
	target.Set(reflect.ValueOf(value))
}

func (r *Report) wrongType(node ast.Node, path, want string) {
	r.addAt(positionOf(node), path, "write "+want, "wrong type of value: %s", describeType(node))
}

func describeType(node ast.Node) string {
	switch node.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	case *ast.StringNode, *ast.LiteralNode:
		return "a string of another form"
	case *ast.IntegerNode:
		return "a whole number"
	case *ast.BoolNode:
		return "true or false"
	default:
		return "a number of another form"
	}
}

// pairsOf returns the pairs of a mapping. The parser represents a mapping of one pair by that pair alone.
func pairsOf(node ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	default:
		return nil, false
	}
}

func textOf(node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		return n.Value.Value, true
	default:
		return "", false
	}
}

func integerOf(node ast.Node) (int64, bool) {
	integer, isInteger := node.(*ast.IntegerNode)
	if !isInteger {
		return 0, false
	}
	switch v := integer.Value.(type) {
	case int64:
		return v, true
	case uint64:
		return int64(v), v <= math.MaxInt64
	default:
		return 0, false
	}
}

func numberOf(node ast.Node) (float64, bool) {
	if float, isFloat := node.(*ast.FloatNode); isFloat {
		return float.Value, !math.IsNaN(float.Value) && !math.IsInf(float.Value, 0)
	}
	integer, isInteger := integerOf(node)
	return float64(integer), isInteger
}

// fieldOf returns the field of the struct target whose yaml tag is key.
func fieldOf(target reflect.Value, key string) (reflect.Value, bool) {
	for i := range target.NumField() {
		if key != "-" && target.Type().Field(i).Tag.Get("yaml") == key {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// keysOf returns the yaml tags of a struct's fields.
func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if key := t.Field(i).Tag.Get("yaml"); key != "" && key != "-" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
