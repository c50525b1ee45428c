package scarcity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a queue that grows without bound, serves a lower rank first, or lets a
// workspace with many requests push back another one.
func TestWaitQueue_KeepsOrderAndBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &waitQueue{}
		start := time.Unix(1000, 0)
		queued := map[*Waiter]bool{}
		for range rapid.IntRange(1, 150).Draw(t, "requests") {
			w := &Waiter{Request: Request{
				Class: Class{Workspace: fmt.Sprint("w-", rapid.IntRange(0, 3).Draw(t, "workspace")), Priority: rapid.IntRange(-2, 0).Draw(t, "priority")},
				Once:  rapid.Bool().Draw(t, "once"), Bytes: rapid.IntRange(0, maxWaitingBytes/8).Draw(t, "bytes"), Deadline: start,
			}}
			evicted, ok := q.push(w, 1)
			if ok {
				queued[w] = true
			}
			if evicted != nil {
				require.True(t, ok)
				require.Less(t, evicted.Priority, w.Priority)
				delete(queued, evicted)
			}
			bytes := 0
			for other := range queued {
				bytes += other.Bytes
			}
			require.Equal(t, bytes, q.bytes)
			require.LessOrEqual(t, bytes, maxWaitingBytes)
			require.LessOrEqual(t, len(q.waiters), maxWaiting)
			require.Len(t, q.waiters, len(queued))
			if rapid.IntRange(0, 3).Draw(t, "pop") == 0 {
				first := q.pop()
				require.True(t, queued[first])
				delete(queued, first)
				for other := range queued {
					require.LessOrEqual(t, other.Priority, first.Priority)
				}
			}
		}
	})
}

// Guards against a workspace with many requests in the queue that others wait behind, and a
// repeatable request that goes before one that may run only once.
func TestWaitQueue_WorkspacesTakeTurns(t *testing.T) {
	q := &waitQueue{}
	for range 10 {
		_, ok := q.push(&Waiter{Request: Request{Class: Class{Workspace: "many"}}}, 1)
		require.True(t, ok)
	}
	few, once := &Waiter{Request: Request{Class: Class{Workspace: "few"}}}, &Waiter{Request: Request{Class: Class{Workspace: "other"}, Once: true}}
	for _, w := range []*Waiter{few, once} {
		_, ok := q.push(w, 1)
		require.True(t, ok)
	}
	require.Same(t, once, q.pop())
	require.Equal(t, 1, q.before(few), "only the first request of the other workspace is before it")
	require.Equal(t, "many", q.pop().Workspace)
	require.Same(t, few, q.pop())
	require.True(t, q.remove(q.waiters[0]))
	require.False(t, q.remove(few))
}
