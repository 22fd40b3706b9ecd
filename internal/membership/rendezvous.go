package membership

import (
	"github.com/cespare/xxhash/v2"

	"dogwoodnotch.example/dogwoodnotch/internal/structs"
)

// Rendezvous returns the member with the highest hash of member and key, "" when there is none. Every instance with the
// same members computes the same winner, and a member that leaves moves only the keys that it had won.
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

// weight is the hash of one pair.
func weight(member, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(member)
	_, _ = digest.WriteString("\x00")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}
