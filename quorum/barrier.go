package quorum

import (
	"context"
	"sync/atomic"
)

// barrier is a caller of Barrier.
type barrier struct {
	done chan error
	gone atomic.Bool
}

// barrierGroup is a batch of barriers under one read ID.
type barrierGroup struct {
	id        uint64
	asked     bool
	confirmed bool
	index     uint64
	callers   []*barrier
}

// barriers are those that wait.
type barriers struct {
	lastID uint64
	groups []*barrierGroup
	ticks  int
}

// Barrier implements Log, on the leader, on followers and on learners.
func (r *Replica) Barrier(ctx context.Context) error {
	b := &barrier{done: make(chan error, 1)}
	r.mu.Lock()
	if r.stopped {
		r.mu.Unlock()
		return ErrStopped
	}
	r.asks = append(r.asks, b)
	r.mu.Unlock()
	r.signal()
	select {
	case err := <-b.done:
		return err
	case <-ctx.Done():
		b.gone.Store(true)
		return ctx.Err()
	}
}

// add makes a group of the new callers.
func (b *barriers) add(callers []*barrier) {
	if len(callers) == 0 {
		return
	}
	b.lastID++
	b.groups = append(b.groups, &barrierGroup{id: b.lastID, callers: callers})
}

// ask asks for the groups not asked yet, and now and then again for those
// without an answer, since leaders change and messages are lost.
func (b *barriers) ask(node *Node, tick bool) {
	if tick {
		b.ticks++
		b.dropGone()
	}
	again := tick && b.ticks%DefaultHeartbeatTicks == 0
	for _, g := range b.groups {
		if !g.confirmed && (!g.asked || again) {
			g.asked = node.RequestReadIndex(g.id)
		}
	}
}

// dropGone forgets the groups whose callers all gave up.
func (b *barriers) dropGone() {
	kept := b.groups[:0]
	for _, g := range b.groups {
		for _, caller := range g.callers {
			if !caller.gone.Load() {
				kept = append(kept, g)
				break
			}
		}
	}
	b.groups = kept
}

// confirm takes in the indexes that the groups wait for.
func (b *barriers) confirm(reads []ReadState) {
	for _, read := range reads {
		for _, g := range b.groups {
			if g.id == read.ID && !g.confirmed {
				g.confirmed = true
				g.index = read.Index
			}
		}
	}
}

// release answers the groups whose index is applied.
func (b *barriers) release(applied uint64) {
	kept := b.groups[:0]
	for _, g := range b.groups {
		if !g.confirmed || g.index > applied {
			kept = append(kept, g)
			continue
		}
		for _, caller := range g.callers {
			caller.done <- nil
		}
	}
	b.groups = kept
}

// fail answers every group with the error.
func (b *barriers) fail(err error) {
	for _, g := range b.groups {
		for _, caller := range g.callers {
			caller.done <- err
		}
	}
	b.groups = nil
}
