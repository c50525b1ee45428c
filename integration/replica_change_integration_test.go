package integration

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// Operators ask a host without a state replica, then a follower. Each must pass the change of
// the replicas on to the leader.
func TestReplicaChange_AnyHostPassesItOn(t *testing.T) {
	s := &system{cluster: newCluster(t, 4, 3)}
	spare := s.hosts[3]
	leader := s.leader()
	wiped := s.otherHosts(leader)[0]
	old := s.replicaOf(wiped)
	s.kill(wiped)
	require.NoError(t, os.RemoveAll(wiped.directory))
	require.NoError(t, os.MkdirAll(wiped.directory, 0o700))
	s.writeSettings(wiped)
	s.start(wiped)
	s.awaitReady(wiped)
	s.mustRunTool(spare, "replica", "replace", "--Id", old, "--Replica", wiped.peers)
	require.NotEqual(t, old, s.replicaOf(wiped))

	out, code := s.runTool(wiped, "replica", "add", "--Replica", spare.peers)
	require.NotZero(t, code)
	require.Contains(t, out, "has no state replica")
	out, code = s.runTool(spare, "replica", "remove", "--Id", old)
	require.NotZero(t, code)
	require.Contains(t, out, "there is no replica "+old)
}
