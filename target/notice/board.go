// Package notice keeps what targets ask of one host in their responses: that it
// sends no new requests because the target is leaving, or none until a pause is over.
//
// A notice binds the host that received it, regardless of what hubs or owners say of
// the target, and applies to one incarnation: a later start of the target, or another
// target at the same address, is not bound by it. Notices are lost with the process.
//
// # Usage
//
//	board := notice.NewBoard()
//	news := board.Record(now, permit.Target, permit.Incarnation, header)
//	if board.IsLeaving(name, incarnation) || board.PausedUntil(name, incarnation).After(now) { ... }
package notice

import (
	"slices"
	"sync"
	"time"

	"comfreytiller.dev/target"
)

// recordTTL is how long a notice is kept after the target's last one. By then a
// leaving target has stopped and every pause is over.
const recordTTL = 10 * time.Minute

// News is what a response changed on a board.
type News struct {
	// Leaving is set if the target was not known to be leaving.
	Leaving bool
	// PausedUntil is the new end of the target's pause; zero if it did not change.
	PausedUntil time.Time
}

// Board holds the notices of targets by name. It is safe for concurrent use.
type Board struct {
	mu        sync.Mutex
	byTarget  map[string]*record
	lastPrune time.Time
}

// record holds the notices of one incarnation of a target.
type record struct {
	incarnation uint64
	leaving     bool
	pausedUntil time.Time
	heardAt     time.Time
}

// NewBoard returns an empty board.
func NewBoard() *Board { return &Board{byTarget: map[string]*record{}} }

// Record records the notices in a response of one incarnation of a target and returns
// what changed. A response of an earlier incarnation than the recorded one changes
// nothing. A later refusal never shortens a pause.
func (b *Board) Record(now time.Time, name string, incarnation uint64, header target.ResponseHeader) News {
	if !header.Leaving && header.RetryAfter <= 0 {
		return News{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	r := b.byTarget[name]
	switch {
	case r == nil || incarnation > r.incarnation:
		r = &record{incarnation: incarnation}
		b.byTarget[name] = r
	case incarnation < r.incarnation:
		return News{}
	}
	r.heardAt = now
	var news News
	if header.Leaving && !r.leaving {
		r.leaving, news.Leaving = true, true
	}
	if until := now.Add(header.RetryAfter); header.RetryAfter > 0 && until.After(r.pausedUntil) {
		r.pausedUntil, news.PausedUntil = until, until
	}
	return news
}

// IsLeaving reports whether an incarnation of a target is leaving.
func (b *Board) IsLeaving(name string, incarnation uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.byTarget[name]
	return r != nil && r.incarnation == incarnation && r.leaving
}

// PausedUntil returns when the pause of an incarnation of a target ends; zero if it
// asked for none.
func (b *Board) PausedUntil(name string, incarnation uint64) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.byTarget[name]
	if r == nil || r.incarnation != incarnation {
		return time.Time{}
	}
	return r.pausedUntil
}

// Blocked returns the names of the targets that want no new requests now.
func (b *Board) Blocked(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name, r := range b.byTarget {
		if r.leaving || r.pausedUntil.After(now) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// prune removes old records, at most once per recordTTL. The caller must hold b.mu.
func (b *Board) prune(now time.Time) {
	if now.Sub(b.lastPrune) < recordTTL {
		return
	}
	b.lastPrune = now
	for name, r := range b.byTarget {
		if now.Sub(r.heardAt) > recordTTL {
			delete(b.byTarget, name)
		}
	}
}
