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

// Decode fills into, a pointer to a struct with yaml tags, and returns the report with every problem of form: unknown
// and duplicate keys, and values of the wrong type. Checks of the meaning add to the same report.
func Decode(data []byte, into any) *Report {
	r := &Report{positions: make(map[string]position)}
	if root := parse(data, r); root != nil {
		r.value(root, "", reflect.ValueOf(into).Elem())
	}
	return r
}

func (r *Report) value(node ast.Node, path string, into reflect.Value) {
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
	case into.Type() == durationType:
		r.duration(node, path, into)
	case into.Type() == timeType:
		r.time(node, path, into)
	case into.Kind() == reflect.Pointer:
		into.Set(reflect.New(into.Type().Elem()))
		r.value(node, path, into.Elem())
	case into.Kind() == reflect.Struct:
		r.mapping(node, path, into)
	case into.Kind() == reflect.Slice:
		r.sequence(node, path, into)
	default:
		r.scalar(node, path, into)
	}
}

func (r *Report) mapping(node ast.Node, path string, into reflect.Value) {
	pairs, isMapping := pairsOf(node)
	if !isMapping {
		r.wrongType(node, path, "a mapping of keys to values")
		return
	}
	seen := make(map[string]bool, len(pairs))
	for _, pair := range pairs {
		r.pair(pair, path, into, seen)
	}
}

func (r *Report) pair(pair *ast.MappingValueNode, path string, into reflect.Value, seen map[string]bool) {
	at := positionOf(pair.Key)
	name, isString := pair.Key.(*ast.StringNode)
	if !isString {
		r.addAt(at, path, "use a plain word as the key", "the key %.40q is not a string", pair.Key.String())
		return
	}
	keyPath := join(path, name.Value)
	field, known := fieldOf(into, name.Value)
	if !known {
		r.addAt(at, keyPath, "remove it, or use one of: "+strings.Join(keysOf(into.Type()), ", "), "unknown key %.40q", name.Value)
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
	r.value(pair.Value, keyPath, field)
}

func (r *Report) sequence(node ast.Node, path string, into reflect.Value) {
	list, isSequence := node.(*ast.SequenceNode)
	if !isSequence {
		r.wrongType(node, path, "a list")
		return
	}
	into.Set(reflect.MakeSlice(into.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		if item == nil {
			r.addAt(positionOf(list), index(path, i), "give a value or remove the entry", "the entry is empty")
			continue
		}
		r.value(item, index(path, i), into.Index(i))
	}
}

func (r *Report) scalar(node ast.Node, path string, into reflect.Value) {
	switch into.Kind() {
	case reflect.String:
		text, isString := textOf(node)
		if !isString {
			r.wrongType(node, path, "a string (put the value in quotes)")
			return
		}
		into.SetString(text)
	case reflect.Bool:
		value, isBool := node.(*ast.BoolNode)
		if !isBool {
			r.wrongType(node, path, "true or false")
			return
		}
		into.SetBool(value.Value)
	case reflect.Int:
		value, isInteger := integerOf(node)
		if !isInteger {
			r.wrongType(node, path, "a whole number")
			return
		}
		into.SetInt(value)
	case reflect.Float64:
		value, isNumber := numberOf(node)
		if !isNumber {
			r.wrongType(node, path, "a number")
			return
		}
		into.SetFloat(value)
	default:
		panic(fmt.Sprintf("strict: unsupported kind %s at %s", into.Kind(), path))
	}
}

func (r *Report) duration(node ast.Node, path string, into reflect.Value) {
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
	into.SetInt(int64(value))
}

func (r *Report) time(node ast.Node, path string, into reflect.Value) {
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
	into.Set(reflect.ValueOf(value))
}

func (r *Report) wrongType(node ast.Node, path, want string) {
	r.addAt(positionOf(node), path, "write "+want, "wrong type of value: %s", kindOf(node))
}

func kindOf(node ast.Node) string {
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
		return "a truth value"
	default:
		return "a number of another form"
	}
}

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

func fieldOf(into reflect.Value, key string) (reflect.Value, bool) {
	for i := range into.NumField() {
		if key != "-" && into.Type().Field(i).Tag.Get("yaml") == key {
			return into.Field(i), true
		}
	}
	return reflect.Value{}, false
}

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
