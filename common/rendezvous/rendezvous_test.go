package rendezvous

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestRank_RemovalKeepsOrderOfOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 2, 12, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		removed := rapid.IntRange(0, len(names)-1).Draw(t, "removed")

		var rest, want []string
		for i, name := range names {
			if i != removed {
				rest = append(rest, name)
			}
		}
		for _, name := range Rank(key, names) {
			if name != names[removed] {
				want = append(want, name)
			}
		}
		require.Equal(t, want, Rank(key, rest))
	})
}

func TestFirstMatchesRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(rapid.StringN(1, 8, -1), 1, 12, rapid.ID[string]).Draw(t, "names")
		key := rapid.String().Draw(t, "key")
		require.Equal(t, Rank(key, names)[0], First(key, names))
	})
}

func TestFirst_NoNames(t *testing.T) {
	require.Empty(t, First("key", nil))
}
