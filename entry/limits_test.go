package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A small machine must hold what callers are allowed to have, and a machine that is unknown must
// serve as many callers as before.
func TestLimits_FitTheMachine(t *testing.T) {
	const smallest, descriptors = 136, 2870
	require.Less(t, requestMemory(smallest), smallest<<20/2)
	require.Greater(t, requestMemory(smallest), maxBufferedBytes+2*maxBodyBytes)
	callers := maxCallers(descriptors)
	require.Greater(t, descriptors, 2*callers+maxAdmins(descriptors), "each caller may need a connection to a target")
	require.Equal(t, defaultMaxCallers, maxCallers(0))
	require.Equal(t, defaultMaxCallers, maxCallers(1<<20))
	require.Equal(t, defaultRequestMemory, requestMemory(0))
}
