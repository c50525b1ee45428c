package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/target"
)

// While requests of all workspaces wait, each gets its share.
func TestWaitingWorkspacesGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := reviews()
		config.Service.Limits.Queue = 1000
		shares := []int{rapid.IntRange(1, 5).Draw(t, "Rabat"), rapid.IntRange(1, 5).Draw(t, "Fes")}
		config.Workspaces[0].Share, config.Workspaces[1].Share = shares[0], shares[1]
		s := warmService(2)
		s.Configure(start, config)
		// A surge of the first workspace comes before the second asks at all.
		running := fill(s, start, "surge", 200)
		for i := range 100 {
			r := request(fmt.Sprintf("f%d", i), fmt.Sprintf("c%d", rapid.IntRange(0, 9).Draw(t, "chat")))
			r.Workspace = "Fes"
			s.Acquire(start, r)
		}
		granted := [2]float64{}
		for range 60 {
			at := rapid.IntRange(0, len(running)-1).Draw(t, "ends")
			s.Release(start, done(running[at]))
			running = append(running[:at], running[at+1:]...)
			for _, p := range permitsOf(s.TakeEffects()) {
				running = append(running, p)
				granted[map[string]int{"Rabat": 0, "Fes": 1}[p.Workspace]]++
			}
			ahead := granted[0]/float64(shares[0]) - granted[1]/float64(shares[1])
			require.LessOrEqual(t, max(ahead, -ahead), aheadMost+2.0)
		}
	})
}

// A chat whose target is at its bound waits a short time for it, then goes
// elsewhere.
func TestChatWaitsShortlyForItsFullTarget(t *testing.T) {
	for name, freed := range map[string]bool{"freed": true, "not freed": false} {
		t.Run(name, func(t *testing.T) {
			s := warmService(2)
			s.Acquire(start, request("a", "chat"))
			first := onlyPermit(t, s)
			s.Acquire(start, request("b", "chat"))
			require.Equal(t, first.Target, onlyPermit(t, s).Target)
			s.Acquire(start, request("c", "chat"))
			s.Tick(after(DefaultWarmWait - time.Millisecond))
			require.Empty(t, s.TakeEffects())
			if freed {
				s.Release(after(DefaultWarmWait-time.Millisecond), done(first))
				require.Equal(t, first.Target, onlyPermit(t, s).Target)
				return
			}
			s.Tick(after(DefaultWarmWait))
			effects := s.TakeEffects()
			require.NotEqual(t, first.Target, effects[0].Permit.Target)
			require.Equal(t, []SkippedTarget{{first.Target, "AtBound"}}, effects[0].Decision.Skipped)
			require.Contains(t, effects[0].Decision.String(), "not "+first.Target+": AtBound")
		})
	}
}

func TestPriorityThenArrivalWithinAWorkspace(t *testing.T) {
	s := warmService(1)
	running := fill(s, start, "r", 8)
	for i, priority := range []int{0, 5, 5, 9} {
		r := request(fmt.Sprintf("q%d", i), "")
		r.Priority = priority
		s.Acquire(start, r)
	}
	for i, want := range []string{"q3", "q1", "q2", "q0"} {
		s.Release(start, done(running[i]))
		require.Equal(t, want, onlyPermit(t, s).RequestID)
	}
}

func TestFullQueueRefusesAtOnceWithTheTimeToDrain(t *testing.T) {
	s := warmService(1)
	running := fill(s, start, "r", 8+16)
	s.Acquire(start, request("x", ""))
	effects := s.TakeEffects()
	require.Equal(t, RefusedQueueFull, effects[0].Refusal.Code)
	require.Equal(t, 17*5*time.Second/8, effects[0].Refusal.RetryAfter, "17 requests at 8 in 5 s")
	for i := range 4 {
		s.Release(after(time.Duration(i+1)*500*time.Millisecond), done(running[i]))
	}
	urgent := request("urgent", "")
	urgent.Priority = 1
	fill(s, after(2*time.Second), "y", 4)
	s.Acquire(after(2*time.Second), urgent)
	require.Equal(t, map[string]RefusalCode{"y3": RefusedQueueFull}, refusalsOf(s.TakeEffects()), "the last of a lower priority")
	s.TakeEffects()
	s.Acquire(after(2*time.Second), request("z", ""))
	retry := s.TakeEffects()[0].Refusal.RetryAfter
	require.InDelta(t, 17*7.0/12, retry.Seconds(), 0.01, "17 requests at 12 in 7 s")
}

