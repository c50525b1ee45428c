package ratelimit

import (
	"math"
	"time"
)

// Schedule holds the slots of a host at one target. While the pace changes, slots come
// sooner or later in proportion, so that a limit that rises step by step moves the slots
// of all hosts evenly.
type Schedule struct {
	// position is the number of slots, with fractions, that have passed at updatedAt, of
	// which the last used ones, up to number used, are used or expired.
	position  float64
	used      float64
	updatedAt time.Time
	pace      Pace
}

// NewSchedule returns a schedule whose first slot comes after a part of the interval,
// 1-phase, where phase is from 0 to 1. Hosts must have different phases, so that they do
// not all send at once when they learn of a limit.
func NewSchedule(now time.Time, pace Pace, phase float64) *Schedule {
	return &Schedule{position: phase, updatedAt: now, pace: pace}
}

// Allows reports whether the host may send a request now.
func (s *Schedule) Allows(now time.Time, pace Pace) bool { return s.next(now, pace) <= s.position }

// Use uses the next slot for a request that is sent now.
func (s *Schedule) Use(now time.Time, pace Pace) { s.used = s.next(now, pace) }

// next returns the number of the first slot that is neither used nor expired.
func (s *Schedule) next(now time.Time, pace Pace) float64 {
	s.position += s.pace.slots(now.Sub(s.updatedAt))
	s.updatedAt, s.pace = now, pace
	return max(s.used+1, math.Ceil(s.position-pace.slots(pace.Lifetime)))
}

// slots returns the number of slots in a time.
func (p Pace) slots(duration time.Duration) float64 {
	return float64(duration) / float64(max(p.Interval, 1))
}
