package hub

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"comfreytiller.dev/admission/origin"
	"comfreytiller.dev/peer"
)

// ask returns the versions that a hub knows of a stream.
func askOrigin(t *testing.T, node *peer.Node, hub string, key origin.Key, wait time.Duration) []string {
	reply, err := node.Call(t.Context(), hub, peer.RosterUpdate{Host: "e-2", WantedOrigin: key, MaxWait: wait})
	require.NoError(t, err)
	var versions []string
	for _, record := range reply.(peer.RosterUpdate).Origins {
		require.Equal(t, key, record.Key)
		versions = append(versions, record.Version)
	}
	return versions
}

// What a host reports to one hub is known to all of them, also to one that was away, and
// a request that comes before the report waits for it.
func TestOrigins_AreKnownToAllHubs(t *testing.T) {
	c := newCluster(t, 3)
	c.awaitAllVoters()
	node := peer.NewNode(peer.Config{Host: "e-1", Clock: clockwork.NewRealClock()}, nil)
	defer node.Close()
	early := make(chan []string, 1)
	go func() { early <- askOrigin(t, node, c.addresses[2], origin.KeyOf("s", "0"), 400*time.Millisecond) }()
	c.stop(1)
	until := time.Now().Add(time.Minute)
	var records []origin.Record
	for i := range 100 {
		records = append(records, origin.Record{Key: origin.KeyOf("s", fmt.Sprint(i)), Version: fmt.Sprint("v", i%3), Until: until})
	}
	_, err := node.Call(t.Context(), c.addresses[0], peer.RosterUpdate{Host: "e-1", Origins: records})
	require.NoError(t, err)
	require.Equal(t, []string{"v0"}, <-early)
	c.start(1, false)
	for hub := range 3 {
		c.eventually("the hub knows all streams", func() bool {
			return len(askOrigin(t, node, c.addresses[hub], origin.KeyOf("s", "99"), 0)) == 1
		})
		for i := range 100 {
			require.Equal(t, []string{fmt.Sprint("v", i%3)}, askOrigin(t, node, c.addresses[hub], origin.KeyOf("s", fmt.Sprint(i)), 0))
		}
		require.Empty(t, askOrigin(t, node, c.addresses[hub], origin.KeyOf("other", "1"), 0), "a stream of another service")
	}
}
