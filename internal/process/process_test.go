package process

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two instances of a deployment that get the same port, since neither listens yet when the other's is chosen.
func TestFreeAddressesAreNotReturnedTwice(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		addresses, err := FreeAddresses(1)
		assert.NilError(t, err)
		assert.Assert(t, !seen[addresses[0]], "%s was returned twice", addresses[0])
		seen[addresses[0]] = true
	}
}
