package scarcity

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against hosts that all send to the target that was least loaded a second ago, and
// against loads that stay uneven.
func TestSpread_EvensOutWithoutHerding(t *testing.T) {
	choose := func(perSecond float64, places ...Place) []float64 {
		shares := make([]float64, len(places))
		const draws = 20_000
		for i := range uint64(draws) {
			shares[Spread(places, perSecond, mix(i))] += 1.0 / draws
		}
		return shares
	}
	shares := choose(200, Place{10, 6}, Place{10, 6}, Place{10, 12})
	require.InDelta(t, 0.5, shares[2], 0.05, "by slots")
	require.InDelta(t, shares[0], shares[1], 0.03)
	shares = choose(200, Place{20, 6}, Place{10, 6}, Place{0, 6})
	require.Greater(t, shares[2], shares[0])
	require.Less(t, shares[2], 0.45, "not all go to the least loaded one")
	shares = choose(200, Place{500, 6}, Place{0, 6})
	require.Positive(t, shares[0])
	require.Less(t, shares[0], 0.1)
	require.Equal(t, -1, Spread(nil, 1, 0))
}
