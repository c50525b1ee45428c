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

func startPlus(d time.Duration) time.Time { return start.Add(d) }

func newLoadReport(name string, sequence uint64, inFlight int) target.LoadReport {
	return target.LoadReport{Name: name, Stamp: target.Stamp{Incarnation: 1, Sequence: sequence}, InFlight: inFlight}
}

// acquireMany requests n permits without a chat and returns the granted ones.
func acquireMany(c *Controller, now time.Time, prefix string, n int) []Permit {
	for i := range n {
		c.Acquire(now, newRequest(fmt.Sprintf("%s%d", prefix, i), ""))
	}
	return permitsOf(c.TakeEffects())
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

func refusalCodesOf(effects []Effect) map[string]RefusalCode {
	codes := map[string]RefusalCode{}
	for _, effect := range effects {
		if effect.Refusal != nil {
			codes[effect.Refusal.RequestID] = effect.Refusal.Code
		}
	}
	return codes
}

func targetStatusOf(c *Controller, name string) TargetStatus {
	for _, status := range c.Status().Targets {
		if status.Name == name {
			return status
		}
	}
	return TargetStatus{}
}

// Delayed load reports that still show idle targets must not raise limits, or every
// request would go to the target that seems idle (herding). Load that was not granted
// by this owner lowers the limit of its target.
func TestLoadReport_StaleReportDoesNotRaiseLimit(t *testing.T) {
	c := newWarmController(4)
	for i := range 16 {
		c.Acquire(start, newRequest(fmt.Sprintf("r%d", i), ""))
		c.HandleLoadReport(start, newLoadReport("e0", uint64(i+2), 0))
	}
	permits := permitsOf(c.TakeEffects())
	require.Len(t, permits, 16)
	for _, status := range c.Status().Targets {
		require.Equal(t, 4, status.InFlight)
	}
	c.HandleLoadReport(start, newLoadReport("e1", 2, 9))
	require.Equal(t, 8-5, targetStatusOf(c, "e1").Limit)
	c.HandleLoadReport(startPlus(time.Second), newLoadReport("e1", 3, 4))
	require.Equal(t, 8, targetStatusOf(c, "e1").Limit)
	for _, p := range permits {
		c.Release(startPlus(time.Second), doneRelease(p))
	}
	for _, status := range c.Status().Targets {
		require.Zero(t, status.InFlight, status.Name)
	}
}

func TestSilentTarget_SuspectThenGoneThenWarmAgain(t *testing.T) {
	c := newWarmController(2)
	c.Acquire(start, newRequest("a", "chat"))
	p := onlyPermit(t, c)
	c.Release(start, doneRelease(p))
	other := map[string]string{"e0": "e1", "e1": "e0"}[p.Target]
	c.HandleLoadReport(startPlus(2*time.Second), newLoadReport(other, 2, 0))
	c.Acquire(startPlus(3*time.Second), newRequest("b", "chat"))
	require.Equal(t, other, onlyPermit(t, c).Target)
	require.Equal(t, "Suspect", targetStatusOf(c, p.Target).State)
	c.Tick(startPlus(20 * time.Second))
	require.Equal(t, "Gone", targetStatusOf(c, p.Target).State)
	for i, name := range []string{"e0", "e1"} {
		require.True(t, c.HandleLoadReport(startPlus(21*time.Second), newLoadReport(name, 9, 0)), i)
	}
	c.Acquire(startPlus(21*time.Second), newRequest("c", "chat"))
	back := onlyPermit(t, c)
	require.Equal(t, p.Target, back.Target)
	require.Equal(t, "Home", back.Reason)
	c.HandleAnnouncement(startPlus(22*time.Second), newAnnouncement(p.Target, 2, 1))
	c.Acquire(startPlus(22*time.Second), newRequest("d", "chat"))
	require.Equal(t, other, onlyPermit(t, c).Target, "a new incarnation has lost its cache")
}

func TestStaleTarget_IndexIsReused(t *testing.T) {
	c := newWarmController(3)
	c.Tick(startPlus(DefaultForgetAfter + time.Minute))
	require.Empty(t, c.Status().Targets)
	c.HandleAnnouncement(startPlus(20*time.Minute), newAnnouncement("e9", 1, 1))
	c.Acquire(startPlus(20*time.Minute), newRequest("a", "chat"))
	require.Equal(t, "e9", onlyPermit(t, c).Target)
	require.LessOrEqual(t, len(c.targets), 3, "indexes of forgotten targets are reused")
}

func TestCircuit_OpenAllowsSingleProbe(t *testing.T) {
	c := newWarmController(1, WithHeartbeatTimeouts(time.Hour, time.Hour))
	fail := func(now time.Time, permits []Permit) {
		for _, p := range permits {
			failed := doneRelease(p)
			failed.Outcome = OutcomeFailed
			c.Release(now, failed)
		}
	}
	fail(start, acquireMany(c, start, "a", 3))
	require.Empty(t, acquireMany(c, startPlus(999*time.Millisecond), "b", 2))
	c.Tick(startPlus(time.Second))
	probe := permitsOf(c.TakeEffects())
	require.Len(t, probe, 1, "exactly one probe is granted")
	fail(startPlus(time.Second), probe)
	c.Tick(startPlus(2900 * time.Millisecond))
	require.Empty(t, permitsOf(c.TakeEffects()), "the backoff doubles")
	c.Acquire(startPlus(3*time.Second), newRequest("c", ""))
	probe = permitsOf(c.TakeEffects())
	require.Len(t, probe, 1)
	c.Release(startPlus(3*time.Second), doneRelease(probe[0]))
	require.Len(t, acquireMany(c, startPlus(3*time.Second), "d", 4), 5, "the circuit is closed again: c and all of d are granted")
}

// Requests and releases that arrive twice, late or out of order must not change the
// counts or produce a second permit.
func TestMessages_DuplicatedAndReordered(t *testing.T) {
	c := newWarmController(1)
	c.Acquire(start, newRequest("a", ""))
	first := onlyPermit(t, c)
	c.Acquire(start, newRequest("a", ""))
	require.Equal(t, first, onlyPermit(t, c))
	require.Equal(t, 1, c.Status().InFlight)
	c.Release(start, doneRelease(first))
	c.Release(start, doneRelease(first))
	c.Release(start, Release{RequestID: "unknown", Target: "e0"})
	require.Zero(t, c.Status().InFlight)
	c.Acquire(start, newRequest("c", ""))
	require.Equal(t, "c", onlyPermit(t, c).RequestID)
	c.Release(start, Release{RequestID: "c", Outcome: OutcomeUnsent})
	require.Zero(t, c.Status().InFlight, "a host may release a permit without knowing the target")
	c.Acquire(start, newRequest("a", ""))
	c.Cancel(start, "b")
	c.Acquire(start, newRequest("b", ""))
	require.Equal(t, map[string]RefusalCode{"a": RefusedCancelled, "b": RefusedCancelled}, refusalCodesOf(c.TakeEffects()))
	require.Zero(t, c.Status().InFlight)
}

func TestRelease_UnsentKeepsChatLocation(t *testing.T) {
	c := newWarmController(3)
	c.Acquire(start, newRequest("a", "chat"))
	p := onlyPermit(t, c)
	c.Release(start, doneRelease(p))
	retry := newRequest("b", "chat")
	retry.Exclude = []string{p.Target}
	c.Acquire(start, retry)
	unsent := doneRelease(onlyPermit(t, c))
	unsent.Outcome = OutcomeUnsent
	c.Release(start, unsent)
	c.Acquire(start, newRequest("c", "chat"))
	require.Equal(t, p.Target, onlyPermit(t, c).Target)
}

// The permit of a displaced chat names the target that holds its cached context, if
// both engines support cache transfer.
func TestPermit_CacheSourceIsLastTarget(t *testing.T) {
	for _, supporting := range [][]string{{"e0", "e1"}, {"e0"}, {"e1"}, nil} {
		c := newWarmController(2)
		bothSupport := len(supporting) == 2
		for i := range 2 {
			a := newAnnouncement(fmt.Sprintf("e%d", i), 1, 2)
			a.SupportsCacheTransfer, a.Address = slices.Contains(supporting, a.Name), a.Name
			c.HandleAnnouncement(start, a)
		}
		c.Acquire(start, newRequest("a", "chat"))
		first := onlyPermit(t, c)
		require.Empty(t, first.CacheSource)
		c.Acquire(start, newRequest("full", "chat"))
		c.Acquire(start, newRequest("c", "chat"))
		require.Len(t, permitsOf(c.TakeEffects()), map[bool]int{true: 2, false: 1}[slices.Contains(supporting, first.Target)], "the request waits only if the cached context cannot be transferred")
		c.Cancel(start, "c")
		c.TakeEffects()
		config := testConfig()
		config.TargetsOut = map[string]bool{first.Target: true}
		c.Configure(start, config)
		c.locations.RecordUse(start, chat.KeyOf("chat"), c.targets[c.byName[first.Target]].instance, false)
		c.Acquire(start, newRequest("b", "chat"))
		require.Equal(t, bothSupport, onlyPermit(t, c).CacheSource == first.Target)
	}
}

func TestAcquire_AllTargetsExcludedIsRefused(t *testing.T) {
	c := newWarmController(2)
	r := newRequest("a", "chat")
	r.Exclude = []string{"e0", "e1", "e0"}
	c.Acquire(start, r)
	require.Equal(t, map[string]RefusalCode{"a": RefusedNoTarget}, refusalCodesOf(c.TakeEffects()))
}

func TestAcquire_NotAllowedByConfigurationIsRefused(t *testing.T) {
	c := newWarmController(1)
	for want, change := range map[RefusalCode]func(*Request){
		RefusedUnknownService:   func(r *Request) { r.Service = "Letters" },
		RefusedUnknownWorkspace: func(r *Request) { r.Workspace = "Other" },
		RefusedDeadline:         func(r *Request) { r.Deadline = start },
	} {
		r := newRequest(string(want), "")
		change(&r)
		c.Acquire(start, r)
		require.Equal(t, map[string]RefusalCode{r.ID: want}, refusalCodesOf(c.TakeEffects()))
	}
	acquireMany(c, start, "r", 9)
	config := testConfig()
	config.Workspaces = config.Workspaces[1:]
	c.Configure(start, config)
	require.Equal(t, map[string]RefusalCode{"r8": RefusedUnknownWorkspace}, refusalCodesOf(c.TakeEffects()))
	require.Contains(t, c.workspaces, "Rabat", "a workspace with requests in flight is kept")
	c.ReleaseHost(start, "h1")
	c.Configure(start, config)
	require.NotContains(t, c.workspaces, "Rabat")
}

// A leave older than the latest announcement and an export older than the target's own
// messages must be ignored.
func TestStaleMessages_AreIgnored(t *testing.T) {
	c := newWarmController(1)
	old := c.Export(start, 0)
	c.HandleAnnouncement(start, newAnnouncement("e0", 1, 5))
	same := c.Export(start, 0)
	c.HandleLeave(start, target.Leave{Name: "e0", Stamp: target.Stamp{Incarnation: 1, Sequence: 4}})
	require.Equal(t, "Ready", targetStatusOf(c, "e0").State)
	report := newLoadReport("e0", 6, 0)
	report.Cold = true
	c.HandleLoadReport(start, report)
	old.Targets[0].Left = true
	c.Import(start, old)
	c.Import(start, same)
	require.Equal(t, TargetStatus{State: "Warming", Limit: 2}, TargetStatus{State: targetStatusOf(c, "e0").State, Limit: targetStatusOf(c, "e0").Limit})
}

// A backup imports bounded exports and hands the targets and chats to a new owner. The
// targets get requests after the new owner has received a message from them.
func TestExport_BackupRestoresNewOwner(t *testing.T) {
	c, backup := newWarmController(3), New(testConfig(), 0)
	targetOf := map[string]string{}
	for i := range 20 {
		chat := fmt.Sprintf("c%d", i)
		c.Acquire(start, newRequest("r"+chat, chat))
		p := onlyPermit(t, c)
		targetOf[chat] = p.Target
		c.Release(start, doneRelease(p))
		exported := c.Export(start, 7)
		require.LessOrEqual(t, len(exported.Chats.Entries), 7)
		require.Len(t, exported.Targets, map[bool]int{true: 3, false: 0}[i == 0], "only changed targets are exported")
		backup.Import(start, exported)
	}
	next := New(testConfig(), 4)
	next.Import(startPlus(time.Second), backup.Export(startPlus(time.Second), 0))
	next.CompleteAdoption(startPlus(time.Second))
	require.Equal(t, "Suspect", targetStatusOf(next, "e0").State)
	for i := range 3 {
		require.True(t, next.HandleLoadReport(startPlus(time.Second), newLoadReport(fmt.Sprintf("e%d", i), 9, 0)))
	}
	for chat, name := range targetOf {
		next.Acquire(startPlus(time.Second), newRequest("again"+chat, chat))
		p := onlyPermit(t, next)
		require.Equal(t, name, p.Target)
		require.True(t, p.Warm)
		next.Release(startPlus(time.Second), doneRelease(p))
	}
	require.Equal(t, 8, targetStatusOf(next, "e0").Limit)
	require.Len(t, next.Export(startPlus(time.Second), 1).Targets, 3)
	require.Empty(t, next.Export(startPlus(2*time.Second), 1).Targets)
	require.Len(t, next.Export(startPlus(time.Second+reexportInterval), 1).Targets, 3, "unchanged targets are exported again, since an export may be lost")
}

// The export of a handover may arrive after the target's announcement.
func TestImport_AfterAnnouncementRestoresWarmUp(t *testing.T) {
	c := New(testConfig(), 4)
	c.HandleAnnouncement(start, newAnnouncement("e0", 1, 1))
	require.Equal(t, 2, targetStatusOf(c, "e0").Limit)
	c.Import(start, newWarmController(1).Export(start, 0))
	require.Equal(t, 8, targetStatusOf(c, "e0").Limit)
}

// The permits in flight from an earlier owner show how far a target has warmed up.
func TestAdoptPermit_RaisesWarmUpProgress(t *testing.T) {
	earlier, c := newWarmController(1), New(testConfig(), 9)
	for _, p := range acquireMany(earlier, start, "r", 5) {
		c.AdoptPermit(start, p)
	}
	c.CompleteAdoption(start)
	require.Equal(t, "Unannounced", targetStatusOf(c, "e0").State)
	c.HandleAnnouncement(start, newAnnouncement("e0", 1, 2))
	require.Equal(t, TargetStatus{InFlight: 5, Limit: 5}, TargetStatus{InFlight: targetStatusOf(c, "e0").InFlight, Limit: targetStatusOf(c, "e0").Limit})
}

func TestMetrics_CountDecisions(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	c := newWarmController(1, WithScope(scope))
	acquireMany(c, start, "r", 8+16+1)
	c.Tick(start)
	snapshot := scope.Snapshot()
	require.Equal(t, int64(8), snapshot.Counters()["permits+reason=LeastLoaded"].Value())
	require.Equal(t, int64(1), snapshot.Counters()["refusals+code=QueueFull"].Value())
	require.Equal(t, 16.0, snapshot.Gauges()["queue_depth+"].Value())
	require.Equal(t, 1.0, snapshot.Gauges()["max_over_mean+"].Value())
}

// The same messages at the same times must produce the same effects.
func TestController_IsDeterministic(t *testing.T) {
	run := func() []string {
		var lines []string
		m := newSimulation(1, tenWorkspaceConfig(), 6)
		m.onGrant = func(p Permit, _ time.Duration) { lines = append(lines, p.RequestID+p.Target+p.Reason) }
		for _, e := range m.engines {
			m.join(e)
		}
		for i := range 400 {
			m.schedule(time.Duration(i)*10*time.Millisecond, func() { m.sendRequest(fmt.Sprintf("w%d", i%10), fmt.Sprintf("chat-%d", i%40)) })
		}
		m.schedule(2*time.Second, func() { m.owner.ReleaseHost(m.now, "h3") })
		m.schedule(3*time.Second, func() { m.setDomainsOut(map[string]bool{"A": true}) })
		m.runUntil(startPlus(20 * time.Second))
		return lines
	}
	require.Equal(t, run(), run())
}
