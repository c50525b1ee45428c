package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/placement"
)

// drained returns a fleet whose first target is taken out, and n chats on it; a
// chat with a higher number has been silent for longer.
func drained(n int, change func(*placement.HandoverLimits)) (*fakeFleet, []placement.ChatState) {
	limits := placement.DefaultHandoverLimits()
	limits.BatchBytes = 2 * gibibyte
	change(&limits)
	text := textOf(service("Reviews", "large", "1", 2, 1))
	all := engines(4, "a")
	for _, e := range all {
		e.serving(&text.Services[0])
	}
	f := newFakeFleet(text, all, placement.WithHandover(limits))
	f.run(20)
	f.out["engine-000"] = true
	f.configure()
	var chats []placement.ChatState
	for i := range n {
		chats = append(chats, placement.ChatState{
			Chat: fmt.Sprintf("chat-%02d", i), Bytes: gibibyte, Turns: 5,
			LastUsed: f.now.Add(-time.Duration(i) * 5 * time.Minute),
		})
	}
	return f, chats
}

func (f *fakeFleet) movedChats() []string {
	var names []string
	for _, m := range f.moved {
		names = append(names, m.Chats...)
	}
	return names
}

func TestHandoverHottestFirstWhileItPays(t *testing.T) {
	f, chats := drained(30, func(*placement.HandoverLimits) {})
	f.planner.ObserveChats(f.now, "engine-000", chats)
	f.run(60)
	moved := f.movedChats()
	require.Equal(t, []string{"chat-00", "chat-01", "chat-02"}, moved[:3])
	// A chance of 0.195 to return pays; it halves every 20 minutes.
	require.Len(t, moved, 10)
	require.Empty(t, f.planner.Status(f.now).Handovers)
	require.True(t, f.said("handover of engine-000 ended: no other chat pays, 10 chats"))
	require.Empty(t, f.closed, "cache orders are not in the log")
	for _, o := range f.sent {
		require.NotEqual(t, o.Kind == placement.ImportCache, o.Target == "engine-000")
	}
}

func TestHandoverBudgetAndRate(t *testing.T) {
	f, chats := drained(30, func(l *placement.HandoverLimits) {
		l.BytesPerTarget, l.BytesPerSecond, l.PrefillBytesPerSecond = 15*gibibyte, gibibyte/4, 1
	})
	f.planner.ObserveChats(f.now, "engine-000", chats)
	f.run(20)
	require.LessOrEqual(t, len(f.movedChats()), 20/4+4, "the rate and two batches ahead of it")
	f.run(100)
	require.Len(t, f.movedChats(), 15)
}

func TestHandoverEnds(t *testing.T) {
	slow := func(l *placement.HandoverLimits) {
		l.BytesPerSecond, l.PrefillBytesPerSecond, l.Window = gibibyte/4, 1, 30*time.Second
	}
	ends := map[string]func(f *fakeFleet){
		"the target is gone":   func(f *fakeFleet) { f.target("engine-000").missing = true },
		"the target restarted": func(f *fakeFleet) { f.target("engine-000").restart() },
		"the target is back":   func(f *fakeFleet) { f.out["engine-000"] = false; f.configure() },
		"its time is over":     func(f *fakeFleet) { f.run(30) },
		"no other chat pays":   func(f *fakeFleet) { f.planner.ObserveChats(f.now, "engine-000", nil) },
	}
	for reason, end := range ends {
		f, chats := drained(30, slow)
		f.planner.ObserveChats(f.now, "engine-000", chats)
		f.run(5)
		end(f)
		f.run(10)
		require.True(t, f.said("handover of engine-000 ended: "+reason), reason)
		require.Empty(t, f.planner.Status(f.now).Handovers, reason)
		sent := len(f.sent)
		f.run(60)
		require.Len(t, f.sent, sent, reason)
		require.Less(t, len(f.movedChats()), 30, reason)
	}
}

func TestHandoverBeforeAnOrder(t *testing.T) {
	text := textOf(service("Reviews", "large", "1", 1, 1), service("Answers", "small", "1", 0, 1))
	f := settled(text, 3, 3)
	require.False(t, f.planner.NeedsHandover("engine-001"))
	f.pins["engine-001"] = "Answers"
	f.configure()
	f.run(2)
	require.True(t, f.planner.NeedsHandover("engine-001"))
	var chats []placement.ChatState
	for i := range 10 {
		chats = append(chats, placement.ChatState{Chat: fmt.Sprintf("chat-%d", i), Bytes: gibibyte, Turns: 9, LastUsed: f.now})
	}
	f.planner.ObserveChats(f.now, "engine-001", chats)
	f.run(40)
	require.Len(t, f.movedChats(), 10)
	for _, o := range f.sent[:10] {
		require.NotEqual(t, placement.LoadModel, o.Kind, "the order waits for the chats")
	}
	require.Equal(t, "Answers", f.target("engine-001").Service)
}

func TestHandoverGoesToAnotherTarget(t *testing.T) {
	f, chats := drained(2, func(*placement.HandoverLimits) {})
	f.target("engine-001").CachedChats = 0
	f.target("engine-001").losesAnswers = true
	f.planner.ObserveChats(f.now, "engine-000", chats)
	f.run(4)
	require.Equal(t, "engine-001", f.planner.Status(f.now).Handovers[0].Destination)
	f.target("engine-001").missing = true
	f.run(20)
	require.Len(t, f.movedChats(), 2)
	require.NotEqual(t, "engine-001", f.moved[0].To)
}
