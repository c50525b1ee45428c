package route

import "testing"

// benchmarkTargets is the largest number of targets of a service that a decision is
// measured with.
const benchmarkTargets = 204

// BenchmarkChooseLocal measures a decision with a prompt and without one, and with a
// home that is full. It must stay below 2 µs without allocations.
func BenchmarkChooseLocal(b *testing.B) {
	for name, prompt := range map[string]struct {
		key    uint64
		loaded bool
	}{"NoPrompt": {}, "Prompt": {key: 17}, "FullHome": {key: 17, loaded: true}} {
		b.Run(name, func(b *testing.B) {
			targets := localTargets(benchmarkTargets)
			for i := range targets {
				targets[i].InFlight = float64(i % 7)
			}
			if prompt.loaded {
				targets[newRendezvousOrder(prompt.key, targets).home].InFlight = 60
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				ChooseLocal(prompt.key, uint64(i)*0x9e3779b97f4a7c15, replayTraffic(4), 10_512, targets, &testCosts)
			}
		})
	}
}
