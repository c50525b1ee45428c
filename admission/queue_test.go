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

// While every workspace has queued requests, each is served in proportion to its
// share.
func TestQueue_WaitingWorkspacesGetTheirShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := testConfig()
		config.Service.Limits.Queue = 1000
		shares := []int{rapid.IntRange(1, 5).Draw(t, "Rabat"), rapid.IntRange(1, 5).Draw(t, "Fes")}
		config.Workspaces[0].Share, config.Workspaces[1].Share = shares[0], shares[1]
		c := newWarmController(2)
		c.Configure(start, config)
		// The first workspace queues a surge of requests before the second one sends
		// any.
		running := acquireMany(c, start, "surge", 200)
		for i := range 100 {
			r := newRequest(fmt.Sprintf("f%d", i), fmt.Sprintf("c%d", rapid.IntRange(0, 9).Draw(t, "chat")))
			r.Workspace = "Fes"
			c.Acquire(start, r)
		}
		granted := [2]float64{}
		for range 60 {
			at := rapid.IntRange(0, len(running)-1).Draw(t, "ends")
			c.Release(start, doneRelease(running[at]))
			running = append(running[:at], running[at+1:]...)
			for _, p := range permitsOf(c.TakeEffects()) {
				running = append(running, p)
				granted[map[string]int{"Rabat": 0, "Fes": 1}[p.Workspace]]++
			}
			ahead := granted[0]/float64(shares[0]) - granted[1]/float64(shares[1])
			require.LessOrEqual(t, max(ahead, -ahead), maxRequestsAhead+2.0)
		}
	})
}

// A request whose warm target is at the load bound waits a short time for that target
// and then runs elsewhere.
func TestDispatch_WaitsForFullWarmTarget(t *testing.T) {
	for name, freed := range map[string]bool{"freed": true, "not freed": false} {
		t.Run(name, func(t *testing.T) {
			c := newWarmController(2)
			c.Acquire(start, newRequest("a", "chat"))
			first := onlyPermit(t, c)
			c.Acquire(start, newRequest("b", "chat"))
			require.Equal(t, first.Target, onlyPermit(t, c).Target)
			c.Acquire(start, newRequest("c", "chat"))
			c.Tick(startPlus(DefaultWarmWait - time.Millisecond))
			require.Empty(t, c.TakeEffects())
			if freed {
				c.Release(startPlus(DefaultWarmWait-time.Millisecond), doneRelease(first))
				require.Equal(t, first.Target, onlyPermit(t, c).Target)
				return
			}
			c.Tick(startPlus(DefaultWarmWait))
			effects := c.TakeEffects()
			require.NotEqual(t, first.Target, effects[0].Permit.Target)
			require.Equal(t, []SkippedTarget{{first.Target, "AtBound"}}, effects[0].Decision.Skipped)
			require.Contains(t, effects[0].Decision.String(), "not "+first.Target+": AtBound")
		})
	}
}

func TestQueue_PriorityThenArrival(t *testing.T) {
	c := newWarmController(1)
	running := acquireMany(c, start, "r", 8)
	for i, priority := range []int{0, 5, 5, 9} {
		r := newRequest(fmt.Sprintf("q%d", i), "")
		r.Priority = priority
		c.Acquire(start, r)
	}
	for i, want := range []string{"q3", "q1", "q2", "q0"} {
		c.Release(start, doneRelease(running[i]))
		require.Equal(t, want, onlyPermit(t, c).RequestID)
	}
}

func TestAcquire_FullQueueReturnsRetryAfter(t *testing.T) {
	c := newWarmController(1)
	running := acquireMany(c, start, "r", 8+16)
	c.Acquire(start, newRequest("x", ""))
	effects := c.TakeEffects()
	require.Equal(t, RefusedQueueFull, effects[0].Refusal.Code)
	require.Equal(t, 17*5*time.Second/8, effects[0].Refusal.RetryAfter, "17 requests at a rate of 8 in 5 s")
	for i := range 4 {
		c.Release(startPlus(time.Duration(i+1)*500*time.Millisecond), doneRelease(running[i]))
	}
	urgent := newRequest("urgent", "")
	urgent.Priority = 1
	acquireMany(c, startPlus(2*time.Second), "y", 4)
	c.Acquire(startPlus(2*time.Second), urgent)
	require.Equal(t, map[string]RefusalCode{"y3": RefusedQueueFull}, refusalCodesOf(c.TakeEffects()), "the last request of lower priority is refused")
	c.TakeEffects()
	c.Acquire(startPlus(2*time.Second), newRequest("z", ""))
	retry := c.TakeEffects()[0].Refusal.RetryAfter
	require.InDelta(t, 17*7.0/12, retry.Seconds(), 0.01, "17 requests at a rate of 12 in 7 s")
}

