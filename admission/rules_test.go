package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"comfreytiller.dev/chat"
	"comfreytiller.dev/target"
)

func after(d time.Duration) time.Time { return start.Add(d) }

func load(name string, sequence uint64, inFlight int) target.LoadReport {
	return target.LoadReport{Name: name, Stamp: target.Stamp{Incarnation: 1, Sequence: sequence}, InFlight: inFlight}
}

// fill asks for n permits of chats without memory and returns those granted.
func fill(s *Service, now time.Time, prefix string, n int) []Permit {
	for i := range n {
		s.Acquire(now, request(fmt.Sprintf("%s%d", prefix, i), ""))
	}
	return permitsOf(s.Effects())
}

func permitsOf(effects []Effect) []Permit {
	var permits []Permit
	for _, effect := range effects {
		if effect.Permit != nil {
			permits = append(permits, *effect.Permit)
		}
	}
	return permits
}

func refusalsOf(effects []Effect) map[string]RefusalCode {
	codes := map[string]RefusalCode{}
	for _, effect := range effects {
		if effect.Refusal != nil {
			codes[effect.Refusal.RequestID] = effect.Refusal.Code
		}
	}
	return codes
}

func stateOf(s *Service, name string) TargetStatus {
	for _, status := range s.Status().Targets {
		if status.Name == name {
			return status
		}
	}
	return TargetStatus{}
}

// Reports that still show idle targets raise nothing; work that was not granted
// here lowers the target it is on.
func TestLaggingReportsCauseNoHerd(t *testing.T) {
	s := warmService(4)
	for i := range 16 {
		s.Acquire(start, request(fmt.Sprintf("r%d", i), ""))
		s.Load(start, load("e0", uint64(i+2), 0))
	}
	require.Len(t, permitsOf(s.Effects()), 16)
	for _, status := range s.Status().Targets {
		require.Equal(t, 4, status.InFlight)
	}
	s.Load(start, load("e1", 2, 9))
	require.Equal(t, 8-5, stateOf(s, "e1").Limit)
	for _, p := range permitsOf(nil) {
		s.Release(start, done(p))
	}
	s.Load(after(time.Second), load("e1", 3, 4))
	require.Equal(t, 8, stateOf(s, "e1").Limit)
}

func TestSilentTargetIsSuspectThenGoneAndComesBackWarm(t *testing.T) {
	s := warmService(2)
	s.Acquire(start, request("a", "chat"))
	p := onlyPermit(t, s)
	s.Release(start, done(p))
	other := map[string]string{"e0": "e1", "e1": "e0"}[p.Target]
	s.Load(after(2*time.Second), load(other, 2, 0))
	s.Acquire(after(3*time.Second), request("b", "chat"))
	require.Equal(t, other, onlyPermit(t, s).Target)
	require.Equal(t, "Suspect", stateOf(s, p.Target).State)
	s.Tick(after(20 * time.Second))
	require.Equal(t, "Gone", stateOf(s, p.Target).State)
	for i, name := range []string{"e0", "e1"} {
		require.True(t, s.Load(after(21*time.Second), load(name, 9, 0)), i)
	}
	s.Acquire(after(21*time.Second), request("c", "chat"))
	back := onlyPermit(t, s)
	require.Equal(t, p.Target, back.Target)
	require.Equal(t, "Home", back.Reason)
	s.Announce(after(22*time.Second), announcement(p.Target, 2, 1))
	s.Acquire(after(22*time.Second), request("d", "chat"))
	require.Equal(t, other, onlyPermit(t, s).Target, "its cache is lost with the incarnation")
}

func TestTargetsLongGoneAreForgotten(t *testing.T) {
	s := warmService(3)
	s.Tick(after(DefaultForgetAfter + time.Minute))
	require.Empty(t, s.Status().Targets)
	s.Announce(after(20*time.Minute), announcement("e9", 1, 1))
	s.Acquire(after(20*time.Minute), request("a", "chat"))
	require.Equal(t, "e9", onlyPermit(t, s).Target)
	require.LessOrEqual(t, len(s.targets), 3, "the slots are used again")
}

func TestFailingTargetGetsOneProbe(t *testing.T) {
	s := warmService(1, WithHeartbeat(time.Hour, time.Hour))
	fail := func(now time.Time, permits []Permit) {
		for _, p := range permits {
			failed := done(p)
			failed.Outcome = OutcomeFailed
			s.Release(now, failed)
		}
	}
	fail(start, fill(s, start, "a", 3))
	require.Empty(t, fill(s, after(999*time.Millisecond), "b", 2))
	s.Tick(after(time.Second))
	probe := permitsOf(s.Effects())
	require.Len(t, probe, 1, "a single probe")
	fail(after(time.Second), probe)
	s.Tick(after(2900 * time.Millisecond))
	require.Empty(t, permitsOf(s.Effects()), "the wait doubles")
	s.Acquire(after(3*time.Second), request("c", ""))
	probe = permitsOf(s.Effects())
	require.Len(t, probe, 1)
	s.Release(after(3*time.Second), done(probe[0]))
	require.Len(t, fill(s, after(3*time.Second), "d", 4), 5, "c and all of d: it is closed again")
}

