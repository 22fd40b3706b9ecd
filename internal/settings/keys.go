package settings

import "time"

// Secret is key material. It is formatted and encoded as a placeholder, so that it cannot appear in a log or a state dump.
type Secret string

// hiddenSecret is printed in place of a secret.
const hiddenSecret = "(hidden)"

// String implements fmt.Stringer with the placeholder.
func (Secret) String() string { return hiddenSecret }

// GoString implements fmt.GoStringer with the placeholder.
func (Secret) GoString() string { return hiddenSecret }

// MarshalText implements encoding.TextMarshaler with the placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(hiddenSecret), nil }

// PeerKey is a secret that the entry instances share to authenticate each other. An instance accepts a key as soon as its
// settings list it, and uses it itself from UseFrom on.
type PeerKey struct {
	ID      string    `yaml:"id" json:"id"`
	Secret  Secret    `yaml:"secret" json:"secret"`
	UseFrom time.Time `yaml:"use_from" json:"use_from"` // zero: immediately
}
