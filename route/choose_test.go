package route

import (
	"flag"
	"math/big"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

func drawCandidates(t *rapid.T) []Candidate {
	candidates := make([]Candidate, rapid.IntRange(1, 12).Draw(t, "targets"))
	for i := range candidates {
		candidates[i] = Candidate{
			Key:          uint64(i+1) * 0x9e3779b97f4a7c15,
			InFlight:     int32(rapid.IntRange(0, 6).Draw(t, "in flight")),
			Limit:        int32(rapid.IntRange(0, 8).Draw(t, "limit")),
			Availability: rapid.SampledFrom([]Reason{Open, Open, Open, DomainOut, Suspect}).Draw(t, "closed"),
		}
	}
	return candidates
}

func TestLoadFactor_BoundIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hundredths := rapid.IntRange(100, 500).Draw(t, "c")
		load := Load{rapid.IntRange(0, 100_000).Draw(t, "in flight"), rapid.IntRange(1, 1000).Draw(t, "targets")}
		exact := big.NewRat(int64(hundredths)*int64(load.InFlight+1), 100*int64(load.Targets))
		bound := big.NewRat(int64(LoadFactorOf(float64(hundredths)/100).Bound(load)), 1)
		require.GreaterOrEqual(t, bound.Cmp(exact), 0)
		require.Negative(t, new(big.Rat).Sub(bound, exact).Cmp(big.NewRat(1, 1)))
	})
}

func TestChoose_PicksOpenPreferredCandidate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		index := rapid.IntRange(None, len(candidates)-1)
		query := Query{
			Chat:        rapid.Uint64().Draw(t, "chat"),
			WarmTargets: [2]int{index.Draw(t, "last"), index.Draw(t, "second")},
			Excluded:    []int{rapid.IntRange(0, len(candidates)-1).Draw(t, "excluded")},
			Bound:       rapid.IntRange(0, 7).Draw(t, "bound"),
			Choices:     rapid.IntRange(1, MaxChoices).Draw(t, "first"),
		}
		choice := Choose(&query, candidates)
		for _, skipped := range choice.Skipped[:choice.SkippedCount] {
			require.Equal(t, query.checkCapacity(skipped.Target, &candidates[skipped.Target]), skipped.Reason)
			require.NotEqual(t, Open, skipped.Reason)
		}
		open := 0
		for i := range candidates {
			if query.checkCapacity(i, &candidates[i]) == Open {
				open++
			}
		}
		require.Equal(t, open > 0, choice.Target != None)
		for _, warm := range query.WarmTargets {
			if warm != None && query.checkCapacity(warm, &candidates[warm]) == Open {
				require.Equal(t, warm, choice.Target)
				return
			}
		}
		require.False(t, choice.Warm)
		if open > 0 {
			require.Equal(t, Open, query.checkCapacity(choice.Target, &candidates[choice.Target]))
		}
	})
}

// A joining target must only move chats to itself.
func TestChoose_JoiningTargetMovesNoOtherChats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		candidates := drawCandidates(t)
		query := Query{Chat: rapid.Uint64Min(1).Draw(t, "chat"), WarmTargets: [2]int{None, None}, Bound: 7, Choices: 1}
		joined := rapid.IntRange(0, len(candidates)-1).Draw(t, "joined")
		candidates[joined].Availability = Gone
		before := Choose(&query, candidates)
		candidates[joined].Availability = Open
		after := Choose(&query, candidates)
		if after.Target != joined {
			require.Equal(t, before.Target, after.Target)
		}
	})
}

func TestChoose_LeastLoadedOfFirstChoices(t *testing.T) {
	candidates := []Candidate{{Key: 1, InFlight: 3, Limit: 9}, {Key: 2, InFlight: 1, Limit: 9}, {Key: 3, InFlight: 2, Limit: 9}}
	for chat := range uint64(50) {
		choice := Choose(&Query{Chat: chat, WarmTargets: [2]int{None, None}, Bound: 9, Choices: 3}, candidates)
		require.Equal(t, 1, choice.Target)
	}
}

func TestChoose_DoesNotAllocate(t *testing.T) {
	candidates := make([]Candidate, 100)
	for i := range candidates {
		candidates[i] = Candidate{Key: uint64(i), Limit: 4, Availability: Reason(i % 2 * int(Suspect))}
	}
	query := Query{Chat: 7, WarmTargets: [2]int{1, None}, Bound: 4, Choices: 2}
	require.Zero(t, testing.AllocsPerRun(100, func() { Choose(&query, candidates) }))
}
