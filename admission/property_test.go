package admission

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"comfreytiller.dev/target"
)

// step performs one random action.
func (m *referenceModel) step() {
	switch rapid.SampledFrom([]string{
		"acquire", "acquire", "acquire", "acquire", "done", "done", "done", "fail", "unsent", "withdraw", "repeat", "cancel", "time",
		"announce", "restart", "late", "load", "cold", "outside", "leave", "domain", "target", "host", "takeover",
		"handover", "resume", "copy", "cache", "limits",
	}).Draw(m.t, "step") {
	case "acquire":
		m.acquire(m.newRequest())
	case "done":
		m.release(OutcomeDone, rapid.SampledFrom([]time.Duration{time.Millisecond, 5 * time.Second}).Draw(m.t, "first byte"))
	case "fail":
		m.release(OutcomeFailed, 0)
	case "unsent":
		m.release(OutcomeUnsent, 0)
	case "withdraw":
		m.withdraw()
	case "repeat":
		m.resendRequest()
	case "cancel":
		m.owner.Cancel(m.now, fmt.Sprintf("r%d", rapid.IntRange(0, m.requestCount).Draw(m.t, "cancelled")))
		delete(m.waiting, "none")
	case "time":
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(m.t, "ms")) * time.Millisecond)
		m.owner.Tick(m.now)
	case "announce":
		m.announce(m.drawEngine("announcing"), false)
	case "restart":
		e := m.drawEngine("restarting")
		e.incarnation++
		e.lastCacheEvent = 0
		if rapid.Bool().Draw(m.t, "announces") {
			m.announce(e, rapid.Bool().Draw(m.t, "cold"))
		}
	case "late":
		m.replayAnnouncement(m.drawEngine("late"))
	case "load":
		m.reportLoad(m.drawEngine("loaded"), false, 0)
	case "cold":
		m.reportLoad(m.drawEngine("cold"), true, 0)
	case "outside":
		m.reportLoad(m.drawEngine("outside"), false, 5)
	case "leave":
		e := m.drawEngine("leaving")
		if e.announcedIncarnation == e.incarnation {
			e.sequence++
			e.left = true
			m.owner.HandleLeave(m.now, target.Leave{Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.sequence}})
		}
	case "domain":
		domain := rapid.SampledFrom([]string{"A", "B", "C"}).Draw(m.t, "domain")
		m.configure(func(c *Config) { c.DomainsOut[domain] = !c.DomainsOut[domain] })
	case "target":
		name := m.drawEngine("out").name
		m.configure(func(c *Config) { c.TargetsOut[name] = !c.TargetsOut[name] })
	case "limits":
		limit := rapid.IntRange(2, 9).Draw(m.t, "limit")
		m.configure(func(c *Config) { c.Service.Limits.InFlightPerTarget = limit })
	case "host":
		m.closeHostSession(fmt.Sprintf("h%d", rapid.IntRange(0, 3).Draw(m.t, "host")))
	case "takeover":
		m.takeOver(false)
	case "handover":
		m.takeOver(true)
	case "resume":
		m.suspend()
		m.owner.CompleteAdoption(m.now)
	case "copy":
		m.backup.Import(m.now, m.owner.Export(m.now, rapid.IntRange(1, 5).Draw(m.t, "chats")))
	case "cache":
		m.sendCacheEvent(m.drawEngine("cached"))
	}
	m.checkEffects()
}

// suspend stops the owner's grants; the hosts request the refused permits again.
func (m *referenceModel) suspend() {
	m.owner.Suspend(m.now)
	for _, effect := range m.owner.TakeEffects() {
		require.Equal(m.t, RefusedNotOwner, effect.Refusal.Code)
		m.owner.Acquire(m.now, m.waiting[effect.Refusal.RequestID])
	}
	for id := range m.waiting {
		require.Contains(m.t, m.owner.queue.byID, id)
	}
}

