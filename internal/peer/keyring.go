package peer

import (
	"crypto/hkdf"
	"crypto/sha256"
	"sync"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Purpose selects one of the keys derived from a shared secret. A value made with the key of one purpose is not valid
// for another.
type Purpose string

// Purposes of derived keys.
const (
	PurposeConnection  Purpose = "dogwoodnotch connection proof v1"
	PurposeRecord      Purpose = "dogwoodnotch record hmac v1"
	PurposeRequestKeys Purpose = "dogwoodnotch request keys v1"
)

// Limits on shared keys.
const (
	// DerivedKeyBytes is the length of every derived key.
	DerivedKeyBytes = 32
	// minSecretBytes is the shortest secret. It gives a strength of 128 bits for HMAC-SHA256 and AES-256.
	minSecretBytes = 16
	maxSharedKeys  = 16
)

// SharedKey is one entry of the setting peer_keys.
type SharedKey struct {
	ID      string
	Secret  []byte    // at least 16 bytes
	UseFrom time.Time // time from which this instance may use it; it is accepted from others as soon as it is listed
}

// KeyRing holds the shared keys. Every listed key is accepted, and the one with the latest UseFrom that has passed is
// used, so a new key can be listed at every instance before any uses it. It is safe for concurrent use.
type KeyRing struct {
	now  func() time.Time
	mu   sync.RWMutex
	keys []ringKey
}

type ringKey struct {
	SharedKey
	derived map[Purpose][]byte
}

// NewKeyRing returns a ring of the given keys. now returns the time; nil means time.Now. The error is of kind Invalid.
func NewKeyRing(keys []SharedKey, now func() time.Time) (*KeyRing, error) {
	if now == nil {
		now = time.Now
	}
	r := &KeyRing{now: now}
	return r, r.Replace(keys)
}

// Replace sets the listed keys. Keys that are no longer listed are refused from then on; connections that are already
// open stay open. On an error, which is of kind Invalid, the ring is unchanged.
func (r *KeyRing) Replace(keys []SharedKey) error {
	if err := checkSharedKeys(keys); err != nil {
		return err
	}
	replaced := make([]ringKey, 0, len(keys))
	for _, k := range keys {
		derived, err := deriveAll(k.Secret)
		if err != nil {
			return err
		}
		replaced = append(replaced, ringKey{SharedKey: k, derived: derived})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keys = replaced
	return nil
}

func checkSharedKeys(keys []SharedKey) error {
	if len(keys) == 0 || len(keys) > maxSharedKeys {
		return errkind.New(errkind.Invalid, "list between 1 and 16 keys in peer_keys", "%d peer keys are listed", len(keys))
	}
	seen := make(map[string]bool, len(keys))
	for _, k := range keys {
		if k.ID == "" || len(k.ID) > structs.MaxIdentifierBytes || seen[k.ID] {
			return errkind.New(errkind.Invalid, "give every key of peer_keys its own id", "peer key id %.32q is empty, too long or listed twice", k.ID)
		}
		if len(k.Secret) < minSecretBytes {
			return errkind.New(errkind.Invalid, "use a random secret of at least 16 bytes", "secret of peer key %q is too short", k.ID)
		}
		seen[k.ID] = true
	}
	return nil
}

func deriveAll(secret []byte) (map[Purpose][]byte, error) {
	derived := make(map[Purpose][]byte)
	for _, p := range []Purpose{PurposeConnection, PurposeRecord, PurposeRequestKeys} {
		key, err := hkdf.Key(sha256.New, secret, nil, string(p), DerivedKeyBytes)
		if err != nil {
			return nil, errkind.Wrap(err, errkind.Internal, "report this", "cannot derive a key")
		}
		derived[p] = key
	}
	return derived, nil
}

// Current returns the id of the key in use and the key derived from it for a purpose. If no key's UseFrom has passed,
// the one with the earliest UseFrom is used, so that a ring with a single key always works.
func (r *KeyRing) Current(purpose Purpose) (id string, key []byte) {
	now := r.now()
	r.mu.RLock()
	defer r.mu.RUnlock()
	best := r.keys[0]
	for _, k := range r.keys[1:] {
		if preferred(k, best, now) {
			best = k
		}
	}
	return best.ID, best.derived[purpose]
}

// preferred reports whether a is used rather than b.
func preferred(a, b ringKey, now time.Time) bool {
	aDue, bDue := !a.UseFrom.After(now), !b.UseFrom.After(now)
	if aDue != bDue {
		return aDue
	}
	if aDue {
		return a.UseFrom.After(b.UseFrom)
	}
	return a.UseFrom.Before(b.UseFrom)
}

// Lookup returns the key derived for a purpose from the listed key with this id, false when the id is not listed.
func (r *KeyRing) Lookup(purpose Purpose, id string) ([]byte, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	for _, k := range r.keys {
		if k.ID == id {
			return k.derived[purpose], true
		}
	}
	return nil, false
}
