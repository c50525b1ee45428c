package registry

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestMachine_ConcurrentReaders reads the machine from other goroutines during
// Apply and Restore. It is most useful with the race detector.
func TestMachine_ConcurrentReaders(t *testing.T) {
	r := newReplica()
	const changes = 300
	var readers sync.WaitGroup
	for range 3 {
		readers.Go(func() {
			view := r.View()
			for view.OutageVersion < changes {
				changed := r.Changed()
				delta, err := DecodeDelta(r.EncodedDeltaSince(view.Revision, view.FleetVersion))
				if err != nil || delta.ToRevision < view.Revision {
					t.Errorf("delta to %d from %d: %v", delta.ToRevision, view.Revision, err)
					return
				}
				if delta.ToRevision == view.Revision {
					<-changed
					continue
				}
				if view, err = delta.Apply(view); err != nil {
					t.Errorf("apply: %v", err)
					return
				}
				r.Claims(ClaimFilter{State: ClaimOpen})
				r.Claim(testKey)
				r.Orders()
				r.Session(1)
			}
		})
	}
	session := r.mustOpenSession(t, "host-1", "north", 1)
	for i := range changes {
		out := SetOutage{Operation: Operation{ID: fmt.Sprint("op-", i)}, Target: fmt.Sprint("t-", i%7), Out: i/7%2 == 0}
		require.NoError(t, r.applyCommand(t, out).Err())
		r.applyCommand(t, OpenClaim{Key: ClaimKey{Service: "treasury", Key: fmt.Sprint(i)}, Session: session, Attempt: uint64(i)})
		if i == changes/2 {
			snapshot, err := r.Snapshot()
			require.NoError(t, err)
			require.NoError(t, r.Restore(snapshot))
		}
	}
	readers.Wait()
}