// Requests asked for twice, late or in another order than they were sent.
func TestRepeatedAndCrossedMessages(t *testing.T) {
	s := warmService(1)
	s.Acquire(start, request("a", ""))
	first := onlyPermit(t, s)
	s.Acquire(start, request("a", ""))
	require.Equal(t, first, onlyPermit(t, s))
	require.Equal(t, 1, s.Status().InFlight)
	s.Release(start, done(first))
	s.Release(start, done(first))
	s.Release(start, Release{RequestID: "unknown", Target: "e0"})
	require.Zero(t, s.Status().InFlight)
	s.Acquire(start, request("c", ""))
	require.Equal(t, "c", onlyPermit(t, s).RequestID)
	s.Release(start, Release{RequestID: "c", Outcome: OutcomeUnsent})
	require.Zero(t, s.Status().InFlight, "its host need not know the target")
	s.Acquire(start, request("a", ""))
	s.Cancel(start, "b")
	s.Acquire(start, request("b", ""))
	require.Equal(t, map[string]RefusalCode{"a": RefusedCancelled, "b": RefusedCancelled}, refusalsOf(s.Effects()))
	require.Zero(t, s.Status().InFlight)
}

func TestUnsentPermitLeavesTheChatWhereItWas(t *testing.T) {
	s := warmService(3)
	s.Acquire(start, request("a", "chat"))
	p := onlyPermit(t, s)
	s.Release(start, done(p))
	retry := request("b", "chat")
	retry.Exclude = []string{p.Target}
	s.Acquire(start, retry)
	unsent := done(onlyPermit(t, s))
	unsent.Outcome = OutcomeUnsent
	s.Release(start, unsent)
	s.Acquire(start, request("c", "chat"))
	require.Equal(t, p.Target, onlyPermit(t, s).Target)
}

// A displaced chat's permit names where its context can be had, if both engines
// move contexts.
func TestPermitNamesTheHolderOfTheContext(t *testing.T) {
	for _, moving := range [][]string{{"e0", "e1"}, {"e0"}, {"e1"}, nil} {
		s := warmService(2)
		moves := len(moving) == 2
		for i := range 2 {
			a := announcement(fmt.Sprintf("e%d", i), 1, 2)
			a.SupportsCacheTransfer, a.Address = slices.Contains(moving, a.Name), a.Name
			s.Announce(start, a)
		}
		s.Acquire(start, request("a", "chat"))
		first := onlyPermit(t, s)
		require.Empty(t, first.CacheFrom)
		s.Acquire(start, request("full", "chat"))
		s.Acquire(start, request("c", "chat"))
		require.Len(t, permitsOf(s.Effects()), map[bool]int{true: 2, false: 1}[slices.Contains(moving, first.Target)], "it waits only where the context can't move")
		s.Cancel(start, "c")
		s.Effects()
		config := reviews()
		config.TargetsOut = map[string]bool{first.Target: true}
		s.Configure(start, config)
		s.memory.Use(start, chat.KeyOf("chat"), s.targets[s.byName[first.Target]].place, false)
		s.Acquire(start, request("b", "chat"))
		require.Equal(t, moves, onlyPermit(t, s).CacheFrom == first.Target)
	}
}

func TestRequestThatTriedEveryTargetIsRefused(t *testing.T) {
	s := warmService(2)
	r := request("a", "chat")
	r.Exclude = []string{"e0", "e1", "e0"}
	s.Acquire(start, r)
	require.Equal(t, map[string]RefusalCode{"a": RefusedNoTarget}, refusalsOf(s.Effects()))
}

func TestRefusalsOfWhatTheTextDoesNotAllow(t *testing.T) {
	s := warmService(1)
	for want, change := range map[RefusalCode]func(*Request){
		RefusedUnknownService:   func(r *Request) { r.Service = "Letters" },
		RefusedUnknownWorkspace: func(r *Request) { r.Workspace = "Other" },
		RefusedDeadline:         func(r *Request) { r.Deadline = start },
	} {
		r := request(string(want), "")
		change(&r)
		s.Acquire(start, r)
		require.Equal(t, map[string]RefusalCode{r.ID: want}, refusalsOf(s.Effects()))
	}
	fill(s, start, "r", 9)
	config := reviews()
	config.Workspaces = config.Workspaces[1:]
	s.Configure(start, config)
	require.Equal(t, map[string]RefusalCode{"r8": RefusedUnknownWorkspace}, refusalsOf(s.Effects()))
	require.Contains(t, s.workspaces, "Rabat", "its requests run on")
	s.ReleaseHost(start, "h1")
	s.Configure(start, config)
	require.NotContains(t, s.workspaces, "Rabat")
}

