package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"math/big"
	"time"

	"dogwoodnotch.example/dogwoodnotch/internal/errkind"
	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// class is the kind of calls that a connection carries. Calls with large bodies have connections of their own, so that
// they do not delay heartbeats.
type class uint8

const (
	classControl class = iota
	classBulk
	classCount
)

// limit returns the largest frame of a connection of this class.
func (c class) limit() int {
	if c == classBulk {
		return MaxBulkBytes
	}
	return MaxControlBytes
}

// hello is the first message of each side of a connection.
type hello struct {
	Version int                `msgpack:"v"`
	From    structs.InstanceID `msgpack:"f"`
	To      structs.InstanceID `msgpack:"t"`
	Class   class              `msgpack:"c"`
	KeyID   string             `msgpack:"k"`
	Proof   []byte             `msgpack:"p"`
	Error   *wireError         `msgpack:"e,omitempty"`
}

const (
	exporterLabel = "EXPORTER-dogwoodnotch-peer"
	exporterBytes = 32
	roleDialer    = "dialer"
	roleListener  = "listener"
)

// proof returns an HMAC that binds the shared key, both names and the class to one TLS connection and one direction.
func proof(key, exported []byte, role string, h *hello) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(exported)
	for _, part := range []string{role, string(h.From), string(h.To), h.KeyID, string(rune(h.Class))} {
		var length [4]byte
		binary.BigEndian.PutUint32(length[:], uint32(len(part)))
		mac.Write(length[:])
		mac.Write([]byte(part))
	}
	return mac.Sum(nil)
}

// sign sets the version, the id of the key in use and the proof.
func (h *hello) sign(keys *KeyRing, exported []byte, role string) {
	id, key := keys.Current(PurposeConnection)
	h.Version = protocolVersion
	h.KeyID = id
	h.Proof = proof(key, exported, role, h)
}

// verify checks the other side's hello. The error does not reveal which part of the proof was wrong.
func (h *hello) verify(keys *KeyRing, exported []byte, role string) error {
	if h.Version != protocolVersion {
		return wrongVersion(h.Version)
	}
	key, listed := keys.Lookup(PurposeConnection, h.KeyID)
	if !listed || !hmac.Equal(h.Proof, proof(key, exported, role, h)) {
		return errkind.New(errkind.Unauthorised, "list the same peer_keys on every instance", "the peer did not prove possession of an accepted key")
	}
	if h.From == "" || len(h.From) > structs.MaxIdentifierBytes || h.Class >= classCount {
		return errkind.New(errkind.Invalid, "report this", "the peer's hello is malformed")
	}
	return nil
}

func wrongVersion(version int) error {
	return errkind.New(errkind.Invalid, "run the same version on every instance",
		"peer protocol version %d is not supported, this instance uses version %d", version, protocolVersion)
}

// exportKeyingMaterial returns a secret that only the two ends of one TLS connection share.
func exportKeyingMaterial(conn *tls.Conn) ([]byte, error) {
	state := conn.ConnectionState()
	return state.ExportKeyingMaterial(exporterLabel, nil, exporterBytes)
}

// newTLSConfig returns a configuration with a new self-signed certificate. The certificate authenticates nobody: the
// proof over the exported keying material does that, and it also detects a man in the middle.
func newTLSConfig(now time.Time) (*tls.Config, error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.AddDate(10, 0, 0),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{{Certificate: [][]byte{certificate}, PrivateKey: private}},
		InsecureSkipVerify:     true, // the proof replaces the certificate check
		SessionTicketsDisabled: true,
	}, nil
}
