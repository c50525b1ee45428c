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

// drainBound is how soon a failure domain that was taken out, or a leaving
// target, must get no new work.
const drainBound = 3 * time.Second

func TestSteadyLoadOverSixHosts(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.balanced, 8, 4)
	l.served(200)
	l.paidMore(50)
	l.finish(s.treasuries...)
	s.checkCold()
	require.Zero(t, l.broken.Load(), "cut answers without a failure")
	require.Zero(t, l.refused.Load(), "refused chats without a failure")
	require.Zero(t, l.unknown.Load(), "payments without an answer")
	require.Greater(t, l.warm.Load(), l.chats.Load()/2, "returning chats find their context")
}

// A router, an owner and the leader are killed in turn; each comes back.
func TestKilledHosts(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.balanced, 8, 4)
	l.served(50)

	router := s.nodes[5]
	for _, victim := range []*node{router, s.owner(s.nodes[0], "Dossiers"), s.leader()} {
		require.NotNil(t, victim)
		t.Logf("kills %s", victim.name)
		s.kill(victim)
		l.served(100)
		l.paidMore(20)
		s.start(victim)
		s.awaitReady(victim)
		s.awaitTargets(victim, "Dossiers", len(s.engines))
	}
	l.served(100)
	l.finish(s.treasuries...)
	s.checkCold()
}

// The leader of the state replicas sleeps for longer than every lease and wakes
// with its old authority.
func TestPausedLeader(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.balanced, 8, 4)
	l.served(50)

	paused := s.leader()
	s.signal(paused, syscall.SIGSTOP)
	awake := func() []*node {
		var others []*node
		for _, n := range s.nodes {
			if n != paused {
				others = append(others, n)
			}
		}
		return others
	}
	l.use(awake)
	started := time.Now()
	l.served(100)
	l.paidMore(20)
	eventually(t, "longer than every lease", func() bool {
		return time.Since(started) > 2*session.LeaseDuration
	})
	s.mustOperate(awake()[0], "drain", "--FailureDomain", "Rabat-C", "--Wait", "5s")
	mark := s.requestsIn("Rabat-C")
	s.signal(paused, syscall.SIGCONT)
	s.awaitReady(paused)
	l.use(s.balanced)
	l.served(100)
	require.Equal(t, mark, s.requestsIn("Rabat-C"), "work for a domain that is out, from a host that slept")
	s.mustOperate(paused, "restore", "--FailureDomain", "Rabat-C")
	l.served(50)
	l.finish(s.treasuries...)
	s.checkCold()
}

// Operators take a failure domain out and bring it back under load.
func TestDrainedFailureDomain(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.balanced, 8, 4)
	l.served(100)
	s.mustOperate(s.nodes[0], "drain", "--FailureDomain", "Rabat-A")
	drained := time.Now()
	eventually(t, "the bound for new work", func() bool { return time.Since(drained) > drainBound })
	mark := s.requestsIn("Rabat-A")
	l.served(200)
	l.paidMore(20)
	require.Equal(t, mark, s.requestsIn("Rabat-A"), "new work in a failure domain that is out")
	s.mustOperate(s.nodes[1], "restore", "--FailureDomain", "Rabat-A")
	eventually(t, "work in the restored domain", func() bool { return s.requestsIn("Rabat-A") > mark })
	l.served(100)
	l.finish(s.treasuries...)
	s.checkCold()
	require.Zero(t, l.broken.Load(), "answers cut by a drain")
	require.Zero(t, l.refused.Load(), "chats refused during a drain")
	require.Zero(t, l.unknown.Load(), "payments in doubt after a drain")
}