func (m *referenceModel) newRequest() Request {
	m.requestCount++
	r := newRequest(fmt.Sprintf("r%d", m.requestCount), fmt.Sprintf("c%d", rapid.IntRange(0, 30).Draw(m.t, "chat")))
	r.Host = fmt.Sprintf("h%d", rapid.IntRange(0, 3).Draw(m.t, "host"))
	r.Workspace = rapid.SampledFrom([]string{"Rabat", "Fes", "Other"}).Draw(m.t, "workspace")
	r.Priority = rapid.IntRange(0, 2).Draw(m.t, "priority")
	r.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 9).Draw(m.t, "deadline")) * time.Second)
	if rapid.IntRange(0, 3).Draw(m.t, "excludes") == 3 {
		r.Exclude = []string{m.drawEngine("excluded").name}
	}
	return r
}

// resendRequest repeats a request that is queued or holds a permit.
func (m *referenceModel) resendRequest() {
	for _, id := range slices.Sorted(maps.Keys(m.waiting)) {
		m.owner.Acquire(m.now, m.waiting[id])
		return
	}
	for _, id := range slices.Sorted(maps.Keys(m.permits)) {
		p := m.permits[id]
		m.owner.Acquire(m.now, Request{ID: id, Host: p.Host, Service: p.Service, Workspace: p.Workspace, Chat: p.Chat})
		return
	}
}

// replayAnnouncement delivers one of the last announcements again, most often one that
// is older than the newest announcement known to the current owner.
func (m *referenceModel) replayAnnouncement(e *referenceEngine) {
	if len(e.sentAnnouncements) < 2 || !e.known {
		return
	}
	old := e.sentAnnouncements[rapid.IntRange(max(0, len(e.sentAnnouncements)-3), len(e.sentAnnouncements)-1).Draw(m.t, "old")]
	newest := m.owner.targets[m.owner.byName[e.name]].membershipStamp
	if newest.After(old.Stamp) {
		require.False(m.t, m.owner.HandleAnnouncement(m.now, old))
	}
	if newest == old.Stamp && !e.left && !e.superseded {
		require.True(m.t, m.owner.HandleAnnouncement(m.now, old))
		e.lastSeen = m.now
	}
}

func (m *referenceModel) sendCacheEvent(e *referenceEngine) {
	e.lastCacheEvent += uint64(rapid.IntRange(0, 2).Draw(m.t, "gap"))
	m.owner.HandleCacheEvent(m.now, target.CacheEvent{
		Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.lastCacheEvent},
		Change: rapid.SampledFrom([]target.CacheChange{target.CacheStored, target.CacheEvicted, target.CacheCleared}).Draw(m.t, "change"),
		Chats:  []string{fmt.Sprintf("c%d", rapid.IntRange(0, 30).Draw(m.t, "chat"))},
	})
	if e.known && e.announcedIncarnation < e.incarnation {
		e.superseded = true
	}
}

func (m *referenceModel) configure(change func(*Config)) {
	m.config.DomainsOut = maps.Clone(m.config.DomainsOut)
	m.config.TargetsOut = maps.Clone(m.config.TargetsOut)
	change(&m.config)
	m.owner.Configure(m.now, m.config)
	m.backup.Configure(m.now, m.config)
}

func (m *referenceModel) closeHostSession(host string) {
	m.owner.ReleaseHost(m.now, host)
	maps.DeleteFunc(m.permits, func(_ string, p Permit) bool { return p.Host == host })
	maps.DeleteFunc(m.waiting, func(_ string, r Request) bool { return r.Host == host })
}

// Checks the load bound, the warm-up limit, the drain and that each request gets
// exactly one final answer, under joins, flaps, restarts, drains, cold targets,
// delayed reports, lost hosts and owner changes.
func TestController_InvariantsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newReferenceModel(t)
		for range rapid.IntRange(100, 200).Draw(t, "steps") {
			m.step()
		}
		m.now = m.now.Add(time.Minute)
		m.owner.Tick(m.now)
		m.checkEffects()
		require.Empty(t, m.waiting, "requests without a final answer")
		require.Zero(t, m.owner.queue.len())
	})
}

// withdraw takes back a permit that was not sent, and requests it again.
func (m *referenceModel) withdraw() {
	for _, id := range slices.Sorted(maps.Keys(m.permits)) {
		p := m.permits[id]
		delete(m.permits, id)
		delete(m.answered, id)
		m.owner.Withdraw(m.now, id)
		m.checkEffects()
		m.acquire(Request{ID: id, Host: p.Host, Service: p.Service, Workspace: p.Workspace, Chat: p.Chat})
		return
	}
}