// A request that was passed over, since it had tried the only target with room,
// is granted when the next grant raises the bound for the target it wants.
func TestPassedRequestMayGetItsWarmTargetInTheSameRound(t *testing.T) {
	s := warmService(2, WithWarmWait(0))
	s.memory.RecordUse(start, chat.KeyOf("x"), s.targets[s.byName["e0"]].place, false)
	for _, id := range []string{"a", "b"} {
		s.Acquire(start, request(id, "x"))
		require.Equal(t, "e0", onlyPermit(t, s).Target)
	}
	again := request("again", "x")
	again.Exclude = []string{"e1"}
	s.Acquire(start, again)
	require.Empty(t, s.TakeEffects())
	s.Acquire(start, request("other", ""))
	permits := permitsOf(s.TakeEffects())
	require.Len(t, permits, 2)
	require.Equal(t, []string{"e1", "e0"}, []string{permits[0].Target, permits[1].Target})
	require.Zero(t, s.queue.len())
	require.Zero(t, s.queue.active.len())
}

func TestNoGrantAfterTheDeadline(t *testing.T) {
	s := warmService(1)
	running := fill(s, start, "r", 8)
	late := request("late", "")
	late.Deadline = after(time.Second)
	s.Acquire(start, late)
	s.Release(after(time.Second), done(running[0]))
	require.Equal(t, map[string]RefusalCode{"late": RefusedDeadline}, refusalsOf(s.TakeEffects()))
}

func TestRequestsAreAnsweredWhenTheyAreGivenUp(t *testing.T) {
	s := warmService(1, WithHeartbeat(time.Hour, time.Hour))
	fill(s, start, "r", 8)
	short := request("short", "")
	short.Deadline = after(time.Second)
	s.Acquire(start, short)
	s.Acquire(start, request("long", ""))
	s.Acquire(start, request("cancelled", ""))
	s.Cancel(start, "cancelled")
	require.Equal(t, map[string]RefusalCode{"cancelled": RefusedCancelled}, refusalsOf(s.TakeEffects()))
	s.Tick(after(time.Second))
	require.Equal(t, map[string]RefusalCode{"short": RefusedDeadline}, refusalsOf(s.TakeEffects()))
	s.Tick(after(10 * time.Second))
	require.Equal(t, map[string]RefusalCode{"long": RefusedDeadline}, refusalsOf(s.TakeEffects()))
	s.HandleLeave(after(10*time.Second), target.Leave{Name: "e0", Stamp: target.Stamp{Incarnation: 1, Sequence: 2}})
	s.Acquire(after(11*time.Second), request("none", ""))
	s.Tick(after(12900 * time.Millisecond))
	require.Empty(t, s.TakeEffects())
	s.Tick(after(13 * time.Second))
	require.Equal(t, map[string]RefusalCode{"none": RefusedNoTarget}, refusalsOf(s.TakeEffects()))
}

// What one workspace was served ahead of its turn does not set a third one back.
func TestServingAheadOfTurnDoesNotSetOthersBack(t *testing.T) {
	q := newQueue()
	item := func(w *workspace, id string) *waiting {
		i := &waiting{request: Request{ID: id}, workspace: w, wants: -1}
		q.add(i)
		return i
	}
	ahead, behind, third := newWorkspace("ahead"), newWorkspace("behind"), newWorkspace("third")
	ahead.share, behind.share, third.share = 1, 1, 1
	item(behind, "b")
	for i := range 3 {
		q.serve(item(ahead, fmt.Sprint(i)))
	}
	item(third, "t")
	require.Equal(t, behind.start, third.start)
}

func TestEndedRequestsAreRememberedWithinBounds(t *testing.T) {
	r := newRecent()
	for i := range recentCount + 10 {
		r.add(start, fmt.Sprint(i), nil)
	}
	require.Len(t, r.byID, recentCount)
	require.NotContains(t, r.byID, "9")
	r.add(after(recentAge+time.Second), "new", nil)
	require.Len(t, r.byID, 1)
	require.Len(t, r.order, 1)
}
