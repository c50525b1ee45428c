package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/placement"
)

// newDrainingFleet returns a fleet whose first target is taken out of service, and
// n chats on it. A chat with a higher number has been idle for longer.
func newDrainingFleet(n int, change func(*placement.HandoverLimits)) (*fakeFleet, []placement.ChatState) {
	limits := placement.DefaultHandoverLimits()
	limits.BatchBytes = 2 * gibibyte
	change(&limits)
	config := newConfig(newService("Reviews", "large", "1", 2, 1))
	all := newEngines(4, "a")
	for _, e := range all {
		e.setService(&config.Services[0])
	}
	f := newFakeFleet(config, all, placement.WithHandover(limits))
	f.runFor(20)
	f.targetsOut["engine-000"] = true
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

func TestHandover_MostLikelyToReturnFirst(t *testing.T) {
	f, chats := newDrainingFleet(30, func(*placement.HandoverLimits) {})
	f.planner.ObserveChats(f.now, "engine-000", chats)
	f.runFor(60)
	moved := f.movedChats()
	require.Equal(t, []string{"chat-00", "chat-01", "chat-02"}, moved[:3])
	// The return probability halves every 20 minutes; down to 0.195 a chat is worth
	// moving.
	require.Len(t, moved, 10)
	require.Empty(t, f.planner.Status(f.now).Handovers)
	require.True(t, f.logContains("Handover of engine-000 ended: no other chat pays, 10 chats"))
	require.Empty(t, f.closed, "cache orders are not recorded in the log")
	for _, o := range f.sent {
		require.NotEqual(t, o.Kind == placement.ImportCache, o.Target == "engine-000")
	}
}

func TestHandover_BudgetAndRate(t *testing.T) {
	f, chats := newDrainingFleet(30, func(l *placement.HandoverLimits) {
		l.BytesPerTarget, l.BytesPerSecond, l.PrefillBytesPerSecond = 15*gibibyte, gibibyte/4, 1
	})
	f.planner.ObserveChats(f.now, "engine-000", chats)
	f.runFor(20)
	require.LessOrEqual(t, len(f.movedChats()), 20/4+4, "the rate plus two batches")
	f.runFor(100)
	require.Len(t, f.movedChats(), 15)
}

func TestHandover_EndReasons(t *testing.T) {
	slow := func(l *placement.HandoverLimits) {
		l.BytesPerSecond, l.PrefillBytesPerSecond, l.Window = gibibyte/4, 1, 30*time.Second
	}
	ends := map[string]func(f *fakeFleet){
		"the target is gone":   func(f *fakeFleet) { f.target("engine-000").missing = true },
		"the target restarted": func(f *fakeFleet) { f.target("engine-000").restart() },
		"the target is back":   func(f *fakeFleet) { f.targetsOut["engine-000"] = false; f.configure() },
		"its time is over":     func(f *fakeFleet) { f.runFor(30) },
		"no other chat pays":   func(f *fakeFleet) { f.planner.ObserveChats(f.now, "engine-000", nil) },
	}
	for reason, end := range ends {
		f, chats := newDrainingFleet(30, slow)
		f.planner.ObserveChats(f.now, "engine-000", chats)
		f.runFor(5)
		end(f)
		f.runFor(10)
		require.True(t, f.logContains("Handover of engine-000 ended: "+reason), reason)
		require.Empty(t, f.planner.Status(f.now).Handovers, reason)
		sent := len(f.sent)
		f.runFor(60)
		require.Len(t, f.sent, sent, reason)
		require.Less(t, len(f.movedChats()), 30, reason)
	}
}

func TestHandover_PrecedesOrder(t *testing.T) {
	config := newConfig(newService("Reviews", "large", "1", 1, 1), newService("Answers", "small", "1", 0, 1))
	f := newSettledFleet(config, 3, 3)
	require.False(t, f.planner.NeedsHandover("engine-001"))
	f.pins["engine-001"] = "Answers"
	f.configure()
	f.runFor(2)
	require.True(t, f.planner.NeedsHandover("engine-001"))
	var chats []placement.ChatState
	for i := range 10 {
		chats = append(chats, placement.ChatState{Chat: fmt.Sprintf("chat-%d", i), Bytes: gibibyte, Turns: 9, LastUsed: f.now})
	}
	f.planner.ObserveChats(f.now, "engine-001", chats)
	f.runFor(40)
	require.Len(t, f.movedChats(), 10)
	for _, o := range f.sent[:10] {
		require.NotEqual(t, placement.LoadModel, o.Kind, "the order waits until the chats have moved")
	}
	require.Equal(t, "Answers", f.target("engine-001").Service)
}

func TestHandover_DestinationLost(t *testing.T) {
	f, chats := newDrainingFleet(2, func(*placement.HandoverLimits) {})
	f.target("engine-001").CachedChats = 0
	f.target("engine-001").losesAnswers = true
	f.planner.ObserveChats(f.now, "engine-000", chats)
	f.runFor(4)
	require.Equal(t, "engine-001", f.planner.Status(f.now).Handovers[0].Destination)
	f.target("engine-001").missing = true
	f.runFor(20)
	require.Len(t, f.movedChats(), 2)
	require.NotEqual(t, "engine-001", f.moved[0].To)
}
