package pauses

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// A stream that ends right after its host stood still must not look like one of a running host.
func TestMonitor_NoticesPauses(t *testing.T) {
	clock := clockwork.NewFakeClock()
	var noticed []time.Duration
	m := New(clock, func(pause time.Duration) { noticed = append(noticed, pause) })
	begin := clock.Now()
	require.Zero(t, m.LongestSince(begin), "before it runs")
	for range 8 {
		m.check()
		clock.Advance(interval)
	}
	m.check()
	require.Zero(t, m.LongestSince(begin))

	clock.Advance(interval + 2*time.Second)
	require.Equal(t, 2*time.Second, m.LongestSince(begin), "before the pause is noticed")
	m.check()
	require.Equal(t, []time.Duration{2 * time.Second}, noticed)
	require.Equal(t, 2*time.Second, m.LongestSince(begin))

	clock.Advance(interval)
	m.check()
	require.Equal(t, 2*time.Second, m.LongestSince(begin))
	require.Zero(t, m.LongestSince(clock.Now()), "the pause was before")
	require.Equal(t, time.Second, m.LongestSince(clock.Now().Add(-interval-time.Second)), "a part of the pause was before")
	require.Len(t, noticed, 1)
}

// The memory of a host that stands still again and again must not grow.
func TestMonitor_KeepsNewestPauses(t *testing.T) {
	clock := clockwork.NewFakeClock()
	m := New(clock, func(time.Duration) {})
	begin := clock.Now()
	m.check()
	for i := range 3 * maxPauses {
		clock.Advance(interval + time.Duration(i+1)*time.Second)
		m.check()
	}
	require.Len(t, m.pauses, maxPauses)
	require.Equal(t, 3*maxPauses*time.Second, m.LongestSince(begin))
}

// Run checks by its clock until its context ends.
func TestMonitor_Run(t *testing.T) {
	clock := clockwork.NewFakeClock()
	noticed := make(chan time.Duration, 1)
	m := New(clock, func(pause time.Duration) { noticed <- pause })
	go m.Run(t.Context())
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	clock.Advance(3 * time.Second)
	require.Equal(t, 3*time.Second-interval, <-noticed)
}