// Every process is restarted in turn, gracefully, after many changes.
func TestRollingRestart(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.balanced, 8, 4)
	for range 5 {
		s.mustOperate(s.nodes[0], "drain", "--Target", "engine-1")
		s.mustOperate(s.nodes[0], "restore", "--Target", "engine-1")
	}
	s.apply(fleetVersionText("second"))
	before, ok := s.status(s.nodes[0])
	require.True(t, ok)
	for _, n := range s.nodes {
		l.use(func() []*node { return s.others(n) })
		l.settle()
		s.stop(n)
		s.start(n)
		s.awaitReady(n)
		after, ok := s.status(n)
		require.True(t, ok)
		require.GreaterOrEqual(t, after.Version, before.Version, "an accepted version reverted")
		l.served(30)
	}
	l.use(s.balanced)
	l.served(50)
	l.finish(s.treasuries...)
	s.checkCold()
	require.Zero(t, l.broken.Load(), "answers cut by a graceful restart")
}

// A state replica's disk is lost and replaced, and a second one is lost right
// after.
func TestReplacedReplica(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.balanced, 6, 3)
	l.served(50)
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
	out := s.mustOperate(s.leader(), "replica", "replace", "--Id", s.replicaOf(lost), "--Replica", spare.peers)
	t.Log(out)
	second := s.leader()
	s.kill(second)
	l.served(100)
	l.paidMore(20)
	s.apply(fleetVersionText("after two losses"), "--Wait", "20s")
	l.finish(s.treasuries...)
	s.checkCold()
}

// rollTimeout bounds a roll over three failure domains.
const rollTimeout = 2 * time.Minute

// A new version of the model rolls through the engines, and the service goes on.
func TestNewVersionRolls(t *testing.T) {
	s := newSystem(t, 6, 3)
	l := startLoad(t, s.balanced, 6, 2)
	l.served(50)
	s.apply(strings.Replace(fleetVersionText("third"), `"Version": "1"`, `"Version": "2", "Placement": {"Min": 3, "Spread": 3}`, 1))
	eventuallyWithin(t, rollTimeout, "every engine serves the new version", func() bool {
		for _, engine := range s.engines {
			if _, _, version := engine.LoadedModel(); version != "2" {
				return false
			}
		}
		return true
	})
	s.awaitTargets(s.nodes[0], "Dossiers", len(s.engines))
	l.served(50)
	l.finish(s.treasuries...)
	s.checkCold()
	require.Zero(t, l.broken.Load(), "answers cut by a new version")
	require.Zero(t, l.refused.Load(), "chats refused during a new version")
}

// A host whose disk was lost can neither make a second cluster nor come back as
// the replica that it was.
func TestWipedDiskNeverComesBackAsItsOldSelf(t *testing.T) {
	s := &system{cluster: newCluster(t, 3, 3)}
	s.apply(fleetVersionText("first"))
	leader := s.leader()
	wiped := s.others(leader)[0]
	old := s.replicaOf(wiped)
	s.kill(wiped)
	require.NoError(t, os.RemoveAll(wiped.folder))
	require.NoError(t, os.MkdirAll(wiped.folder, 0o700))

	s.start(wiped, "--Bootstrap")
	require.Error(t, <-wiped.exited, "a second cluster beside one that runs")
	log, err := os.ReadFile(wiped.log)
	require.NoError(t, err)
	require.Contains(t, string(log), "a cluster runs already")

	s.start(wiped)
	s.awaitReady(wiped)
	out, code := s.operate(leader, "replica", "add", "--Replica", wiped.peers)
	require.NotZero(t, code, out)
	s.mustOperate(leader, "replica", "replace", "--Id", old, "--Replica", wiped.peers)
	require.NotEqual(t, old, s.replicaOf(wiped))
	s.apply(fleetVersionText("second"))
}

// Five state replicas go on without any two of them.
func TestFiveReplicasLoseTwo(t *testing.T) {
	s := newSystem(t, 6, 5)
	l := startLoad(t, s.balanced, 6, 3)
	l.served(50)
	for range 2 {
		s.kill(s.leader())
		l.served(50)
		l.paidMore(20)
	}
	s.apply(fleetVersionText("without two"), "--Wait", "20s")
	l.finish(s.treasuries...)
	s.checkCold()
}
