package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
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
	// readChunkBytes is the most memory that is allocated for a frame before any of its bytes have arrived.
	readChunkBytes = 64 << 10
)

var (
	errFrameTooLarge = errors.New("frame is larger than allowed")
	errMalformed     = errors.New("frame is not one well-formed msgpack value")
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

// decodeValue decodes a frame's value. Unknown fields are ignored.
func decodeValue(data []byte, into any) error {
	if err := codec.Unmarshal(data, into); err != nil {
		return errors.Join(errMalformed, err)
	}
	return nil
}
