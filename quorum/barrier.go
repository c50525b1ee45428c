package quorum

import (
	"context"
	"sync/atomic"
)

// barrier is a pending call of Barrier.
type barrier struct {
	done      chan error
	abandoned atomic.Bool
}

// barrierGroup is a batch of barriers that share one read ID.
type barrierGroup struct {
	id        uint64
	requested bool
	confirmed bool
	index     uint64
	callers   []*barrier
}

// barrierQueue holds the pending barriers in groups.
type barrierQueue struct {
	lastID uint64
	groups []*barrierGroup
	ticks  int
}

// Barrier implements Log. It works on the leader, on followers and on learners.
func (r *Replica) Barrier(ctx context.Context) error {
	b := &barrier{done: make(chan error, 1)}
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return ErrStopped
	}
	r.newBarriers = append(r.newBarriers, b)
	r.mu.Unlock()
	r.signal()
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		b.abandoned.Store(true)
		return ctx.Err()
	}
}

// add combines the new barriers into a group.
func (b *barrierQueue) add(callers []*barrier) {
	if len(callers) == 0 {
		return
	}
	b.lastID++
	b.groups = append(b.groups, &barrierGroup{id: b.lastID, callers: callers})
}

// requestReadIndexes requests the read index of each new group. It repeats the
// requests of unanswered groups every DefaultHeartbeatTicks ticks, because
// leaders change and messages are lost.
func (b *barrierQueue) requestReadIndexes(node *Node, tick bool) {
	if tick {
		b.ticks++
		b.dropAbandoned()
	}
	again := tick && b.ticks%DefaultHeartbeatTicks == 0
	for _, g := range b.groups {
		if !g.confirmed && (!g.requested || again) {
			g.requested = node.RequestReadIndex(g.id)
		}
	}
}

// dropAbandoned removes the groups whose callers have all given up.
func (b *barrierQueue) dropAbandoned() {
	remaining := b.groups[:0]
	for _, g := range b.groups {
		for _, caller := range g.callers {
			if !caller.abandoned.Load() {
				remaining = append(remaining, g)
				break
			}
		}
	}
	b.groups = remaining
}

// confirm records the read indexes of the groups.
func (b *barrierQueue) confirm(reads []ReadState) {
	for _, read := range reads {
		for _, g := range b.groups {
			if g.id == read.ID && !g.confirmed {
				g.confirmed = true
				g.index = read.Index
			}
		}
	}
}

// releaseApplied completes the groups whose read index is applied.
func (b *barrierQueue) releaseApplied(applied uint64) {
	remaining := b.groups[:0]
	for _, g := range b.groups {
		if !g.confirmed || g.index > applied {
			remaining = append(remaining, g)
			continue
		}
		for _, caller := range g.callers {
			caller.done <- nil
		}
	}
	b.groups = remaining
}

// fail completes every group with the error.
func (b *barrierQueue) fail(err error) {
	for _, g := range b.groups {
		for _, caller := range g.callers {
			caller.done <- err
		}
	}
	b.groups = nil
}
