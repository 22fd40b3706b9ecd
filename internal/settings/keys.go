package settings

import (
	"crypto/hkdf"
	"crypto/sha256"
	"time"
)

// KeyBytes is the length of a derived key.
const KeyBytes = 32

// Purpose separates the uses of a secret: keys derived for different purposes are independent.
type Purpose string

// Purposes of derived keys.
const (
	PurposeConnection  Purpose = "dogwoodnotch connection proof v1"
	PurposeRecords     Purpose = "dogwoodnotch record hmac v1"
	PurposeRequestKeys Purpose = "dogwoodnotch request keys v1"
)

// Secret is key material. It formats and encodes as a placeholder, so that it cannot reach a log or a state dump.
type Secret string

const hiddenSecret = "(hidden)"

// String returns a placeholder.
func (Secret) String() string { return hiddenSecret }

// GoString returns a placeholder.
func (Secret) GoString() string { return hiddenSecret }

// MarshalText returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(hiddenSecret), nil }

// PeerKey is a secret that the entry instances share. It is accepted as soon as it is listed and used from UseFrom on.
type PeerKey struct {
	ID      string    `yaml:"id" json:"id"`
	Secret  Secret    `yaml:"secret" json:"secret"`
	UseFrom time.Time `yaml:"use_from" json:"use_from"` // zero: at once
}

// Keyring derives keys from the peer keys.
type Keyring struct{ keys []PeerKey }

// Key is a key derived for one purpose.
type Key struct {
	ID      string
	UseFrom time.Time
	Bytes   []byte // KeyBytes long
}

// PurposeKeys holds the keys of one purpose, one for each peer key.
type PurposeKeys struct{ keys []Key }

// Derive returns the keys for a purpose, by HKDF-SHA256 (RFC 5869) without salt.
func (k Keyring) Derive(purpose Purpose) (PurposeKeys, error) {
	derived := make([]Key, 0, len(k.keys))
	for _, key := range k.keys {
		bytes, err := hkdf.Key(sha256.New, []byte(string(key.Secret)), nil, string(purpose), KeyBytes)
		if err != nil {
			return PurposeKeys{}, err
		}
		derived = append(derived, Key{ID: key.ID, UseFrom: key.UseFrom, Bytes: bytes})
	}
	return PurposeKeys{keys: derived}, nil
}

// All returns every accepted key.
func (p PurposeKeys) All() []Key { return p.keys }

// ByID returns the key with the given id.
func (p PurposeKeys) ByID(id string) (Key, bool) {
	for _, key := range p.keys {
		if key.ID == id {
			return key, true
		}
	}
	return Key{}, false
}

// Current returns the key to use now: the newest one whose UseFrom has passed.
func (p PurposeKeys) Current(now time.Time) (Key, bool) {
	var newest Key
	found := false
	for _, key := range p.keys {
		if key.UseFrom.After(now) {
			continue
		}
		if !found || key.UseFrom.After(newest.UseFrom) {
			newest, found = key, true
		}
	}
	return newest, found
}
