package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/chat"
)

// All targets cold at once: the cold limit on each, then it grows with the
// completed requests until the service is warm.
func TestWholeColdServiceMakesProgress(t *testing.T) {
	s := New(reviews(), 1)
	s.CompleteAdoption(start)
	for i := range 3 {
		s.HandleAnnouncement(start, announcement(fmt.Sprintf("e%d", i), 1, 1))
	}
	running := fill(s, start, "r", 14)
	require.Len(t, running, 6)
	for ended := 0; ended < 200 && len(running) > 0; ended++ {
		s.Release(start, done(running[0]))
		running = append(running[1:], permitsOf(s.TakeEffects())...)
	}
	require.Empty(t, running)
	require.Zero(t, s.queue.len())
	require.Equal(t, 1.0, stateOf(s, "e0").WarmUpProgress)
}

// A third of the targets comes back cold: the others take what the mean over
// all of them would not allow.
func TestColdTargetsDoNotHoldTheOthersBack(t *testing.T) {
	s := warmService(2)
	s.HandleAnnouncement(start, announcement("cold", 1, 1))
	require.Len(t, fill(s, start, "r", 30), 8+8+2)
	require.Equal(t, "Warming", s.candidates[s.byName["cold"]].CheckCapacity(unlimited).String())
}

// While a target within the mean over all has room, no other is beyond it, even
// if a cold one is full.
func TestColdTargetDoesNotLoosenTheBound(t *testing.T) {
	s := warmService(2, WithWarmWait(0))
	s.memory.RecordUse(start, chat.KeyOf("x"), s.targets[s.byName["e0"]].place, false)
	s.HandleAnnouncement(start, announcement("cold", 1, 1))
	require.Len(t, fill(s, start, "r", 3), 3)
	second := request("second", "")
	second.Exclude = []string{"e0", "e1"}
	s.Acquire(start, second)
	require.Equal(t, "cold", onlyPermit(t, s).Target)
	for i, want := range []string{"e0", "e0", "e1"} {
		s.Acquire(start, request(fmt.Sprint(i), "x"))
		require.Equal(t, want, onlyPermit(t, s).Target, i)
	}
}

func TestTargetsThatTurnColdAreLimited(t *testing.T) {
	for name, turn := range map[string]func(*Controller, []Permit){
		"report": func(s *Controller, _ []Permit) {
			report := load("e0", 2, 0)
			report.Cold = true
			s.HandleLoadReport(start, report)
		},
		"first bytes": func(s *Controller, running []Permit) {
			for _, p := range running[:2] {
				slow := done(p)
				slow.FirstByte = 3 * time.Second
				s.Release(start, slow)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := warmService(1)
			running := fill(s, start, "r", 4)
			require.Equal(t, 8, stateOf(s, "e0").Limit)
			turn(s, running)
			require.Equal(t, 2, stateOf(s, "e0").Limit)
		})
	}
}
