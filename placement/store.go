package placement

import (
	"time"

	"comfreytiller.dev/fleet"
)

// store paces the loads of the whole fleet. Besides the number of loads at once
// it keeps the bytes that loads have been started for and that the weight store
// can't have given yet at its rate.
type store struct {
	fleet.Store
	sizes   map[string]int64
	backlog float64
	at      time.Time
}

func (s *store) configure(now time.Time, limits fleet.Store) {
	s.drain(now)
	s.Store = limits
}

// restart forgets the backlog; the adopted orders add theirs again.
func (s *store) restart(now time.Time) {
	s.backlog = 0
	s.at = now
}

// drain lets the backlog shrink at the store's rate.
func (s *store) drain(now time.Time) {
	if s.at.Before(now) {
		s.backlog = max(0, s.backlog-now.Sub(s.at).Seconds()*float64(s.BytesPerSecond))
		s.at = now
	}
}

// start adds a load.
func (s *store) start(now time.Time, size int64) {
	s.drain(now)
	s.backlog += float64(size)
}

// cancel takes back a load that was never sent.
func (s *store) cancel(now time.Time, size int64) {
	s.drain(now)
	s.backlog = max(0, s.backlog-float64(size))
}

// refusal returns why one more load of that size can't start while running loads
// are under way; empty if it can. The rate is kept on average: the loads that are
// ahead of it never exceed the number that may run at once.
func (s *store) refusal(now time.Time, running int, size int64) string {
	s.drain(now)
	if s.ConcurrentLoads > 0 && running >= s.ConcurrentLoads {
		return "the weight store runs as many loads as it may"
	}
	ahead := float64(max(1, s.ConcurrentLoads)-1) * float64(size)
	if s.BytesPerSecond > 0 && s.backlog > ahead {
		return "the weight store's rate is used up"
	}
	return ""
}

// expected returns how long a load may take when the store is shared in full.
func (s *store) expected(size int64) time.Duration {
	if s.BytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(size) * float64(max(1, s.ConcurrentLoads)) / float64(s.BytesPerSecond)
	return time.Duration(seconds * float64(time.Second))
}

// learn keeps the size that a target reported for a build, also as a guess for
// the model's other versions.
func (s *store) learn(model, version string, size int64) {
	s.sizes[sizeKey(model, version)] = size
	s.sizes[sizeKey(model, "")] = size
}

// sizeOf returns the size of a build's weights.
func (p *Planner) sizeOf(b build) int64 {
	if size := p.store.sizes[sizeKey(b.model, b.version)]; size > 0 {
		return size
	}
	if size := p.store.sizes[sizeKey(b.model, "")]; size > 0 {
		return size
	}
	return p.modelBytes
}

// runningLoads counts the loads that may take from the weight store.
func (p *Planner) runningLoads(now time.Time) int {
	running := 0
	for _, o := range p.orders {
		if o.holdsSlot(now) {
			running++
		}
	}
	return running
}
