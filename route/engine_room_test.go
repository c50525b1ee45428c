package route

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a request being sent to an engine that would queue or preempt it while a
// healthy one has room, and against a refusal because all are full.
func TestChooseLocal_FullTargetIsAvoidedWhileAnotherHasRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets := drawTargets(t)
		for i := range targets {
			targets[i].RateLimited = false
			targets[i].Full = rapid.Bool().Draw(t, "full")
		}
		key, random, traffic := rapid.Uint64().Draw(t, "key"), rapid.Uint64().Draw(t, "random"), drawTraffic(t)
		hasRoom := hasTargetWithRoom(targets)
		choice := ChooseLocal(key, random, traffic, 1000, targets, &testCosts)
		if choice.Target != None && hasRoom {
			require.False(t, targets[choice.Target].Full)
		}
		if hasRoom {
			return
		}
		for i := range targets {
			targets[i].Full = false
		}
		require.Equal(t, ChooseLocal(key, random, traffic, 1000, targets, &testCosts), choice, "without room anywhere the choice is as usual")
	})
}

// Guards against an engine of unknown memory being full, and against more requests needing
// less memory.
func TestEngineRoom_GrowsWithRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := EngineRoom{
			Capacity: rapid.IntRange(0, 500_000).Draw(t, "capacity"), Engines: rapid.IntRange(0, 100).Draw(t, "engines"),
			Sizes: PromptSizes{
				Private: rapid.Float64Range(0, 20_000).Draw(t, "private"), Output: rapid.Float64Range(0, 4000).Draw(t, "output"),
				Shared: rapid.Float64Range(0, 20_000).Draw(t, "shared"), Prompts: rapid.IntRange(0, 500).Draw(t, "prompts"),
			},
		}
		inFlight, tokens := rapid.Float64Range(0, 64).Draw(t, "in flight"), rapid.IntRange(0, 20_000).Draw(t, "tokens")
		require.LessOrEqual(t, room.HeldTokens(inFlight), room.HeldTokens(inFlight+1))
		if room.Lacks(inFlight, tokens) {
			require.Positive(t, room.Capacity)
			require.True(t, room.Lacks(inFlight+1, tokens))
		}
	})
}

// Large private prompts fill the memory of engines before their slots. A third of the
// requests has the same shared prompt. Hosts that know the memory preempt fewer requests.
func TestChooseLocal_MemoryOfEnginesIsKept(t *testing.T) {
	const engines, capacity, private, output = 12, 120_000, 9000, 800
	run := func(knows bool) (preempted, sent int) {
		random := rand.New(rand.NewPCG(31, 32))
		targets := localTargets(engines)
		ends := make([][]int, engines)
		room := EngineRoom{Capacity: capacity, Engines: engines, Sizes: PromptSizes{Private: private, Output: output, Shared: 2000, Prompts: 24}}
		for tick := range 2000 {
			for i := range targets {
				kept := ends[i][:0]
				for _, end := range ends[i] {
					if end > tick {
						kept = append(kept, end)
					}
				}
				ends[i] = kept
			}
			for range 1 + random.IntN(3) {
				key := uint64(random.IntN(24)) + 1
				if random.IntN(3) == 0 {
					key = 1
				}
				for i := range targets {
					targets[i].InFlight = float64(len(ends[i]))
					targets[i].Full = knows && room.Lacks(targets[i].InFlight, private+output)
				}
				choice := ChooseLocal(key, random.Uint64(), replayTraffic(2), 2000, targets, &testCosts)
				if choice.Target == None {
					continue
				}
				sent++
				at := choice.Target
				ends[at] = append(ends[at], tick+20+random.IntN(40))
				if len(ends[at])*(private+output/2)+min(len(ends[at]), 5)*2000 > capacity {
					preempted++
				}
			}
		}
		return preempted, sent
	}
	with, sent := run(true)
	without, sentWithout := run(false)
	t.Logf("%d of %d requests preempt others with the memory known, %d of %d without", with, sent, without, sentWithout)
	require.Equal(t, sentWithout, sent, "nothing more is refused")
	require.Positive(t, without)
	require.Less(t, 2*with, without)
}