// A request was skipped because it had already tried the only target with room. It
// must be granted in the same round when the next grant raises the bound of its warm
// target.
func TestDispatch_SkippedRequestGetsWarmTargetInSameRound(t *testing.T) {
	c := newWarmController(2, WithWarmWait(0))
	c.locations.RecordUse(start, chat.KeyOf("x"), c.targets[c.byName["e0"]].instance, false)
	for _, id := range []string{"a", "b"} {
		c.Acquire(start, newRequest(id, "x"))
		require.Equal(t, "e0", onlyPermit(t, c).Target)
	}
	again := newRequest("again", "x")
	again.Exclude = []string{"e1"}
	c.Acquire(start, again)
	require.Empty(t, c.TakeEffects())
	c.Acquire(start, newRequest("other", ""))
	permits := permitsOf(c.TakeEffects())
	require.Len(t, permits, 2)
	require.Equal(t, []string{"e1", "e0"}, []string{permits[0].Target, permits[1].Target})
	require.Zero(t, c.queue.len())
	require.Zero(t, c.queue.active.len())
}

func TestDispatch_NoGrantAfterDeadline(t *testing.T) {
	c := newWarmController(1)
	running := acquireMany(c, start, "r", 8)
	late := newRequest("late", "")
	late.Deadline = startPlus(time.Second)
	c.Acquire(start, late)
	c.Release(startPlus(time.Second), doneRelease(running[0]))
	require.Equal(t, map[string]RefusalCode{"late": RefusedDeadline}, refusalCodesOf(c.TakeEffects()))
}

func TestQueuedRequest_RefusedOnCancelAndExpiry(t *testing.T) {
	c := newWarmController(1, WithHeartbeat(time.Hour, time.Hour))
	acquireMany(c, start, "r", 8)
	short := newRequest("short", "")
	short.Deadline = startPlus(time.Second)
	c.Acquire(start, short)
	c.Acquire(start, newRequest("long", ""))
	c.Acquire(start, newRequest("cancelled", ""))
	c.Cancel(start, "cancelled")
	require.Equal(t, map[string]RefusalCode{"cancelled": RefusedCancelled}, refusalCodesOf(c.TakeEffects()))
	c.Tick(startPlus(time.Second))
	require.Equal(t, map[string]RefusalCode{"short": RefusedDeadline}, refusalCodesOf(c.TakeEffects()))
	c.Tick(startPlus(10 * time.Second))
	require.Equal(t, map[string]RefusalCode{"long": RefusedDeadline}, refusalCodesOf(c.TakeEffects()))
	c.HandleLeave(startPlus(10*time.Second), target.Leave{Name: "e0", Stamp: target.Stamp{Incarnation: 1, Sequence: 2}})
	c.Acquire(startPlus(11*time.Second), newRequest("none", ""))
	c.Tick(startPlus(12900 * time.Millisecond))
	require.Empty(t, c.TakeEffects())
	c.Tick(startPlus(13 * time.Second))
	require.Equal(t, map[string]RefusalCode{"none": RefusedNoTarget}, refusalCodesOf(c.TakeEffects()))
}

// A workspace that is served ahead of its turn must not delay a third workspace.
func TestQueue_ServingAheadOfTurnKeepsOtherStartTags(t *testing.T) {
	q := newQueue()
	item := func(w *workspaceQueue, id string) *queuedRequest {
		i := &queuedRequest{request: Request{ID: id}, workspace: w, warmTarget: -1}
		q.add(i)
		return i
	}
	ahead, behind, third := newWorkspaceQueue("ahead"), newWorkspaceQueue("behind"), newWorkspaceQueue("third")
	ahead.share, behind.share, third.share = 1, 1, 1
	item(behind, "b")
	for i := range 3 {
		q.serve(item(ahead, fmt.Sprint(i)))
	}
	item(third, "t")
	require.Equal(t, behind.startTag, third.startTag)
}

func TestEndedRequests_AreBounded(t *testing.T) {
	r := newEndedRequests()
	for i := range maxEndedCount + 10 {
		r.add(start, fmt.Sprint(i), nil)
	}
	require.Len(t, r.byID, maxEndedCount)
	require.NotContains(t, r.byID, "9")
	r.add(startPlus(maxEndedAge+time.Second), "new", nil)
	require.Len(t, r.byID, 1)
	require.Len(t, r.order, 1)
}
