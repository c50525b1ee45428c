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

// step does one random thing to the world.
func (w *world) step() {
	switch rapid.SampledFrom([]string{
		"acquire", "acquire", "acquire", "acquire", "done", "done", "done", "fail", "unsent", "withdraw", "repeat", "cancel", "time",
		"announce", "restart", "late", "load", "cold", "outside", "leave", "domain", "target", "host", "takeover",
		"handover", "resume", "copy", "cache", "limits",
	}).Draw(w.t, "step") {
	case "acquire":
		w.acquire(w.newRequest())
	case "done":
		w.release(OutcomeDone, rapid.SampledFrom([]time.Duration{time.Millisecond, 5 * time.Second}).Draw(w.t, "first byte"))
	case "fail":
		w.release(OutcomeFailed, 0)
	case "unsent":
		w.release(OutcomeUnsent, 0)
	case "withdraw":
		w.withdraw()
	case "repeat":
		w.repeat()
	case "cancel":
		w.owner.Cancel(w.now, fmt.Sprintf("r%d", rapid.IntRange(0, w.next).Draw(w.t, "cancelled")))
		delete(w.waiting, "none")
	case "time":
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(w.t, "ms")) * time.Millisecond)
		w.owner.Tick(w.now)
	case "announce":
		w.announce(w.some("announcing"), false)
	case "restart":
		e := w.some("restarting")
		e.incarnation++
		e.events = 0
		if rapid.Bool().Draw(w.t, "announces") {
			w.announce(e, rapid.Bool().Draw(w.t, "cold"))
		}
	case "late":
		w.late(w.some("late"))
	case "load":
		w.load(w.some("loaded"), false, 0)
	case "cold":
		w.load(w.some("cold"), true, 0)
	case "outside":
		w.load(w.some("outside"), false, 5)
	case "leave":
		e := w.some("leaving")
		if e.announced == e.incarnation {
			e.sequence++
			e.left = true
			w.owner.HandleLeave(w.now, target.Leave{Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.sequence}})
		}
	case "domain":
		domain := rapid.SampledFrom([]string{"A", "B", "C"}).Draw(w.t, "domain")
		w.configure(func(c *Config) { c.DomainsOut[domain] = !c.DomainsOut[domain] })
	case "target":
		name := w.some("out").name
		w.configure(func(c *Config) { c.TargetsOut[name] = !c.TargetsOut[name] })
	case "limits":
		limit := rapid.IntRange(2, 9).Draw(w.t, "limit")
		w.configure(func(c *Config) { c.Service.Limits.InFlightPerTarget = limit })
	case "host":
		w.loseHost(fmt.Sprintf("h%d", rapid.IntRange(0, 3).Draw(w.t, "host")))
	case "takeover":
		w.takeOver(false)
	case "handover":
		w.takeOver(true)
	case "resume":
		w.suspend()
		w.owner.CompleteAdoption(w.now)
	case "copy":
		w.backup.Import(w.now, w.owner.Export(w.now, rapid.IntRange(1, 5).Draw(w.t, "chats")))
	case "cache":
		w.cache(w.some("cached"))
	}
	w.settle()
}

// suspend ends the owner's grants; the hosts ask again for what waits.
func (w *world) suspend() {
	w.owner.Suspend(w.now)
	for _, effect := range w.owner.TakeEffects() {
		require.Equal(w.t, RefusedNotOwner, effect.Refusal.Code)
		w.owner.Acquire(w.now, w.waiting[effect.Refusal.RequestID])
	}
	for id := range w.waiting {
		require.Contains(w.t, w.owner.queue.waiting, id)
	}
}

