package quorum

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// observe lets a node check the replicas at the addresses of the voters, as hubs do.
func (s *sim) observe(n *simNode) {
	lost, allowed := []LostVoter{}, true
	voters := n.node.log.possibleVoters()
	for _, other := range s.nodes {
		if other == n {
			continue
		}
		reached := other.node != nil && other.group == n.group
		for _, m := range append(slices.Clone(voters), n.node.Members()...) {
			switch {
			case m.Host != other.host:
			case !reached:
				allowed = allowed && findMember(voters, m.ID) >= 0
			case m.ID != other.node.ID():
				lost = append(lost, LostVoter{ID: m.ID, Successor: Member{ID: other.node.ID(), Host: other.host, Address: other.host}})
			}
		}
		if reached && findMember(voters, other.node.ID()) < 0 && other.node.hasNewerLog(n.node) {
			allowed = false
		}
	}
	if !allowed {
		lost = nil
	}
	n.node.AllowRecovery(lost)
	s.process(n)
}

// replaceVoter proposes at a leader what hubs do: a voter whose host has another replica is
// removed, and one that is silent if a learner can take its place; learners become voters
// while there are too few of them, and running replicas become learners.
func (s *sim) replaceVoter() {
	for _, n := range s.nodes {
		if n.node == nil || n.node.Role() != Leader {
			continue
		}
		if members := s.nextMembers(n); members != nil {
			_, _, _ = n.node.ProposeMembers(members)
			s.process(n)
		}
		return
	}
}

// nextMembers returns the membership after the next step; nil for none.
func (s *sim) nextMembers(n *simNode) []Member {
	const desiredVoters = 5
	members := slices.Clone(n.node.Members())
	hasLearner := slices.ContainsFunc(members, func(m Member) bool { return !m.Voter && n.node.CaughtUp(m.ID) })
	for i, m := range members {
		at := s.byID(m.ID)
		responds := at != nil && at.group == n.group
		replaced := slices.ContainsFunc(s.nodes, func(other *simNode) bool {
			return other.host == m.Host && other.node != nil && other.group == n.group && other.node.ID() != m.ID
		})
		switch {
		case !m.Voter && replaced:
			return slices.Delete(members, i, i+1)
		case m.Voter && !responds && hasLearner && voterCount(members) == desiredVoters:
			return slices.Delete(members, i, i+1)
		case !m.Voter && voterCount(members) < desiredVoters && n.node.CaughtUp(m.ID):
			members[i].Voter = true
			return members
		}
	}
	next := s.addMember(members)
	if len(next) == len(members) {
		return nil
	}
	return next
}

// hasNewerLog reports whether the node's log is more up to date than that of another node.
func (n *Node) hasNewerLog(other *Node) bool {
	if n.log.lastTerm() != other.log.lastTerm() {
		return n.log.lastTerm() > other.log.lastTerm()
	}
	return n.LastIndex() > other.LastIndex()
}

// checkRecovery checks that a leader that was elected without lost voters holds all committed
// entries that a disk of a voter still holds, and forgets the others.
func (s *sim) checkRecovery(n *simNode) {
	if len(n.node.RecoveredWithout()) == 0 {
		return
	}
	s.recoveries++
	for index := s.highestCommitted; index > 0 && s.committed[index].Index > 0; index-- {
		own, held := n.node.log.term(index)
		if held && own == s.committed[index].Term || index <= n.node.log.baseIndex {
			break
		}
		for _, m := range s.members.members {
			if m.Voter && s.diskHolds(m, index) {
				require.Failf(s.t, "lost entry", "the leader lacks the committed entry %d, which %s holds", index, m.Host)
			}
		}
		delete(s.committed, index)
		delete(s.firstAppliedTerm, index)
		s.highestCommitted = index - 1
		s.lostEntries++
	}
	s.members = memberSet{index: 0, members: n.node.log.membersAt(n.node.log.lastIndex() - 1)}
}

// diskHolds reports whether the disk of a member's host holds the committed entry at the index
// or a snapshot of it.
func (s *sim) diskHolds(m Member, index uint64) bool {
	for _, n := range s.nodes {
		if n.host != m.Host {
			continue
		}
		state, snapshot, entries, err := n.storage.Load()
		require.NoError(s.t, err)
		if state.ID != m.ID {
			return false
		}
		at := slices.IndexFunc(entries, func(e Entry) bool { return e.Index == index && e.Term == s.committed[index].Term })
		return snapshot.Index >= index || at >= 0
	}
	return false
}

// lostDiskFaults loses so many disks that at times no majority is left, while the leaders
// replace voters as hubs do.
var lostDiskFaults = simFaults{
	Drop: 30, Duplicate: 30, Crash: 10, Restart: 40, Wipe: 8, Snapshot: 10, Transfer: 2, Observe: 100, Replace: 60,
}

// A recovery must not lose an entry that a voter's disk still holds, nor elect a second leader
// beside a majority that has replaced the voters which recover.
func TestSimRecovery(t *testing.T) {
	const seeds = 250
	split := lostDiskFaults
	split.Partition, split.Heal = 4, 10
	for name, faults := range map[string]simFaults{"connected": lostDiskFaults, "partitions": split} {
		t.Run(name, func(t *testing.T) {
			recoveries, lost := 0, 0
			for seed := range uint64(seeds) {
				s := runSim(t, seed, 5, 4000, faults)
				recoveries += s.recoveries
				lost += s.lostEntries
			}
			t.Logf("%d recoveries, %d committed entries lost with all disks that held them", recoveries, lost)
			require.Greater(t, recoveries, seeds/4)
		})
	}
}
