package daemons

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Test processes that run at the same time took each other's ports: the hubs of one
// joined the cluster of another.
func TestReserveBlock_BlocksDoNotOverlap(t *testing.T) {
	first, err := reserveBlock()
	require.NoError(t, err)
	t.Cleanup(func() { _ = first.owner.Close() })
	second, err := reserveBlock()
	require.NoError(t, err)
	t.Cleanup(func() { _ = second.owner.Close() })
	require.GreaterOrEqual(t, max(first.first-second.first, second.first-first.first), blockPorts)
}

func TestFreeAddress_AddressesAreNotRepeated(t *testing.T) {
	seen := map[string]bool{}
	for range 2 * blockPorts {
		address := FreeAddress(t)
		require.False(t, seen[address], address)
		seen[address] = true
	}
}
