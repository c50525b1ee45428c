package quorum

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// The leader of a single-replica cluster must keep its leadership during a slow
// write and while it is idle: no other replica can take over, and its
// leadership needs no confirmation by others.
func TestSingleReplicaKeepsLeadershipDuringSlowWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := &slowStorage{}
		members := []Member{{ID: "id-h1", Host: "h1", Address: "h1:1", Voter: true}}
		require.NoError(t, Bootstrap(disk, "cluster", "h1", members))
		r, err := Start(Config{Host: "h1", Node: NodeConfig{Seed: 1}}, disk, newTestCluster(t, Config{}), &listMachine{})
		require.NoError(t, err)
		defer r.Stop()
		time.Sleep(3 * time.Second)
		require.True(t, r.Leadership().Confirmed, "an idle single replica must stay a confirmed leader")
		term := r.Status().Term

		disk.delay.Store(int64(3 * time.Second))
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		done := make(chan error, 1)
		go func() {
			_, err := r.Propose(ctx, []byte("slow"))
			done <- err
		}()
		for len(done) == 0 {
			time.Sleep(50 * time.Millisecond)
			require.True(t, r.Leadership().Confirmed, "leadership must stay confirmed during a slow write")
		}
		require.NoError(t, <-done)
		require.Equal(t, term, r.Status().Term)

		disk.delay.Store(0)
		time.Sleep(10 * time.Second)
		require.True(t, r.Leadership().Confirmed)
		_, err = r.Propose(ctx, []byte("fast"))
		require.NoError(t, err)
	})
}
