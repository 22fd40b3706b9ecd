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
	headerBytes = 4
	// MaxControlBytes bounds a frame on a control connection.
	MaxControlBytes = 1 << 20
	// MaxBulkBytes bounds a frame on a connection for bodies: structs.MaxBodyBytes and its envelope.
	MaxBulkBytes = 9 << 20
	// maxHelloBytes bounds the frames of the handshake, which strangers can send.
	maxHelloBytes = 2 << 10
	// maxDepth bounds nesting. The decoder recurses, and a frame of 9 MiB of nested arrays would overflow its stack.
	maxDepth = 32
	// readChunk is how much memory an announced length claims before its bytes arrive.
	readChunk = 64 << 10
)

var (
	errFrameTooLarge = errors.New("frame is larger than allowed")
	errMalformed     = errors.New("frame is not one well-formed msgpack value")
	errTooDeep       = errors.New("frame is nested too deeply")
)

// encodeFrame encodes value with its length in front.
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

// encodeValue encodes a value with the shortest form of each number, which the library does not do by default.
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
	data := make([]byte, min(size, readChunk))
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

// decodeValue checks data and decodes it. Unknown fields are ignored.
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
// hold what they announce and nest at most maxDepth deep. The decoder may then allocate by announced lengths.
func validate(data []byte) error {
	var open [maxDepth + 1]uint64 // values still missing at each depth
	open[0] = 1
	depth := 0
	at := 0
	for {
		for open[depth] == 0 && depth > 0 {
			depth--
		}
		if open[depth] == 0 {
			break
		}
		open[depth]--
		size, children, ok := element(data[at:])
		if !ok || size > uint64(len(data)-at) {
			return errMalformed
		}
		at += int(size)
		if children == 0 {
			continue
		}
		if children > uint64(len(data)-at) {
			return errMalformed
		}
		if depth == maxDepth {
			return errTooDeep
		}
		depth++
		open[depth] = children
	}
	if at != len(data) {
		return errMalformed
	}
	return nil
}

// element returns the bytes taken by the value at the start of data, without the children of a container, and the
// number of these children.
func element(data []byte) (size, children uint64, ok bool) {
	if len(data) == 0 {
		return 0, 0, false
	}
	c := data[0]
	switch {
	case msgpcode.IsFixedNum(c):
		return 1, 0, true
	case msgpcode.IsFixedMap(c):
		return 1, 2 * uint64(c&msgpcode.FixedMapMask), true
	case msgpcode.IsFixedArray(c):
		return 1, uint64(c & msgpcode.FixedArrayMask), true
	case msgpcode.IsFixedString(c):
		return 1 + uint64(c&msgpcode.FixedStrMask), 0, true
	}
	form, known := forms[c]
	if !known {
		return 0, 0, false
	}
	if len(data) < 1+form.lengthBytes {
		return 0, 0, false
	}
	length := bigEndian(data[1 : 1+form.lengthBytes])
	return uint64(1+form.lengthBytes+form.extra) + length*form.perLength, length * form.children, true
}

// form describes the layout of the values that start with one code.
type form struct {
	lengthBytes int    // of the length that follows the code
	extra       int    // fixed bytes after the length
	perLength   uint64 // bytes for each unit of the length
	children    uint64 // values for each unit of the length
}

var forms = map[byte]form{
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
