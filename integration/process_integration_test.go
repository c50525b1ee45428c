package integration

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"comfreytiller.dev/session"
)

// maxDrainDelay is the maximum time until a drained failure domain or a leaving target
// gets no new requests.
const maxDrainDelay = 3 * time.Second

func TestSteadyLoadOverSixHosts(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.readyNodes, 8, 4)
	l.awaitChats(200)
	l.awaitPayments(50)
	l.finish(s.treasuries...)
	s.requireColdLimit()
	require.Zero(t, l.incomplete.Load(), "truncated responses without a failure")
	require.Zero(t, l.refused.Load(), "refused chats without a failure")
	require.Zero(t, l.unknown.Load(), "payments without a final response")
	require.Greater(t, l.warm.Load(), l.chats.Load()/2, "returning chats with a warm prefix cache")
}

// A host that only routes, an owner and the leader are killed and restarted in turn.
// Guards against lost or duplicate payments and truncated chat responses.
func TestKilledHosts(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.readyNodes, 8, 4)
	l.awaitChats(50)

	router := s.nodes[5]
	for _, victim := range []*node{router, s.owner(s.nodes[0], "Dossiers"), s.leader()} {
		require.NotNil(t, victim)
		t.Logf("killing %s", victim.name)
		s.kill(victim)
		l.awaitChats(100)
		l.awaitPayments(20)
		s.start(victim)
		s.awaitReady(victim)
		s.awaitTargets(victim, "Dossiers", len(s.engines))
	}
	l.awaitChats(100)
	l.finish(s.treasuries...)
	s.requireColdLimit()
}

// The leader of the state replicas is stopped for longer than every lease and resumes
// with expired leases. Guards against decisions based on them: a failure domain that was
// drained in the meantime must get no requests from the resumed host.
func TestPausedLeader(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.readyNodes, 8, 4)
	l.awaitChats(50)

	paused := s.leader()
	s.signal(paused, syscall.SIGSTOP)
	unpaused := func() []*node {
		var others []*node
		for _, n := range s.nodes {
			if n != paused {
				others = append(others, n)
			}
		}
		return others
	}
	l.setHosts(unpaused)
	started := time.Now()
	l.awaitChats(100)
	l.awaitPayments(20)
	eventually(t, "longer than every lease", func() bool {
		return time.Since(started) > 2*session.LeaseDuration
	})
	s.mustRunTool(unpaused()[0], "drain", "--FailureDomain", "Rabat-C", "--Wait", "5s")
	requestsBefore := s.requestsInDomain("Rabat-C")
	s.signal(paused, syscall.SIGCONT)
	s.awaitReady(paused)
	l.setHosts(s.readyNodes)
	l.awaitChats(100)
	require.Equal(t, requestsBefore, s.requestsInDomain("Rabat-C"), "requests for a drained domain, from a host that was paused")
	s.mustRunTool(paused, "restore", "--FailureDomain", "Rabat-C")
	l.awaitChats(50)
	l.finish(s.treasuries...)
	s.requireColdLimit()
}

// A failure domain is drained and restored under load. It must get no new requests
// while it is out, and no request may fail.
func TestDrainedFailureDomain(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.readyNodes, 8, 4)
	l.awaitChats(100)
	s.mustRunTool(s.nodes[0], "drain", "--FailureDomain", "Rabat-A")
	drained := time.Now()
	eventually(t, "the maximum drain delay", func() bool { return time.Since(drained) > maxDrainDelay })
	requestsBefore := s.requestsInDomain("Rabat-A")
	l.awaitChats(200)
	l.awaitPayments(20)
	require.Equal(t, requestsBefore, s.requestsInDomain("Rabat-A"), "new requests in a drained failure domain")
	s.mustRunTool(s.nodes[1], "restore", "--FailureDomain", "Rabat-A")
	eventually(t, "requests in the restored domain", func() bool { return s.requestsInDomain("Rabat-A") > requestsBefore })
	l.awaitChats(100)
	l.finish(s.treasuries...)
	s.requireColdLimit()
	require.Zero(t, l.incomplete.Load(), "responses truncated by a drain")
	require.Zero(t, l.refused.Load(), "chats refused during a drain")
	require.Zero(t, l.unknown.Load(), "payments in doubt after a drain")
}

