package scarcity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// drawDemands returns demands of up to 4 ranks and 12 workspaces.
func drawDemands(t *rapid.T) []Demand {
	n := rapid.IntRange(1, 30).Draw(t, "classes")
	var demands []Demand
	seen := map[Class]bool{}
	for range n {
		class := Class{Workspace: fmt.Sprint("w-", rapid.IntRange(0, 11).Draw(t, "workspace")), Priority: -rapid.IntRange(0, 3).Draw(t, "rank")}
		if seen[class] {
			continue
		}
		seen[class] = true
		demands = append(demands, Demand{
			Class: class, Weight: rapid.Float64Range(0.5, 4).Draw(t, "weight"),
			Once: rapid.Float64Range(0.01, 50).Draw(t, "once"), Repeatable: rapid.Float64Range(0, 50).Draw(t, "repeatable"),
		})
	}
	return demands
}

// Guards against room that is exceeded or unused, a less urgent class that is served more
// often than a more urgent one, a class that starves, and a workspace that gets more of its
// rank than its fair share while another one gets less.
func TestPlan_KeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		total := 0.0
		for i := range demands {
			total += demands[i].Rate()
		}
		fraction := rapid.Float64Range(0.01, 1.2).Draw(t, "fraction")
		plan := NewPlan(demands, fraction*total)
		require.Equal(t, fraction < 1, plan.IsScarce)
		served := 0.0
		for i := range demands {
			a := &demands[i]
			share := plan.Share(a)
			once, repeatable := plan.ShareOf(a, true), plan.ShareOf(a, false)
			served += once*a.Once + repeatable*a.Repeatable
			require.GreaterOrEqual(t, once, repeatable-1e-9, "once before repeatable")
			require.GreaterOrEqual(t, min(once, repeatable), 0.25*min(fraction, 1)-1e-9, "no class starves")
			require.LessOrEqual(t, max(once, repeatable), 1.0)
			for j := range demands {
				b := &demands[j]
				other := plan.Share(b)
				if a.Priority > b.Priority {
					require.GreaterOrEqual(t, share, other-1e-9, "rank first")
				}
				// A workspace below its demand, and above its floor, has the level of its rank.
				if a.Priority == b.Priority && share < 1-1e-9 && share > plan.floor+1e-9 {
					require.LessOrEqual(t, min(other, 1)*b.Rate()/b.Weight, max(share*a.Rate()/a.Weight, plan.floor*b.Rate()/b.Weight)+1e-6, "fair within the rank")
				}
			}
		}
		require.InDelta(t, min(fraction, 1)*total, served, 0.01*total+0.01, "the room is used")
	})
}

// Guards against draws that favour the repeats of a request: those within a period have
// the same result everywhere, and later ones are independent.
func TestDraw_RepeatsAtOnceDontGetAnotherChance(t *testing.T) {
	start := time.Unix(1000, 0)
	changed, below := 0, 0
	const keys = 2000
	for key := range uint64(keys) {
		key = mix(key + 1)
		first := Draw(start, key, 1)
		require.GreaterOrEqual(t, first, 0.0)
		require.Less(t, first, 1.0)
		if Draw(start.Add(20*time.Millisecond), key, 2) != first {
			changed++
		}
		require.NotEqual(t, first, Draw(start.Add(drawPeriod), key, 1))
		if first < 0.3 {
			below++
		}
	}
	require.Less(t, changed, keys/8, "periods begin at different times")
	require.InDelta(t, 0.3, float64(below)/keys, 0.05)
	require.NotEqual(t, Draw(start, 0, 1), Draw(start, 0, 2), "requests without a key have draws of their own")
}

// Guards against a Retry-After that no caller honours, or that brings all back together.
func TestRetryAfter_IsUsableAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backlog := time.Duration(rapid.Int64Range(0, int64(10*time.Second)).Draw(t, "backlog"))
		remaining := time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(time.Minute)).Draw(t, "remaining"))
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		low, high := time.Duration(1<<62), time.Duration(0)
		for i := range uint64(64) {
			pause := retryAfter(backlog, share, remaining, mix(i))
			require.Positive(t, pause)
			require.LessOrEqual(t, pause, remaining/3)
			low, high = min(low, pause), max(high, pause)
		}
		require.Greater(t, float64(high), 1.3*float64(low))
	})
	require.Greater(t, retryAfter(time.Second, 0.5, time.Minute, 0), retryAfter(0, 0.5, time.Minute, 0), "a longer backlog takes longer")
	require.Greater(t, retryAfter(0, 0.3, time.Minute, 0), retryAfter(0, 0.9, time.Minute, 0), "a class with less room waits longer")
}
