package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/chat"
)

// All targets start cold: each gets its cold limit, which grows with the completed
// requests until the service is warm.
func TestWarmUp_AllTargetsColdMakesProgress(t *testing.T) {
	c := New(testConfig(), 1)
	c.CompleteAdoption(start)
	for i := range 3 {
		c.HandleAnnouncement(start, newAnnouncement(fmt.Sprintf("e%d", i), 1, 1))
	}
	running := acquireMany(c, start, "r", 14)
	require.Len(t, running, 6)
	for ended := 0; ended < 200 && len(running) > 0; ended++ {
		c.Release(start, doneRelease(running[0]))
		running = append(running[1:], permitsOf(c.TakeEffects())...)
	}
	require.Empty(t, running)
	require.Zero(t, c.queue.len())
	require.Equal(t, 1.0, targetStatusOf(c, "e0").WarmUpProgress)
}

// While a third of the targets restarts cold, the others may take more than the mean
// over all targets would allow.
func TestBound_ColdTargetDoesNotLimitWarmTargets(t *testing.T) {
	c := newWarmController(2)
	c.HandleAnnouncement(start, newAnnouncement("cold", 1, 1))
	require.Len(t, acquireMany(c, start, "r", 30), 8+8+2)
	require.Equal(t, "Warming", c.candidates[c.byName["cold"]].CheckCapacity(unlimited).String())
}

// While a target within the mean over all targets has room, no other target may exceed
// that bound, even if a cold target is full.
func TestBound_FullColdTargetDoesNotRaiseBound(t *testing.T) {
	c := newWarmController(2, WithWarmWait(0))
	c.locations.RecordUse(start, chat.KeyOf("x"), c.targets[c.byName["e0"]].instance, false)
	c.HandleAnnouncement(start, newAnnouncement("cold", 1, 1))
	require.Len(t, acquireMany(c, start, "r", 3), 3)
	second := newRequest("second", "")
	second.Exclude = []string{"e0", "e1"}
	c.Acquire(start, second)
	require.Equal(t, "cold", onlyPermit(t, c).Target)
	for i, want := range []string{"e0", "e0", "e1"} {
		c.Acquire(start, newRequest(fmt.Sprint(i), "x"))
		require.Equal(t, want, onlyPermit(t, c).Target, i)
	}
}

func TestWarmUp_TargetTurningColdIsLimited(t *testing.T) {
	for name, turnCold := range map[string]func(*Controller, []Permit){
		"report": func(c *Controller, _ []Permit) {
			report := newLoadReport("e0", 2, 0)
			report.Cold = true
			c.HandleLoadReport(start, report)
		},
		"first bytes": func(c *Controller, running []Permit) {
			for _, p := range running[:2] {
				slow := doneRelease(p)
				slow.FirstByte = 3 * time.Second
				c.Release(start, slow)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newWarmController(1)
			running := acquireMany(c, start, "r", 4)
			require.Equal(t, 8, targetStatusOf(c, "e0").Limit)
			turnCold(c, running)
			require.Equal(t, 2, targetStatusOf(c, "e0").Limit)
		})
	}
}