// Every process is restarted gracefully in turn, after several changes of the
// configuration. Guards against truncated responses and reverted versions.
func TestRollingRestart(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.readyNodes, 8, 4)
	for range 5 {
		s.mustRunTool(s.nodes[0], "drain", "--Target", "engine-1")
		s.mustRunTool(s.nodes[0], "restore", "--Target", "engine-1")
	}
	s.apply(fleetConfigWithNote("second"))
	before, ok := s.status(s.nodes[0])
	require.True(t, ok)
	for _, n := range s.nodes {
		l.setHosts(func() []*node { return s.otherNodes(n) })
		l.awaitOldRequests()
		s.stop(n)
		s.start(n)
		s.awaitReady(n)
		after, ok := s.status(n)
		require.True(t, ok)
		require.GreaterOrEqual(t, after.Version, before.Version, "an accepted version reverted")
		l.awaitChats(30)
	}
	l.setHosts(s.readyNodes)
	l.awaitChats(50)
	l.finish(s.treasuries...)
	s.requireColdLimit()
	require.Zero(t, l.incomplete.Load(), "responses truncated by a graceful restart")
}

// A state replica with a lost disk is replaced, and right after that a second replica
// fails. The cluster must still have a quorum.
func TestReplacedReplica(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.readyNodes, 6, 3)
	l.awaitChats(50)
	leader := s.leader()
	var lost *node
	for _, n := range s.nodes[:3] {
		if n != leader {
			lost = n
		}
	}
	spare := s.nodes[3]
	s.kill(lost)
	s.stop(spare)
	spare.replica = true
	s.writeSettings(spare)
	s.start(spare)
	s.awaitReady(spare)
	out := s.mustRunTool(s.leader(), "replica", "replace", "--Id", s.replicaOf(lost), "--Replica", spare.peers)
	t.Log(out)
	second := s.leader()
	s.kill(second)
	l.awaitChats(100)
	l.awaitPayments(20)
	s.apply(fleetConfigWithNote("after two losses"), "--Wait", "20s")
	l.finish(s.treasuries...)
	s.requireColdLimit()
}

// rolloutTimeout bounds a rollout over three failure domains.
const rolloutTimeout = 2 * time.Minute

// A new model version is rolled out to all engines. The service must remain available
// without truncated or refused requests.
func TestModelVersionRollout(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.readyNodes, 6, 2)
	l.awaitChats(50)
	s.apply(strings.Replace(fleetConfigWithNote("third"), `"Version": "1"`, `"Version": "2", "Placement": {"Min": 3, "Spread": 3}`, 1))
	eventuallyWithin(t, rolloutTimeout, "every engine serves the new version", func() bool {
		for _, engine := range s.engines {
			if _, _, version := engine.LoadedModel(); version != "2" {
				return false
			}
		}
		return true
	})
	s.awaitTargets(s.nodes[0], "Dossiers", len(s.engines))
	l.awaitChats(50)
	l.finish(s.treasuries...)
	s.requireColdLimit()
	require.Zero(t, l.incomplete.Load(), "responses truncated by the rollout")
	require.Zero(t, l.refused.Load(), "chats refused during the rollout")
}

// A host that lost its disk must neither bootstrap a second cluster nor rejoin with its
// old replica ID.
func TestWipedReplica_MustRejoinWithNewID(t *testing.T) {
	s := &system{cluster: newCluster(t, 3, 3)}
	s.apply(fleetConfigWithNote("first"))
	leader := s.leader()
	wiped := s.otherNodes(leader)[0]
	old := s.replicaOf(wiped)
	s.kill(wiped)
	require.NoError(t, os.RemoveAll(wiped.folder))
	require.NoError(t, os.MkdirAll(wiped.folder, 0o700))

	s.start(wiped, "--Bootstrap")
	require.Error(t, <-wiped.exited, "bootstrap of a second cluster beside a running one")
	log, err := os.ReadFile(wiped.log)
	require.NoError(t, err)
	require.Contains(t, string(log), "a cluster runs already")

	s.start(wiped)
	s.awaitReady(wiped)
	out, code := s.runTool(leader, "replica", "add", "--Replica", wiped.peers)
	require.NotZero(t, code, out)
	s.mustRunTool(leader, "replica", "replace", "--Id", old, "--Replica", wiped.peers)
	require.NotEqual(t, old, s.replicaOf(wiped))
	s.apply(fleetConfigWithNote("second"))
}

// Five state replicas must remain available after the loss of any two.
func TestFiveReplicas_SurviveTwoFailures(t *testing.T) {
	s := newSystem(t, 6, 5)
	l := startLoad(t, s.readyNodes, 6, 3)
	l.awaitChats(50)
	for range 2 {
		s.kill(s.leader())
		l.awaitChats(50)
		l.awaitPayments(20)
	}
	s.apply(fleetConfigWithNote("without two"), "--Wait", "20s")
	l.finish(s.treasuries...)
	s.requireColdLimit()
}
