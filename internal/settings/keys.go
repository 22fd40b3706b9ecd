package settings

import "time"

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