// A leave that is older than the newest announcement, and a copy that is older
// than what the target itself told, change nothing.
func TestOldNewsChangeNothing(t *testing.T) {
	s := warmService(1)
	old := s.Export(start, 0)
	s.Announce(start, announcement("e0", 1, 5))
	same := s.Export(start, 0)
	s.Leave(start, target.Leave{Name: "e0", Stamp: target.Stamp{Incarnation: 1, Sequence: 4}})
	require.Equal(t, "Ready", stateOf(s, "e0").State)
	report := load("e0", 6, 0)
	report.Cold = true
	s.Load(start, report)
	old.Targets[0].Left = true
	s.Import(start, old)
	s.Import(start, same)
	require.Equal(t, TargetStatus{State: "Warming", Limit: 2}, TargetStatus{State: stateOf(s, "e0").State, Limit: stateOf(s, "e0").Limit})
}

// A backup keeps bounded copies and gives a new owner the targets and chats; the
// targets get work once they are heard of.
func TestBackupGivesANewOwnerWhatItNeeds(t *testing.T) {
	s, backup := warmService(3), New(reviews(), 0)
	places := map[string]string{}
	for i := range 20 {
		chat := fmt.Sprintf("c%d", i)
		s.Acquire(start, request("r"+chat, chat))
		p := onlyPermit(t, s)
		places[chat] = p.Target
		s.Release(start, done(p))
		copied := s.Export(start, 7)
		require.LessOrEqual(t, len(copied.Chats.Entries), 7)
		require.Len(t, copied.Targets, map[bool]int{true: 3, false: 0}[i == 0], "only what changed")
		backup.Import(start, copied)
	}
	next := New(reviews(), 4)
	next.Import(after(time.Second), backup.Export(after(time.Second), 0))
	next.Adopted(after(time.Second))
	require.Equal(t, "Suspect", stateOf(next, "e0").State)
	for i := range 3 {
		require.True(t, next.Load(after(time.Second), load(fmt.Sprintf("e%d", i), 9, 0)))
	}
	for chat, place := range places {
		next.Acquire(after(time.Second), request("again"+chat, chat))
		p := onlyPermit(t, next)
		require.Equal(t, place, p.Target)
		require.True(t, p.Warm)
		next.Release(after(time.Second), done(p))
	}
	require.Equal(t, 8, stateOf(next, "e0").Limit)
	require.Len(t, next.Export(after(time.Second), 1).Targets, 3)
	require.Empty(t, next.Export(after(2*time.Second), 1).Targets)
	require.Len(t, next.Export(after(time.Second+exportAgain), 1).Targets, 3, "a copy may have been lost")
}

// The copy of an owner that hands over may come after the targets' own news.
func TestLateHandoverStillGivesTheWarmUpProgress(t *testing.T) {
	s := New(reviews(), 4)
	s.Announce(start, announcement("e0", 1, 1))
	require.Equal(t, 2, stateOf(s, "e0").Limit)
	s.Import(start, warmService(1).Export(start, 0))
	require.Equal(t, 8, stateOf(s, "e0").Limit)
}

// What an earlier owner had in flight on a target shows what it can bear.
func TestAdoptedWorkShowsHowWarmATargetIs(t *testing.T) {
	earlier, s := warmService(1), New(reviews(), 9)
	for _, p := range fill(earlier, start, "r", 5) {
		s.Adopt(start, p)
	}
	s.Adopted(start)
	require.Equal(t, "Unannounced", stateOf(s, "e0").State)
	s.Announce(start, announcement("e0", 1, 2))
	require.Equal(t, TargetStatus{InFlight: 5, Limit: 5}, TargetStatus{InFlight: stateOf(s, "e0").InFlight, Limit: stateOf(s, "e0").Limit})
}

func TestMetricsCountDecisions(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	s := warmService(1, WithScope(scope))
	fill(s, start, "r", 8+16+1)
	s.Tick(start)
	snapshot := scope.Snapshot()
	require.Equal(t, int64(8), snapshot.Counters()["permits+reason=LeastLoaded"].Value())
	require.Equal(t, int64(1), snapshot.Counters()["refusals+code=QueueFull"].Value())
	require.Equal(t, 16.0, snapshot.Gauges()["queue_depth+"].Value())
	require.Equal(t, 1.0, snapshot.Gauges()["max_over_mean+"].Value())
}

// The same messages at the same times give the same effects.
func TestSameInputGivesTheSameOutput(t *testing.T) {
	run := func() []string {
		var lines []string
		m := newModel(1, vernici(), 6)
		m.onGrant = func(p Permit, _ time.Duration) { lines = append(lines, p.RequestID+p.Target+p.Reason) }
		for _, e := range m.engines {
			m.join(e)
		}
		for i := range 400 {
			m.after(time.Duration(i)*10*time.Millisecond, func() { m.ask(fmt.Sprintf("w%d", i%10), fmt.Sprintf("chat-%d", i%40)) })
		}
		m.after(2*time.Second, func() { m.owner.ReleaseHost(m.now, "h3") })
		m.after(3*time.Second, func() { m.takeOut(map[string]bool{"A": true}) })
		m.runUntil(after(20 * time.Second))
		return lines
	}
	require.Equal(t, run(), run())
}
