package route

import "testing"

// benchmarkTargets is the largest number of targets of a service that a decision is
// measured with.
const benchmarkTargets = 204

// benchmarkChoice measures a decision with a prompt, with a home that is full and without
// a prompt, on targets without and with slowdowns.
func benchmarkChoice(b *testing.B, choose func(key, random uint64, traffic Traffic, tokens int, targets []LocalTarget, costs *LocalCosts) LocalChoice) {
	for _, run := range []struct {
		name         string
		key          uint64
		full, uneven bool
	}{
		{name: "NoPrompt"},
		{name: "Prompt", key: 17},
		{name: "FullHome", key: 17, full: true},
		{name: "NoPromptUneven", uneven: true},
		{name: "PromptUneven", key: 17, uneven: true},
		{name: "FullHomeUneven", key: 17, full: true, uneven: true},
	} {
		b.Run(run.name, func(b *testing.B) {
			targets := localTargets(benchmarkTargets)
			for i := range targets {
				targets[i].InFlight = float64(i % 7)
				if run.uneven {
					targets[i].Slowdown, targets[i].HomeSlowdown, targets[i].SharedFigure = 0.5+float64(i%5)/2, 1, true
				}
			}
			if run.full {
				targets[newRendezvousOrder(run.key, targets).home].InFlight = 60
			}
			tokens := 0
			if run.key != 0 {
				tokens = 10_512
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				choose(run.key, uint64(i)*0x9e3779b97f4a7c15, replayTraffic(4), tokens, targets, &testCosts)
			}
		})
	}
}

// BenchmarkChooseLocal must stay below 2 µs without allocations.
func BenchmarkChooseLocal(b *testing.B) { benchmarkChoice(b, ChooseLocal) }

// BenchmarkFormerChooseLocal is the decision before targets had slowdowns.
func BenchmarkFormerChooseLocal(b *testing.B) { benchmarkChoice(b, formerChooseLocal) }
