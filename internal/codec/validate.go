package codec

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// MaxDepth is how deep containers may nest. The library's decoder recurses, and some megabytes of nested arrays would overflow its stack.
const MaxDepth = 32

// Reasons for which data is not decoded.
var (
	ErrMalformed = errors.New("the data is not one well-formed msgpack value")
	ErrTooDeep   = errors.New("the data is nested too deeply")
)

// validate checks, without recursion and without allocating, that data is exactly one msgpack value whose containers
// are complete and nest at most MaxDepth deep. After that it is safe for the decoder to allocate by announced lengths.
func validate(data []byte) error {
	var missing [MaxDepth + 1]uint64 // values still missing at each depth
	missing[0] = 1
	depth := 0
	offset := 0
	for {
		for missing[depth] == 0 && depth > 0 {
			depth--
		}
		if missing[depth] == 0 {
			break
		}
		missing[depth]--
		size, children, ok := measureValue(data[offset:])
		if !ok || size > uint64(len(data)-offset) {
			return ErrMalformed
		}
		offset += int(size)
		if children == 0 {
			continue
		}
		if children > uint64(len(data)-offset) {
			return ErrMalformed
		}
		if depth == MaxDepth {
			return ErrTooDeep
		}
		depth++
		missing[depth] = children
	}
	if offset != len(data) {
		return ErrMalformed
	}
	return nil
}

// measureValue returns the size in bytes of the value at the start of data, without the children of a container, and
// the number of these children. ok is false if data does not start with a complete value header.
func measureValue(data []byte) (size, children uint64, ok bool) {
	if len(data) == 0 {
		return 0, 0, false
	}
	code := data[0]
	switch {
	case msgpcode.IsFixedNum(code):
		return 1, 0, true
	case msgpcode.IsFixedMap(code):
		return 1, 2 * uint64(code&msgpcode.FixedMapMask), true
	case msgpcode.IsFixedArray(code):
		return 1, uint64(code & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedString(code):
		return 1 + uint64(code&msgpcode.FixedStrMask), 0, true
	}
	layout, known := layouts[code]
	if !known {
		return 0, 0, false
	}
	if len(data) < 1+layout.lengthBytes {
		return 0, 0, false
	}
	length := bigEndian(data[1 : 1+layout.lengthBytes])
	return uint64(1+layout.lengthBytes+layout.extra) + length*layout.perLength, length * layout.children, true
}

// layout describes the values that start with one msgpack code.
type layout struct {
	lengthBytes int    // size of the length field that follows the code
	extra       int    // number of fixed bytes after the length field
	perLength   uint64 // bytes for each unit of the length
	children    uint64 // child values for each unit of the length
}

var layouts = map[byte]layout{
	msgpcode.Nil: {}, msgpcode.False: {}, msgpcode.True: {},
	msgpcode.Uint8: {extra: 1}, msgpcode.Uint16: {extra: 2}, msgpcode.Uint32: {extra: 4}, msgpcode.Uint64: {extra: 8},
	msgpcode.Int8: {extra: 1}, msgpcode.Int16: {extra: 2}, msgpcode.Int32: {extra: 4}, msgpcode.Int64: {extra: 8},
	msgpcode.Float: {extra: 4}, msgpcode.Double: {extra: 8},
	msgpcode.Str8: {lengthBytes: 1, perLength: 1}, msgpcode.Str16: {lengthBytes: 2, perLength: 1},
	msgpcode.Str32: {lengthBytes: 4, perLength: 1},
	msgpcode.Bin8:  {lengthBytes: 1, perLength: 1}, msgpcode.Bin16: {lengthBytes: 2, perLength: 1},
	msgpcode.Bin32:   {lengthBytes: 4, perLength: 1},
	msgpcode.Array16: {lengthBytes: 2, children: 1}, msgpcode.Array32: {lengthBytes: 4, children: 1},
	msgpcode.Map16: {lengthBytes: 2, children: 2}, msgpcode.Map32: {lengthBytes: 4, children: 2},
	msgpcode.FixExt1: {extra: 2}, msgpcode.FixExt2: {extra: 3}, msgpcode.FixExt4: {extra: 5},
	msgpcode.FixExt8: {extra: 9}, msgpcode.FixExt16: {extra: 17},
	msgpcode.Ext8: {lengthBytes: 1, extra: 1, perLength: 1}, msgpcode.Ext16: {lengthBytes: 2, extra: 1, perLength: 1},
	msgpcode.Ext32: {lengthBytes: 4, extra: 1, perLength: 1},
}

func bigEndian(data []byte) uint64 {
	var value uint64
	for _, b := range data {
		value = value<<8 | uint64(b)
	}
	return value
}
