package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission"
	"comfreytiller.dev/target"
)

// sendLargePrompts sends requests with a common first part and a large part of their own
// that stay in flight, and returns how many each engine got.
func sendLargePrompts(t *testing.T, memoryTokens, requests int) (map[string]int, admission.Permit) {
	f := newFixture(t)
	f.view.Fleet.Services[0].MemoryTokens = memoryTokens
	f.daemon.view.replace(f.view)
	for i := range 4 {
		entry := f.newRosterEntry(fmt.Sprint("e-", i), "engines", "a", 1)
		entry.Capacity = 64
		f.applyEntries(entry)
	}
	got, last := map[string]int{}, admission.Permit{}
	for i := range requests {
		f.clock.Advance(time.Second)
		prompt := &admission.Prompt{Tokens: 11_000, MaxOutputTokens: 1000, Parts: []admission.PromptPart{{Key: 7, Tokens: 1000}, {Key: uint64(100 + i), Tokens: 10_000}}}
		permit, err := f.selector.Acquire(t.Context(), admission.Request{ID: fmt.Sprint(i), Service: "engines", Prompt: prompt})
		require.NoError(t, err)
		got[permit.Target]++
		last = permit
	}
	return got, last
}

// Guards against a home whose memory is full getting more requests while others have room,
// and against a change for services whose configuration does not tell the memory.
func TestAcquire_EngineWithoutMemoryGetsNoRequests(t *testing.T) {
	// One request and its response fill more than half of it.
	const memory = 24_000
	got, _ := sendLargePrompts(t, memory, 4)
	require.Len(t, got, 4, "each engine has one request: %v", got)
	_, last := sendLargePrompts(t, memory, 5)
	require.Positive(t, last.Inputs.HeldTokens)
	got, last = sendLargePrompts(t, 0, 4)
	require.Less(t, len(got), 4, "without the memory the home takes more: %v", got)
	require.Zero(t, last.Inputs.HeldTokens)
	got, _ = sendLargePrompts(t, memory, 30)
	total := 0
	for _, count := range got {
		total += count
	}
	require.Equal(t, 30, total, "nothing is refused while no engine has room")
}

// Guards against requests with much to prefill being sent to an engine that has much to
// prefill, while others have nothing to do.
func TestDescribeCandidate_EngineWithMuchToPrefillIsFull(t *testing.T) {
	f := newFixture(t)
	f.view.Fleet.Services[0].MemoryTokens = 400_000
	f.daemon.view.replace(f.view)
	f.applyEntries(f.newRosterEntry("e-1", "engines", "a", 1))
	s, service := f.selector.byName["e-1"], &f.view.Fleet.Services[0]
	describe := func(tokens int) bool {
		loads := serviceLoads{hosts: 1, room: f.selector.engineRoom(service)}
		request := &admission.Request{Service: "engines", Prompt: &admission.Prompt{Tokens: tokens}}
		return f.selector.describeCandidate(f.clock.Now(), s, f.view, service, request, loads).Full
	}
	require.False(t, describe(10_000))
	s.backlog.add(f.clock.Now(), 30_000)
	require.True(t, describe(10_000))
	require.False(t, describe(minBacklogTokens-1))
	f.clock.Advance(time.Second)
	require.False(t, describe(10_000), "it is prefilled by now")

	f.respond("e-1", target.ResponseHeader{Load: &target.Load{Running: 8, Slots: 8}})
	require.True(t, describe(100), "all slots are in use")
}
