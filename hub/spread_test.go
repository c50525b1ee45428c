package hub

import (
	"context"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/comfreytiller/protocol"
	"comfreytiller.dev/peer"
)

// versionedConfig is fleetConfig with another name for each version.
func versionedConfig(version int) []byte {
	return []byte(strings.Replace(fleetConfig, `"f"`, fmt.Sprintf(`"f%d"`, version), 1))
}

// A configuration is acknowledged once the hosts of all hubs have it. One that never gets it
// delays the acknowledgement for a while, not for good.
func TestPutFleet_AcknowledgedOnceHostsOfAllHubsHaveIt(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	control := &controlHandler{hub: c.hubs[0]}
	put := func(version int) error {
		ctx, cancel := context.WithTimeout(t.Context(), eventuallyTimeout)
		defer cancel()
		return control.PutFleet(ctx, uint64(version), versionedConfig(version))
	}
	c.eventually("the first configuration is acknowledged", func() bool { return put(1) == nil })
	node := peer.NewNode(peer.Config{Host: "e-1", Clock: clockwork.NewRealClock()}, nil)
	defer node.Close()

	// A host polls another hub and stays behind.
	polling, stop := context.WithCancel(t.Context())
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		for polling.Err() == nil {
			_, _ = node.Call(polling, c.addresses[1], peer.WatchRequest{Host: "e-1", Revision: 1, PendingRevision: math.MaxUint64, MaxWait: 100 * time.Millisecond})
		}
	}()
	c.eventually("the hub knows of the host", func() bool { return c.hubs[0].watchers.anyBehind(c.hubs[0].replica.Machine.View().Revision) })
	begun := time.Now()
	err := put(2)
	require.ErrorIs(t, err, protocol.ErrUnavailable)
	require.Less(t, time.Since(begun), time.Second, "operators go on to another hub after a second")
	c.eventually("the configuration is acknowledged", func() bool { return put(2) == nil })
	waited := time.Since(begun)
	require.GreaterOrEqual(t, waited, minSpreadTime)
	require.Less(t, waited, 4*time.Second, "operators expect an acknowledgement")

	// Without a host that is behind, nothing is waited for.
	stop()
	<-polled
	c.eventually("no host is behind", func() bool { return !c.hubs[0].watchers.anyBehind(math.MaxUint64) })
	begun = time.Now()
	require.NoError(t, put(3))
	require.Less(t, time.Since(begun), propagationTimeout)
	require.NoError(t, put(3), "a resend is acknowledged")
	require.False(t, errors.Is(put(2), protocol.ErrUnavailable), "an older version changes nothing")
}
