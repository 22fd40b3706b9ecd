// Package stream keeps a fold of one stream of the platform's log: it authenticates the records, starts at a usable
// snapshot, follows the stream, and writes a new snapshot before retention drops the last usable one.
package stream

import (
	"bytes"
	"compress/flate"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/peer"
)

// Bounds of a record's body.
const (
	compressFrom = 512      // bytes; shorter bodies do not get smaller
	maxBodyBytes = 32 << 20 // after decompression; the largest body is a snapshot of the job stream
)

// KindSnapshot marks the records that hold a whole state. Folds never see them as records.
const KindSnapshot = "snapshot"

// Reasons why a record cannot be opened.
var (
	errForged     = errors.New("record is not signed by a peer key")
	errUnknownKey = errors.New("record is signed with a key that is not listed")
)

// Record is one authenticated record of a stream.
type Record struct {
	Offset uint64
	Time   time.Time // when the log took it
	Kind   string
	Body   []byte // msgpack
}

// Decode fills into from the body.
func (r Record) Decode(into any) error { return msgpack.Unmarshal(r.Body, into) }

// envelope is the wire form of a record.
type envelope struct {
	Kind       string `msgpack:"kind"`
	KeyID      string `msgpack:"key_id"`
	MAC        []byte `msgpack:"mac"` // HMAC-SHA256 over stream, kind, key id, compressed and body
	Compressed bool   `msgpack:"compressed"`
	Body       []byte `msgpack:"body"`
}

// snapshotBody is the body of a snapshot record.
type snapshotBody struct {
	AsOf     uint64    `msgpack:"as_of"`      // offset up to which the writer had folded
	AsOfTime time.Time `msgpack:"as_of_time"` // time of that record
	State    []byte    `msgpack:"state"`
}

// seal encodes a record and authenticates it with the shared key in use.
func seal(stream, kind string, keys *peer.KeyRing, payload any) ([]byte, error) {
	body, err := msgpack.Marshal(payload)
	if err != nil {
		return nil, err
	}
	id, key := keys.Current(peer.PurposeRecord)
	e := envelope{Kind: kind, KeyID: id, Body: body}
	if len(body) >= compressFrom {
		e.Body, err = deflate(body)
		e.Compressed = true
	}
	if err != nil {
		return nil, err
	}
	e.MAC = e.sum(stream, key)
	return msgpack.Marshal(&e)
}

// Open authenticates the data of a log record and returns its kind and body.
func Open(stream string, keys *peer.KeyRing, data []byte) (kind string, body []byte, err error) {
	var e envelope
	if err := msgpack.Unmarshal(data, &e); err != nil {
		return "", nil, errors.Join(errForged, err)
	}
	key, known := keys.Lookup(peer.PurposeRecord, e.KeyID)
	if !known {
		return "", nil, fmt.Errorf("%w: %.40q", errUnknownKey, e.KeyID)
	}
	if !hmac.Equal(e.MAC, e.sum(stream, key)) {
		return "", nil, errForged
	}
	if !e.Compressed {
		return e.Kind, e.Body, nil
	}
	body, err = inflate(e.Body)
	if err != nil {
		return "", nil, errors.Join(errForged, err)
	}
	return e.Kind, body, nil
}

func (e envelope) sum(stream string, key []byte) []byte {
	mac := hmac.New(sha256.New, key)
	compressed := []byte{0}
	if e.Compressed {
		compressed[0] = 1
	}
	for _, part := range [][]byte{[]byte(stream), []byte(e.Kind), []byte(e.KeyID), compressed, e.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		mac.Write(length[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func deflate(data []byte) ([]byte, error) {
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

func inflate(data []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, fmt.Errorf("body has more than %d bytes", maxBodyBytes)
	}
	return body, nil
}
