package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Limits of frames.
const (
	// headerBytes is the size of the length in front of each frame.
	headerBytes = 4
	// MaxControlBytes is the largest frame on a control connection.
	MaxControlBytes = 1 << 20
	// MaxBulkBytes is the largest frame on a bulk connection: structs.MaxBodyBytes and its envelope.
	MaxBulkBytes = 9 << 20
	// maxHelloBytes is the largest frame of the handshake, which unauthenticated peers can send.
	maxHelloBytes = 2 << 10
	// maxDepth is the deepest nesting. The decoder recurses, and a frame of 9 MiB of nested arrays would overflow its
	// stack.
	maxDepth = 32
	// readChunkBytes is the most memory that is allocated for a frame before any of its bytes have arrived.
	readChunkBytes = 64 << 10
)

var (
	errFrameTooLarge = errors.New("frame is larger than allowed")
	errMalformed     = errors.New("frame is not one well-formed msgpack value")
	errTooDeep       = errors.New("frame is nested too deeply")
)

// encodeFrame encodes value and puts its length in front.
func encodeFrame(value any, limit int) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(make([]byte, headerBytes))
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	frame := buffer.Bytes()
	size := len(frame) - headerBytes
	if size > limit {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", errFrameTooLarge, size, limit)
	}
	binary.BigEndian.PutUint32(frame, uint32(size))
	return frame, nil
}

// encodeValue encodes a value with the shortest form of each integer, which the library does not do by default.
func encodeValue(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&buffer)
	encoder.UseCompactInts(true)
	err := encoder.Encode(value)
	return buffer.Bytes(), err
}

// readFrame reads one frame. Memory grows with the bytes that arrive, not with the length that the sender announces.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size > uint32(limit) {
		return nil, fmt.Errorf("%w: %d bytes announced, limit %d", errFrameTooLarge, size, limit)
	}
	return readBody(r, int(size))
}

func readBody(r io.Reader, size int) ([]byte, error) {
	data := make([]byte, min(size, readChunkBytes))
	read := 0
	for {
		n, err := io.ReadFull(r, data[read:])
		read += n
		if err != nil {
			return nil, errors.Join(io.ErrUnexpectedEOF, err)
		}
		if read == size {
			return data, nil
		}
		grown := make([]byte, min(size, 2*len(data)))
		copy(grown, data)
		data = grown
	}
}

// decodeValue validates data and decodes it. Unknown fields are ignored.
func decodeValue(data []byte, into any) error {
	if err := validate(data); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(data, into); err != nil {
		return errors.Join(errMalformed, err)
	}
	return nil
}

// validate checks, without recursion and without allocating, that data is exactly one msgpack value whose containers
// are complete and nest at most maxDepth deep. After that it is safe for the decoder to allocate by announced lengths.
func validate(data []byte) error {
	var missing [maxDepth + 1]uint64 // values still missing at each depth
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
			return errMalformed
		}
		offset += int(size)
		if children == 0 {
			continue
		}
		if children > uint64(len(data)-offset) {
			return errMalformed
		}
		if depth == maxDepth {
			return errTooDeep
		}
		depth++
		missing[depth] = children
	}
	if offset != len(data) {
		return errMalformed
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
