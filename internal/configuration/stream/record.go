// Package stream computes a state, the fold, from the records of one stream of the platform's log. It authenticates the
// records, starts at a usable snapshot, follows the stream, and writes a new snapshot before retention drops the last
// usable one.
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

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
)

// Limits on a record's body.
const (
	minCompressedBytes = 512      // size from which bodies are compressed; shorter ones would not get smaller
	maxBodyBytes       = 32 << 20 // largest size after decompression; snapshots of the job stream are the largest bodies
)

// KindSnapshot is the kind of the records that hold a whole state. They are never passed to Fold.Apply.
const KindSnapshot = "snapshot"

// Reasons why a record cannot be opened.
var (
	errNotAuthentic = errors.New("record is not signed by a peer key")
	errUnknownKey   = errors.New("record is signed with a key that is not listed")
)

// Record is one authenticated record of a stream.
type Record struct {
	Offset uint64
	Time   time.Time // when the log stored it
	Kind   string
	Body   []byte // msgpack
}

// Decode decodes the body into a value.
func (r Record) Decode(into any) error { return codec.Unmarshal(r.Body, into) }

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
	// AsOf is the offset of the last record that State covers, including the records that closeGap skips.
	AsOf     uint64    `msgpack:"as_of"`
	AsOfTime time.Time `msgpack:"as_of_time"` // log time of the last folded record
	State    []byte    `msgpack:"state"`
}

// seal encodes a record and signs it with the shared key in use.
func seal(stream, kind string, keys *peer.KeyRing, payload any) ([]byte, error) {
	body, err := msgpack.Marshal(payload)
	if err != nil {
		return nil, err
	}
	id, key := keys.Current(peer.PurposeRecord)
	e := envelope{Kind: kind, KeyID: id, Body: body}
	if len(body) >= minCompressedBytes {
		e.Body, err = compress(body)
		e.Compressed = true
	}
	if err != nil {
		return nil, err
	}
	e.MAC = e.mac(stream, key)
	return msgpack.Marshal(&e)
}

// Open authenticates the data of a log record and returns its kind and body.
func Open(stream string, keys *peer.KeyRing, data []byte) (kind string, body []byte, err error) {
	var e envelope
	if err := codec.Unmarshal(data, &e); err != nil {
		return "", nil, errors.Join(errNotAuthentic, err)
	}
	key, known := keys.Lookup(peer.PurposeRecord, e.KeyID)
	if !known {
		return "", nil, fmt.Errorf("%w: %.40q", errUnknownKey, e.KeyID)
	}
	if !hmac.Equal(e.MAC, e.mac(stream, key)) {
		return "", nil, errNotAuthentic
	}
	if !e.Compressed {
		return e.Kind, e.Body, nil
	}
	body, err = decompress(e.Body)
	if err != nil {
		return "", nil, errors.Join(errNotAuthentic, err)
	}
	return e.Kind, body, nil
}

func (e envelope) mac(stream string, key []byte) []byte {
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

func compress(data []byte) ([]byte, error) {
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

func decompress(data []byte) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxBodyBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxBodyBytes {
		return nil, fmt.Errorf("body has more than %d bytes", maxBodyBytes)
	}
	return body, nil
}
