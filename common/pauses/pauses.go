// Package pauses notices that the process stood still: it was stopped, or had no processor.
//
// # Usage
//
//	monitor := pauses.New(clock, func(pause time.Duration) { log.Warnf("The process stood still for %s.", pause) })
//	go monitor.Run(ctx)
//	longest := monitor.LongestSince(request.Started)
package pauses

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"comfreytiller.dev/common/ticks"
)

const (
	// interval is the time between two checks.
	interval = 250 * time.Millisecond
	// minPause is the least delay of a check that counts as a pause. A shorter pause than interval and
	// minPause together may be missed.
	minPause = 250 * time.Millisecond
	// maxPauses is the number of pauses that are kept.
	maxPauses = 16
)

// Monitor notices pauses of the process. It is safe for concurrent use.
type Monitor struct {
	clock   clockwork.Clock
	onPause func(time.Duration)

	mu sync.Mutex
	// lastCheck is zero before Run.
	lastCheck time.Time
	pauses    []pause
}

// pause is a time in which the process stood still. It is known to lie between two checks.
type pause struct {
	end      time.Time
	duration time.Duration
}

// New returns a monitor that calls onPause after each pause, with the least time that it has
// lasted.
func New(clock clockwork.Clock, onPause func(time.Duration)) *Monitor {
	return &Monitor{clock: clock, onPause: onPause}
}

// Run checks for pauses until ctx is done.
func (m *Monitor) Run(ctx context.Context) {
	m.check()
	ticks.Every(ctx, m.clock, interval, func(context.Context) { m.check() })
}

// check records the pause since the last check, if there was one.
func (m *Monitor) check() {
	m.mu.Lock()
	now := m.clock.Now()
	found, isPause := m.pauseUntil(now)
	m.lastCheck = now
	if isPause {
		m.pauses = append(m.pauses[max(0, len(m.pauses)-maxPauses+1):], found)
	}
	m.mu.Unlock()
	if isPause {
		m.onPause(found.duration)
	}
}

// pauseUntil returns the pause between the last check and now. The caller holds mu.
func (m *Monitor) pauseUntil(now time.Time) (found pause, isPause bool) {
	if m.lastCheck.IsZero() {
		return pause{}, false
	}
	late := now.Sub(m.lastCheck) - interval
	return pause{end: now, duration: late}, late >= minPause
}

// LongestSince returns the longest pause since a time; 0 for none. A pause that has just ended
// counts before Run has noticed it, and one that began before the time counts from then on.
func (m *Monitor) LongestSince(since time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var longest time.Duration
	count := func(p pause) { longest = max(longest, min(p.duration, p.end.Sub(since))) }
	if latest, isPause := m.pauseUntil(m.clock.Now()); isPause {
		count(latest)
	}
	for _, p := range m.pauses {
		count(p)
	}
	return longest
}