func (w *world) newRequest() Request {
	w.next++
	r := request(fmt.Sprintf("r%d", w.next), fmt.Sprintf("c%d", rapid.IntRange(0, 30).Draw(w.t, "chat")))
	r.Host = fmt.Sprintf("h%d", rapid.IntRange(0, 3).Draw(w.t, "host"))
	r.Workspace = rapid.SampledFrom([]string{"Rabat", "Fes", "Other"}).Draw(w.t, "workspace")
	r.Priority = rapid.IntRange(0, 2).Draw(w.t, "priority")
	r.Deadline = w.now.Add(time.Duration(rapid.IntRange(0, 9).Draw(w.t, "deadline")) * time.Second)
	if rapid.IntRange(0, 3).Draw(w.t, "excludes") == 3 {
		r.Exclude = []string{w.some("excluded").name}
	}
	return r
}

// repeat sends a request again that waits or holds a permit.
func (w *world) repeat() {
	for _, id := range slices.Sorted(maps.Keys(w.waiting)) {
		w.owner.Acquire(w.now, w.waiting[id])
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.permits)) {
		p := w.permits[id]
		w.owner.Acquire(w.now, Request{ID: id, Host: p.Host, Service: p.Service, Workspace: p.Workspace, Chat: p.Chat})
		return
	}
}

// late delivers an announcement once more that is older than the newest one
// that the present owner was told of.
func (w *world) late(e *engine) {
	if len(e.old) < 2 || !e.known {
		return
	}
	old := e.old[rapid.IntRange(max(0, len(e.old)-3), len(e.old)-1).Draw(w.t, "old")]
	newest := w.owner.targets[w.owner.byName[e.name]].announced
	if newest.After(old.Stamp) {
		require.False(w.t, w.owner.HandleAnnouncement(w.now, old))
	}
	if newest == old.Stamp && !e.left && !e.replaced {
		require.True(w.t, w.owner.HandleAnnouncement(w.now, old))
		e.heard = w.now
	}
}

func (w *world) cache(e *engine) {
	e.events += uint64(rapid.IntRange(0, 2).Draw(w.t, "gap"))
	w.owner.HandleCacheEvent(w.now, target.CacheEvent{
		Name: e.name, Stamp: target.Stamp{Incarnation: e.incarnation, Sequence: e.events},
		Change: rapid.SampledFrom([]target.CacheChange{target.CacheStored, target.CacheEvicted, target.CacheCleared}).Draw(w.t, "change"),
		Chats:  []string{fmt.Sprintf("c%d", rapid.IntRange(0, 30).Draw(w.t, "chat"))},
	})
	if e.known && e.announced < e.incarnation {
		e.replaced = true
	}
}

func (w *world) configure(change func(*Config)) {
	w.config.DomainsOut = maps.Clone(w.config.DomainsOut)
	w.config.TargetsOut = maps.Clone(w.config.TargetsOut)
	change(&w.config)
	w.owner.Configure(w.now, w.config)
	w.backup.Configure(w.now, w.config)
}

func (w *world) loseHost(host string) {
	w.owner.ReleaseHost(w.now, host)
	maps.DeleteFunc(w.permits, func(_ string, p Permit) bool { return p.Host == host })
	maps.DeleteFunc(w.waiting, func(_ string, r Request) bool { return r.Host == host })
}

// The load bound, the warm-up limit, the drain and the one final answer hold
// against joins, flaps, restarts, drains, colds, lags, lost hosts and owners.
func TestRulesHoldAgainstRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(100, 200).Draw(t, "steps") {
			w.step()
		}
		w.now = w.now.Add(time.Minute)
		w.owner.Tick(w.now)
		w.settle()
		require.Empty(t, w.waiting, "requests without an answer")
		require.Zero(t, w.owner.queue.len())
	})
}

// withdraw takes a permit back before it leaves, and asks for it again.
func (w *world) withdraw() {
	for _, id := range slices.Sorted(maps.Keys(w.permits)) {
		p := w.permits[id]
		delete(w.permits, id)
		delete(w.answered, id)
		w.owner.Withdraw(w.now, id)
		w.settle()
		w.acquire(Request{ID: id, Host: p.Host, Service: p.Service, Workspace: p.Workspace, Chat: p.Chat})
		return
	}
}
