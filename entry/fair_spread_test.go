package entry

import (
	"testing"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/fleet"
	"comfreytiller.dev/route"
)

// Guards against a spread over targets that the versions of a rollout rule out, or one that
// stays in force for the next choice of the same request: either would refuse a request
// although a target can take it.
func TestSpread_LeavesOneAllowedTargetUntilRestored(t *testing.T) {
	f := newFairFixture(t)
	f.applyEntries(f.newRosterEntry("t-3", "treasury", "c", 1))
	list := f.selector.byService["treasury"]
	service := &fleet.Service{Name: "treasury", Kind: fleet.KindPlain}
	newCandidates := func() []route.LocalTarget {
		candidates := make([]route.LocalTarget, len(list))
		for i, s := range list {
			if s.Name == "t-3" {
				candidates[i].Availability = route.OtherVersion
			}
		}
		return candidates
	}
	count := func(candidates []route.LocalTarget, reason route.Reason) int {
		n := 0
		for i := range candidates {
			if candidates[i].Availability == reason {
				n++
			}
		}
		return n
	}
	candidates := newCandidates()
	f.digest(1)
	f.selector.spread(service, list, candidates)()
	require.Equal(t, 2, count(candidates, route.Available), "with room the choice is as before")

	f.overload(t)
	for range 20 {
		restore := f.selector.spread(service, list, candidates)
		require.Equal(t, 1, count(candidates, route.Available))
		require.Equal(t, 1, count(candidates, route.OtherVersion))
		restore()
		require.Equal(t, newCandidates(), candidates)
	}
	for i := range candidates {
		candidates[i].AtCapacity = true
	}
	f.selector.spread(service, list, candidates)()
	require.Equal(t, 2, count(candidates, route.Available), "none is left to choose from")
}
