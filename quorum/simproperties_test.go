package quorum

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// runSim runs the steps and then checks that the cluster converges.
func runSim(t require.TestingT, seed uint64, size, steps int, faults simFaults) *sim {
	s := newSim(t, seed, size, faults)
	for range steps {
		s.step()
	}
	s.converge()
	s.checkHistory()
	return s
}

// TestSimSeeds runs fixed seeds for clusters of one, three and five.
func TestSimSeeds(t *testing.T) {
	const seeds = 150
	for _, size := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			terms, committed, operations := 0, uint64(0), 0
			for seed := range uint64(seeds) {
				s := runSim(t, seed, size, 5000, allFaults)
				terms += len(s.leaders)
				committed += s.highest
				operations += len(s.history)
			}
			t.Logf("%d terms, %d entries committed, %d operations", terms, committed, operations)
			require.Greater(t, operations, 10*seeds, "the runs did too little")
		})
	}
}

// TestSimFailedSeeds runs what once failed, with the fault that it showed.
func TestSimFailedSeeds(t *testing.T) {
	cases := []struct {
		name   string
		seed   uint64
		size   int
		steps  int
		faults simFaults
	}{
		{
			"a commit index was saved before the snapshot that it covered", 0x4ce9, 3, 3000,
			simFaults{Lose: 175, Duplicate: 169, Crash: 17, Restart: 31, Snapshot: 19, Transfer: 3},
		},
		{
			"a read was answered before a snapshot that came beside a write was restored", 0x3457a93, 3, 3000,
			simFaults{Lose: 21, Partition: 16, Heal: 4, Crash: 2, Restart: 56, Members: 27, Snapshot: 10, Transfer: 6, Beside: 648},
		},
		{
			"a sign of life beside a write claimed a snapshot that was not durable", 0x20b779, 5, 3000,
			simFaults{Duplicate: 73, Partition: 5, Heal: 2, Crash: 2, Restart: 13, Members: 16, Snapshot: 21, Transfer: 1, Beside: 610},
		},
	}
	for _, seed := range []uint64{11, 35, 92, 98} {
		name := fmt.Sprintf("a leader that removed itself did not campaign again, %d", seed)
		t.Run(name, func(t *testing.T) { runSim(t, seed, 3, 4000, allFaults) })
	}
	t.Run("a single voter led before its vote was durable", func(t *testing.T) {
		runSim(t, 2709, 1, 6000, allFaults)
	})
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { runSim(t, c.seed, c.size, c.steps, c.faults) })
	}
}

// besideFaults has messages and ticks arrive during most writes.
var besideFaults = simFaults{
	Lose: 50, Duplicate: 30, Partition: 4, Heal: 10, Crash: 4, Restart: 30, Wipe: 1,
	Members: 10, Snapshot: 20, Transfer: 3, Beside: 700,
}

// TestSimSlowWrites runs fixed seeds with writes that take their time.
func TestSimSlowWrites(t *testing.T) {
	const seeds = 150
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			operations := 0
			for seed := range uint64(seeds) {
				operations += len(runSim(t, seed, size, 5000, besideFaults).history)
			}
			require.Greater(t, operations, 10*seeds, "the runs did too little")
		})
	}
}

// The rules of the log hold under every mix of faults.
func TestSimProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, most int) int { return rapid.IntRange(0, most).Draw(t, name) }
		faults := simFaults{
			Lose: draw("lose", 200), Duplicate: draw("duplicate", 200), Partition: draw("partition", 20),
			Heal: draw("heal", 50), Crash: draw("crash", 20), Restart: draw("restart", 60), Wipe: draw("wipe", 3),
			Members: draw("members", 30), Snapshot: draw("snapshot", 30), Transfer: draw("transfer", 20),
			Beside: draw("beside", 900),
		}
		size := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "size")
		runSim(t, rapid.Uint64().Draw(t, "seed"), size, 3000, faults)
	})
}
