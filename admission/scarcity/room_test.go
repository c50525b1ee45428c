package scarcity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a refusal while less than half of the slots are in use and nothing waits
// at the targets, whatever came before, and against a room that nothing gets through.
func TestDecide_NothingIsRefusedWithFreePlaces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		s := NewService(rapid.SampledFrom([]Kind{PlainService, ModelService}).Draw(t, "kind"), nil)
		random := uint64(0)
		decide := func() Decision {
			random++
			r := testRequest(now, int(random%7))
			r.Random, r.Once, r.MayWait, r.Objective = mix(random), random%2 == 0, random%3 == 0, 2*time.Second
			return s.Decide(now, &r)
		}
		for range rapid.IntRange(1, 40).Draw(t, "digests") {
			now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "milliseconds")) * time.Millisecond)
			load := Load{
				InFlight: rapid.Float64Range(0, 300).Draw(t, "load"), Queued: float64(rapid.IntRange(0, 3).Draw(t, "queued")),
				Slots: rapid.IntRange(0, 60).Draw(t, "slots"), Hosts: rapid.IntRange(0, 300).Draw(t, "hosts"),
			}
			for range rapid.IntRange(0, 50).Draw(t, "before") {
				decide()
			}
			s.RecordDuration(time.Duration(rapid.IntRange(0, 5000).Draw(t, "duration")) * time.Millisecond)
			if rapid.Bool().Draw(t, "rejected") {
				s.RecordRejection(now)
			}
			s.Observe(now, load)
			require.GreaterOrEqual(t, s.room.fraction, minFraction)
			require.LessOrEqual(t, s.room.fraction, 1.0)
			if load.Slots == 0 || load.Queued == 0 && load.InFlight < freePart*float64(load.Slots) {
				for range 20 {
					require.Equal(t, Admitted, decide().Verdict)
				}
				require.Equal(t, 1.0, s.Fraction())
				for s.Dequeue(now) != nil {
					continue
				}
				require.Zero(t, s.Waiting(), "what waited has its place")
			}
		}
	})
}

func BenchmarkObserve_ManyClasses(b *testing.B) {
	now := time.Unix(1000, 0)
	s := newScarceService(&now)
	load := s.Load()
	for i := range maxClasses {
		r := testRequest(now, i)
		r.Workspace = fmt.Sprint("many-", i)
		s.Decide(now, &r)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		s.Observe(now, load)
	}
}
