package membership

import (
	"github.com/cespare/xxhash/v2"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Rendezvous returns the member with the highest hash of member and key, "" when there is none. Every instance with the
// same members computes the same winner, and when a member leaves only its own keys move.
func Rendezvous(members []structs.InstanceID, key string) structs.InstanceID {
	var winner structs.InstanceID
	var highest uint64
	for _, id := range members {
		score := weight(string(id), key)
		if winner == "" || score > highest || (score == highest && id < winner) {
			winner, highest = id, score
		}
	}
	return winner
}

// weight returns the hash of a member and a key.
func weight(member, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(member)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
