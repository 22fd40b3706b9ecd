package idempotency

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"dogwoodnotch.example/dogwoodnotch/internal/codec"
	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/peer"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Layout of a sealed key: version, length of the shared key's id, the id, salt, nonce, ciphertext.
const (
	sealVersion = 1
	saltBytes   = 16
	nonceBytes  = 12
	// MaxKeyBytes limits the length of the text of a key.
	MaxKeyBytes = 1024
	// maxCiphers limits the number of cached ciphers. There is one for each issuer and shared key.
	maxCiphers = 1024
)

// sealer seals and opens tickets. Each process seals with a key derived from its own random salt, so that a counter makes
// its nonces unique, however many keys it issues.
type sealer struct {
	ring *peer.KeyRing
	salt [saltBytes]byte

	mu      sync.Mutex
	ciphers map[cipherKey]cipher.AEAD
	nonce   uint64
}

type cipherKey struct {
	id     string
	salt   [saltBytes]byte
	digest [sha256.Size]byte // digest of the shared key, which may be replaced under the same id
}

func newSealer(ring *peer.KeyRing) *sealer {
	s := &sealer{ring: ring, ciphers: make(map[cipherKey]cipher.AEAD)}
	_, _ = rand.Read(s.salt[:]) // never fails
	return s
}

// seal returns the text of the key that holds a ticket.
func (s *sealer) seal(t *Ticket) (string, error) {
	id, shared := s.ring.Current(peer.PurposeRequestKeys)
	aead, err := s.cipher(id, shared, s.salt, true)
	if err != nil {
		return "", err
	}
	plain, err := msgpack.Marshal(t)
	if err != nil {
		return "", errkind.Wrap(err, errkind.Internal, "report this", "cannot encode a request key")
	}
	sealed := make([]byte, 0, 2+len(id)+saltBytes+nonceBytes+len(plain)+aead.Overhead())
	sealed = append(sealed, sealVersion, byte(len(id)))
	sealed = append(sealed, id...)
	sealed = append(sealed, s.salt[:]...)
	header := len(sealed)
	sealed = append(sealed, make([]byte, nonceBytes)...)
	binary.BigEndian.PutUint64(sealed[header+nonceBytes-8:], s.nextNonce())
	sealed = aead.Seal(sealed, sealed[header:], plain, sealed[:header])
	return base64.RawURLEncoding.EncodeToString(sealed), nil
}

func (s *sealer) nextNonce() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nonce++
	return s.nonce
}

// errMalformed returns the same error for every defect of a key, so that it does not help to forge one.
func errMalformed() error {
	return errkind.New(errkind.Invalid, "get a key from POST /v1/keys and send it unchanged", "the request key was not issued by this deployment, or its sealing key was retired")
}

// open returns the ticket of a key. The error is of kind Invalid.
func (s *sealer) open(text string) (*Ticket, error) {
	if len(text) > MaxKeyBytes {
		return nil, errMalformed()
	}
	sealed, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || len(sealed) < 2 || sealed[0] != sealVersion {
		return nil, errMalformed()
	}
	header := 2 + int(sealed[1]) + saltBytes
	if len(sealed) < header+nonceBytes {
		return nil, errMalformed()
	}
	id := string(sealed[2 : 2+int(sealed[1])])
	shared, listed := s.ring.Lookup(peer.PurposeRequestKeys, id)
	if !listed {
		return nil, errMalformed()
	}
	salt := [saltBytes]byte(sealed[header-saltBytes : header])
	aead, err := s.cipher(id, shared, salt, false)
	if err != nil {
		return nil, err
	}
	nonce := sealed[header : header+nonceBytes]
	plain, err := aead.Open(nil, nonce, sealed[header+nonceBytes:], sealed[:header])
	if err != nil {
		return nil, errMalformed()
	}
	s.cacheCipher(id, shared, salt, aead)
	return decodeTicket(plain)
}

func decodeTicket(plain []byte) (*Ticket, error) {
	var t Ticket
	if err := codec.Unmarshal(plain, &t); err != nil {
		return nil, errMalformed()
	}
	if t.Issuer.Instance == "" || len(t.Issuer.Instance) > structs.MaxIdentifierBytes {
		return nil, errMalformed()
	}
	return &t, nil
}

// cipher returns the cipher for a shared key and a salt. It caches only the cipher of this process's own salt, and open
// caches those of genuine keys: a salt that a client made up costs one derivation and no memory.
func (s *sealer) cipher(id string, shared []byte, salt [saltBytes]byte, own bool) (cipher.AEAD, error) {
	s.mu.Lock()
	aead, kept := s.ciphers[cipherKey{id, salt, sha256.Sum256(shared)}]
	s.mu.Unlock()
	if kept {
		return aead, nil
	}
	key, err := hkdf.Key(sha256.New, shared, salt[:], string(peer.PurposeRequestKeys), peer.DerivedKeyBytes)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report this", "cannot derive a sealing key")
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "report this", "cannot create a cipher")
	}
	aead, err = cipher.NewGCM(block)
	if err == nil && own {
		s.cacheCipher(id, shared, salt, aead)
	}
	return aead, err
}

func (s *sealer) cacheCipher(id string, shared []byte, salt [saltBytes]byte, aead cipher.AEAD) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.ciphers) >= maxCiphers {
		clear(s.ciphers)
	}
	s.ciphers[cipherKey{id, salt, sha256.Sum256(shared)}] = aead
}
