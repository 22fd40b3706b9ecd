package demo

import (
	"crypto/sha256"
	"encoding/hex"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Secrets of the demonstration. The example specifications hold the digests of the customers' tokens; a real deployment generates
// its own secrets.
const (
	peerSecret    = "64656d6f2d6f6e6c792d64656d6f2d6f6e6c792d64656d6f2d6f6e6c792d2121"
	operatorToken = "operator-demo-token"
)

// customerToken returns the bearer token of a customer of the example specifications.
func customerToken(customer structs.Customer) string { return string(customer) + "-demo-token" }

// digest returns the SHA-256 digest of a token in hexadecimal, as settings and specifications hold it.
func digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
